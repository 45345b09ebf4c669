"""Measures the cost of an event in a simulated fleet, from its start until all proxies have applied it.

`fleet_events` defines the events, and `fleet_figures` the types of the results. Limitation: the proxies of
one process share a core, so a propagation delay includes the wait for other proxies of the same process.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import psutil

from emulator.errors import MemoryLimitError
from emulator.measurement.usage_sampler import UsageSampler
from emulator.runs.fleet_figures import EventDelays, EventMeasurement, ProxyFigures, RegistryCost
from testbed.meter import MAX_RATE_WINDOW, MB

if TYPE_CHECKING:
    from emulator.runs.fleet_events import FleetEvent
    from emulator.runs.simulated_fleet import SimulatedFleet
    from testbed.discovery.registry import RegistryUsage

MAX_MEMORY_FRACTION = 0.5  # of this machine's memory; a run that uses more is aborted
APPLY_TIMEOUT = 60.0  # seconds until a version that a proxy has not applied counts as missing


def measure(fleet: SimulatedFleet, event: FleetEvent) -> EventMeasurement:
    """Carry out an event, wait until all proxies have applied it, and measure its cost.

    Raises:
        MemoryLimitError: The processes use too much of this machine's memory.
    """
    fleet.forget_publications()
    before, started = fleet.registry_usages(), time.monotonic()
    with UsageSampler([*fleet.hosts, *fleet.registries]) as sampler:
        event(fleet)
        event_ended = time.monotonic()
        is_complete = fleet.wait_until_applied(APPLY_TIMEOUT)
        ended = time.monotonic()
    resident = sum(sampler.peak_memory)
    _check_memory(resident)
    lists_worst = 100.0 * fleet.worst_list_cost(started, ended) / MAX_RATE_WINDOW
    registries = _registry_costs(before, fleet.registry_usages(), sampler)
    return EventMeasurement(
        seconds=ended - started,
        applied_after=ended - event_ended,
        versions=len(fleet.publications),
        is_complete=is_complete,
        delays=EventDelays.of(fleet.delay_reports()),
        proxy=_proxy_figures(fleet, sampler, registries, ended - started, lists_worst),
        resident_mb=resident / MB,
        registries=registries,
    )


def _check_memory(resident: int) -> None:
    if resident > MAX_MEMORY_FRACTION * psutil.virtual_memory().total:
        raise MemoryLimitError(resident)


def _registry_costs(
    before: list[RegistryUsage], after: list[RegistryUsage], sampler: UsageSampler
) -> list[RegistryCost]:
    registry_series = sampler.processor_time[-len(after) :]  # the host processes come first
    return [
        RegistryCost.between(usage_before, usage_after, 100.0 * series.max_rate())
        for usage_before, usage_after, series in zip(before, after, registry_series, strict=True)
    ]


def _proxy_figures(
    fleet: SimulatedFleet,
    sampler: UsageSampler,
    registries: list[RegistryCost],
    seconds: float,
    lists_worst: float,
) -> ProxyFigures:
    proxies, versions = fleet.plan.proxies, max(1, len(fleet.publications))
    host_series = sampler.processor_time[: len(fleet.hosts)]
    processor_seconds = sum(series.growth() for series in host_series)
    worst_shares = [
        series.max_rate() / proxy_count
        for series, proxy_count in zip(host_series, fleet.proxies_per_host, strict=True)
    ]
    sent_bytes = sum(registry.sent_bytes for registry in registries)
    worst_bytes = max(registry.sent_bytes / max(1, registry.open_watches) for registry in registries)
    return ProxyFigures(
        processor_mean=100.0 * processor_seconds / proxies / seconds,
        processor_worst=100.0 * max(worst_shares),
        lists_worst=lists_worst,
        processor_each=processor_seconds / proxies / versions,
        bytes_mean=sent_bytes / proxies / seconds,
        bytes_worst=worst_bytes / max(MAX_RATE_WINDOW, seconds),
        bytes_each=sent_bytes / proxies / versions,
    )
