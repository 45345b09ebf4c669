"""Measures what an event costs a simulated fleet, from its beginning until it is applied at all proxies.

It owns the readings and what is worked out from them; the typed results are in `fleet_figures`, the events in
`fleet_events`. A proxy of a real fleet has a core of its own; here many share one, so an age includes the
wait for the other proxies of the same process.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import psutil

from emulator.errors import MemoryLimitError
from emulator.measurement.usage_sampler import UsageSampler
from emulator.runs.fleet_figures import EventDelays, EventMeasurement, MachineCost, ProxyFigures
from testbed.meter import MB, WORST_WINDOW

if TYPE_CHECKING:
    from emulator.runs.fleet_events import FleetEvent
    from emulator.runs.simulated_fleet import SimulatedFleet
    from testbed.discovery.registry import RegistryUsage

MAX_MEMORY_FRACTION = 0.5  # of this machine's memory; a run that takes more ends
APPLY_TIMEOUT = (
    60.0  # seconds that a change may take to be applied at all proxies before it counts as missing
)


def measure(fleet: SimulatedFleet, event: FleetEvent) -> EventMeasurement:
    """Carry out an event, wait until it is applied at all proxies, and measure its cost.

    Raises:
        MemoryLimitError: The processes take too much of this machine's memory.
    """
    fleet.forget_publications()
    before, started = fleet.machine_usages(), time.monotonic()
    with UsageSampler([*fleet.hosts, *fleet.machines]) as sampler:
        event(fleet)
        happened = time.monotonic()
        is_complete = fleet.wait_until_applied(APPLY_TIMEOUT)
        ended = time.monotonic()
    resident = sum(sampler.peak_memory)
    _check_memory(resident)
    lists_worst = 100.0 * fleet.worst_list_cost(started, ended) / WORST_WINDOW
    machines = _machine_costs(before, fleet.machine_usages(), sampler)
    return EventMeasurement(
        seconds=ended - started,
        applied_after=ended - happened,
        versions=len(fleet.publications),
        is_complete=is_complete,
        delays=EventDelays.of(fleet.delay_reports()),
        proxy=_proxy_figures(fleet, sampler, machines, ended - started, lists_worst),
        resident_mb=resident / MB,
        machines=machines,
    )


def _check_memory(resident: int) -> None:
    if resident > MAX_MEMORY_FRACTION * psutil.virtual_memory().total:
        raise MemoryLimitError(resident)


def _machine_costs(
    before: list[RegistryUsage], after: list[RegistryUsage], sampler: UsageSampler
) -> list[MachineCost]:
    series = sampler.processor[-len(after) :]  # the hosts' come first
    return [
        MachineCost.between(first, last, 100.0 * each.worst())
        for first, last, each in zip(before, after, series, strict=True)
    ]


def _proxy_figures(
    fleet: SimulatedFleet,
    sampler: UsageSampler,
    machines: list[MachineCost],
    seconds: float,
    lists_worst: float,
) -> ProxyFigures:
    proxies, versions = fleet.plan.proxies, max(1, len(fleet.publications))
    hosts = sampler.processor[: len(fleet.hosts)]
    processor = sum(series.growth() for series in hosts)
    worst_shares = [
        series.worst() / count for series, count in zip(hosts, fleet.proxies_per_host, strict=True)
    ]
    sent_bytes = sum(machine.sent_bytes for machine in machines)
    worst_bytes = max(machine.sent_bytes / max(1, machine.open_watches) for machine in machines)
    return ProxyFigures(
        processor_mean=100.0 * processor / proxies / seconds,
        processor_worst=100.0 * max(worst_shares),
        lists_worst=lists_worst,
        processor_each=processor / proxies / versions,
        bytes_mean=sent_bytes / proxies / seconds,
        bytes_worst=worst_bytes / max(WORST_WINDOW, seconds),
        bytes_each=sent_bytes / proxies / versions,
    )
