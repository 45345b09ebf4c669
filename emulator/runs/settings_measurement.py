"""Measures settings changes at real proxies: activation delays under load, and cost of reloads without load.

The proxies are those of `emulator.runs.reloadable_proxy`, and the reports are in
`emulator.runs.settings_report`. The run itself is `emulator.runs.settings_reload`.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from emulator.fleet.placement import place_processes
from emulator.fleet.role_processes import LoadGeneratorProcess
from emulator.fleet.topology import BACKENDS
from emulator.load.plan import LoadPlan, Stream
from emulator.measurement.latency import Distribution, merge
from emulator.runs.settings_changes import KINDS, kind_of
from emulator.runs.settings_report import (
    MAX_ACTIVATION_DELAY,
    ActivationDelay,
    ActivationDelays,
    ChangesReport,
    MemoryGrowth,
    ReloadCost,
    RequestOutcomes,
    RequestsReport,
)
from testbed.health_check import applied_between, has_label
from testbed.meter import MB, process_usage
from testbed.processes import STARTUP_TIMEOUT

if TYPE_CHECKING:
    from collections.abc import Sequence
    from contextlib import AsyncExitStack

    from emulator.runs.reloadable_proxy import ProxyLauncher, ReloadableProxy

POLL_INTERVAL = 0.01  # seconds between two health checks; the resolution of an activation delay
REQUEST_RATE = 20.0  # requests a second at each proxy that receives requests
MEMORY_READINGS = 2  # readings of the memory during the reloads, in addition to the one before them


@dataclass(slots=True, frozen=True)
class RunSize:
    """The size of a run; times in seconds.

    Attributes:
        proxies: Number of proxies whose settings change under load.
        loaded_proxies: Number of these proxies that receive requests.
        change_seconds: Time in which changes are started.
        change_interval: Time between two changes.
        endpoint_counts: Lengths of the endpoint lists at which processor time is measured; the last one is
            the length of the complete list.
        reloads: Reloads for one measurement of processor time.
        memory_reloads: Reloads for the measurement of memory.
        reload_interval: Time between two measured SIGHUPs; each reload ends before the next one starts.
    """

    proxies: int
    loaded_proxies: int
    change_seconds: float
    change_interval: float
    endpoint_counts: Sequence[int]
    reloads: int
    memory_reloads: int
    reload_interval: float


FULL = RunSize(
    proxies=24,
    loaded_proxies=4,
    change_seconds=12.0,
    change_interval=0.3,
    endpoint_counts=(12, 91, 300, BACKENDS),
    reloads=20,
    memory_reloads=50,
    reload_interval=0.05,
)
QUICK = RunSize(
    proxies=4,
    loaded_proxies=2,
    change_seconds=0.9,
    change_interval=0.15,
    endpoint_counts=(12, BACKENDS),
    reloads=5,
    memory_reloads=10,
    reload_interval=0.03,
)


@dataclass(slots=True, frozen=True)
class LoadedChanges:
    """Measurements of changes under load: the changes, and the requests sent during them."""

    changes: ChangesReport
    requests: RequestsReport


@dataclass(slots=True, frozen=True)
class IdleChanges:
    """Measurements of changes without load.

    Attributes:
        memory: Growth of a proxy's memory.
        costs: Cost of a reload at each length of the endpoint list.
    """

    memory: MemoryGrowth
    costs: list[ReloadCost]


async def _wait_until_in_force(proxy: ReloadableProxy, label: str, change_start: float) -> ActivationDelay:
    """Wait until a change is in force at a proxy, or until `MAX_ACTIVATION_DELAY` has passed."""
    while True:
        in_force = has_label(await proxy.version(), label)
        delay = time.monotonic() - change_start
        if in_force or delay > MAX_ACTIVATION_DELAY:
            return ActivationDelay(delay, in_force)
        await asyncio.sleep(POLL_INTERVAL)


async def _make_changes(proxies: Sequence[ReloadableProxy], size: RunSize) -> ChangesReport:
    """Make changes one after another, each at all proxies."""
    start, change_number = time.monotonic(), 0
    all_delays, delays_by_kind = ActivationDelays(), {kind: ActivationDelays() for kind in KINDS}
    while (change_start := time.monotonic()) < start + size.change_seconds:
        change_number += 1
        label = f"change-{change_number}"
        for proxy in proxies:
            proxy.configure(change_number, label)
            proxy.reload()
        waits = (_wait_until_in_force(proxy, label, change_start) for proxy in proxies)
        for delay in await asyncio.gather(*waits):
            all_delays.add(delay)
            delays_by_kind[kind_of(change_number)].add(delay)
        await asyncio.sleep(max(0.0, change_start + size.change_interval - time.monotonic()))
    return ChangesReport(change_number, all_delays, delays_by_kind)


async def change_under_load(
    launcher: ProxyLauncher, stack: AsyncExitStack, seed: int, size: RunSize, cores: Sequence[int]
) -> LoadedChanges:
    """Change the settings of all proxies while some of them receive requests."""
    placement = place_processes(cores, size.proxies)
    proxies = await launcher.start_fleet(size.endpoint_counts[-1], placement.proxies)
    streams = [
        Stream(f"n{index}", [proxy.config.port], REQUEST_RATE)
        for index, proxy in enumerate(proxies[: size.loaded_proxies])
    ]
    plan = LoadPlan(seed, 0.0, size.change_seconds, streams)
    generator = await LoadGeneratorProcess.start(stack, placement.load_generator, plan)
    await generator.begin()
    changes = await _make_changes(proxies, size)
    load = await generator.report(size.change_seconds + STARTUP_TIMEOUT)
    # The next measurement must not share its core with these processes.
    for process in (generator.process, *(proxy.process for proxy in proxies)):
        await process.stop()
    outcomes = RequestOutcomes.of(stream.outcome_counts for stream in load.streams)
    latency = Distribution.of(merge(stream.histogram for stream in load.streams))
    requests = RequestsReport(outcomes, REQUEST_RATE, size.loaded_proxies, latency)
    return LoadedChanges(changes, requests)


async def _processor_seconds_of_reloads(
    proxy: ReloadableProxy, size: RunSize, signals: int, changes_before: int | None = None
) -> float:
    """Measure the processor seconds of a number of SIGHUPs.

    Args:
        proxy: The proxy that receives them.
        size: Size of the run, which has the interval between them.
        signals: Number of SIGHUPs.
        changes_before: Number of changes before the first SIGHUP. Each SIGHUP then comes with the settings
            after one more change. None: the settings stay the same.
    """
    before = process_usage(proxy.process.pid).processor
    for number in range(1, signals + 1):
        if changes_before is not None:
            proxy.configure(changes_before + number)
        proxy.reload()
        await asyncio.sleep(size.reload_interval)
    return process_usage(proxy.process.pid).processor - before


async def _reload_cost(proxy: ReloadableProxy, endpoint_count: int, size: RunSize) -> ReloadCost:
    """Measure the cost of a reload at one length of the endpoint list.

    If the proxy does not report how often it replaced its settings, one replacement is counted for each
    signal.
    """
    before = process_usage(proxy.process.pid).processor
    await asyncio.sleep(size.reloads * size.reload_interval)
    idle = process_usage(proxy.process.pid).processor - before
    reread_total = await _processor_seconds_of_reloads(proxy, size, size.reloads) - idle
    version_before = await proxy.version()
    reload_total = await _processor_seconds_of_reloads(proxy, size, size.reloads, changes_before=0) - idle
    swaps = applied_between(version_before, await proxy.version())
    reread, reload = reread_total / size.reloads, reload_total / (swaps or size.reloads)
    return ReloadCost(endpoint_count, size.reloads, swaps, reload, reread, swap=reload - reread)


async def _memory_growth(proxy: ReloadableProxy, size: RunSize) -> MemoryGrowth:
    """Measure a proxy's memory before, during and after reloads, and restore its first settings."""
    version_before = await proxy.version()
    reloads_per_reading = size.memory_reloads // MEMORY_READINGS
    resident_mb = [process_usage(proxy.process.pid).memory / MB]
    for reading in range(MEMORY_READINGS):
        await _processor_seconds_of_reloads(
            proxy, size, reloads_per_reading, changes_before=reading * reloads_per_reading
        )
        resident_mb.append(process_usage(proxy.process.pid).memory / MB)
    swaps = applied_between(version_before, await proxy.version())
    proxy.configure(0)
    proxy.reload()
    await asyncio.sleep(size.reload_interval)
    return MemoryGrowth(
        signals=MEMORY_READINGS * reloads_per_reading,
        swaps=swaps,
        resident_mb=resident_mb,
        growth_mb=resident_mb[-1] - resident_mb[0],
    )


async def change_without_load(launcher: ProxyLauncher, size: RunSize, cores: Sequence[int]) -> IdleChanges:
    """Measure memory and processor time of reloads at proxies without requests, one proxy after another."""
    core = frozenset(cores[-1:])
    proxies = [
        (await launcher.start_fleet(endpoint_count, [core]))[0] for endpoint_count in size.endpoint_counts
    ]
    memory = await _memory_growth(proxies[-1], size)
    costs = [
        await _reload_cost(proxy, endpoint_count, size)
        for proxy, endpoint_count in zip(proxies, size.endpoint_counts, strict=True)
    ]
    return IdleChanges(memory, costs)
