"""Measures changes of settings at real proxies: their age under load, and the cost of a reload without load.

It owns what is done to the proxies of `emulator.runs.reloadable_proxy`; the reports are in
`emulator.runs.settings_report`, and `emulator.runs.settings_reload` is the run.
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
    MAX_AGE,
    Ages,
    CallOutcomes,
    CallsReport,
    ChangeAge,
    ChangesReport,
    MemoryGrowth,
    ReloadCost,
)
from testbed.health_check import applied_between, has_label
from testbed.meter import MB, process_usage
from testbed.processes import STARTUP_TIMEOUT

if TYPE_CHECKING:
    from collections.abc import Sequence
    from contextlib import AsyncExitStack

    from emulator.runs.reloadable_proxy import ProxyLauncher, ReloadableProxy

POLL_INTERVAL = 0.01  # seconds between two health checks while a change is awaited: an age is exact to that
RATE = 20.0  # calls a second at each proxy that is called
MEMORY_READINGS = 2  # of the memory during the reloads, after the one before them


@dataclass(slots=True, frozen=True)
class RunSize:
    """The size of a run; times in seconds.

    Attributes:
        proxies: Proxies at which settings change.
        called: Those of them that are called during the changes.
        series: Time in which changes begin.
        interval: Between two changes.
        rows: Endpoint lists at which processor time is measured; the last one is that of the complete fleet.
        reloads: For one processor time.
        memory_reloads: For the growth of memory.
        reload_interval: Between two SIGHUPs that are measured: each is over when the next one comes.
    """

    proxies: int
    called: int
    series: float
    interval: float
    rows: Sequence[int]
    reloads: int
    memory_reloads: int
    reload_interval: float


FULL = RunSize(
    proxies=24,
    called=4,
    series=12.0,
    interval=0.3,
    rows=(12, 91, 300, BACKENDS),
    reloads=20,
    memory_reloads=50,
    reload_interval=0.05,
)
QUICK = RunSize(
    proxies=4,
    called=2,
    series=0.9,
    interval=0.15,
    rows=(12, BACKENDS),
    reloads=5,
    memory_reloads=10,
    reload_interval=0.03,
)


@dataclass(slots=True, frozen=True)
class LoadedChanges:
    """What was measured of changes under load.

    Attributes:
        changes: How old the changes were when in force.
        calls: The outcomes and latencies of the calls during them.
    """

    changes: ChangesReport
    calls: CallsReport


@dataclass(slots=True, frozen=True)
class IdleChanges:
    """What was measured of changes at proxies without calls.

    Attributes:
        memory: How a proxy's memory grew.
        costs: What a reload cost at each endpoint list.
    """

    memory: MemoryGrowth
    costs: list[ReloadCost]


async def _wait_until_in_force(proxy: ReloadableProxy, label: str, start: float) -> ChangeAge:
    """Wait until a change that began at `start` is in force, or is given up."""
    while True:
        in_force = has_label(await proxy.version(), label)
        age = time.monotonic() - start
        if in_force or age > MAX_AGE:
            return ChangeAge(age, in_force)
        await asyncio.sleep(POLL_INTERVAL)


async def _make_changes(proxies: Sequence[ReloadableProxy], size: RunSize) -> ChangesReport:
    """Make changes at all proxies, one after the other."""
    start, number = time.monotonic(), 0
    all_ages, by_kind = Ages(), {kind: Ages() for kind in KINDS}
    while (change_start := time.monotonic()) < start + size.series:
        number += 1
        label = f"change-{number}"
        for proxy in proxies:
            proxy.configure(number, label)
            proxy.reload()
        waits = (_wait_until_in_force(proxy, label, change_start) for proxy in proxies)
        for age in await asyncio.gather(*waits):
            all_ages.add(age)
            by_kind[kind_of(number)].add(age)
        await asyncio.sleep(max(0.0, change_start + size.interval - time.monotonic()))
    return ChangesReport(number, all_ages, by_kind)


async def change_under_load(
    launcher: ProxyLauncher, stack: AsyncExitStack, seed: int, size: RunSize, cores: Sequence[int]
) -> LoadedChanges:
    """Make the changes while some of the proxies are called."""
    placement = place_processes(cores, size.proxies)
    proxies = await launcher.start_fleet(size.rows[-1], placement.proxies)
    streams = [Stream(f"n{n}", [proxy.config.port], RATE) for n, proxy in enumerate(proxies[: size.called])]
    plan = LoadPlan(seed, 0.0, size.series, streams)
    generator = await LoadGeneratorProcess.start(stack, placement.load_generator, plan)
    await generator.begin()
    changes = await _make_changes(proxies, size)
    load = await generator.report(size.series + STARTUP_TIMEOUT)
    # What is measured next has the cores to itself.
    for process in (generator.process, *(proxy.process for proxy in proxies)):
        await process.stop()
    outcomes = CallOutcomes.of(stream.outcome_counts for stream in load.streams)
    latency = Distribution.of(merge(stream.histogram for stream in load.streams))
    return LoadedChanges(changes, CallsReport(outcomes, RATE, size.called, latency))


async def _processor_time(
    proxy: ReloadableProxy, size: RunSize, signals: int, first: int | None = None
) -> float:
    """Measure the processor seconds of so many SIGHUPs.

    Each comes with the settings after one change more than the one before it, counted from `first`; with the
    same settings where that is None.
    """
    before = process_usage(proxy.process.pid).processor
    for number in range(1, signals + 1):
        if first is not None:
            proxy.configure(first + number)
        proxy.reload()
        await asyncio.sleep(size.reload_interval)
    return process_usage(proxy.process.pid).processor - before


async def _reload_cost(proxy: ReloadableProxy, rows: int, size: RunSize) -> ReloadCost:
    """Measure what a reload costs at an endpoint list of `rows`.

    Where the proxy does not report how many swaps there were, one is counted for each signal.
    """
    before = process_usage(proxy.process.pid).processor
    await asyncio.sleep(size.reloads * size.reload_interval)
    idle = process_usage(proxy.process.pid).processor - before
    reread_total = await _processor_time(proxy, size, size.reloads) - idle
    first = await proxy.version()
    reload_total = await _processor_time(proxy, size, size.reloads, first=0) - idle
    swaps = applied_between(first, await proxy.version())
    reread, reload = reread_total / size.reloads, reload_total / (swaps or size.reloads)
    return ReloadCost(rows, size.reloads, swaps, reload, reread, swap=reload - reread)


async def _memory_growth(proxy: ReloadableProxy, size: RunSize) -> MemoryGrowth:
    """Measure the memory of a proxy before, amid and after reloads; it ends with its first settings."""
    first, part = await proxy.version(), size.memory_reloads // MEMORY_READINGS
    resident = [process_usage(proxy.process.pid).memory / MB]
    for reading in range(MEMORY_READINGS):
        await _processor_time(proxy, size, part, first=reading * part)
        resident.append(process_usage(proxy.process.pid).memory / MB)
    swaps = applied_between(first, await proxy.version())
    proxy.configure(0)
    proxy.reload()
    await asyncio.sleep(size.reload_interval)
    return MemoryGrowth(MEMORY_READINGS * part, swaps, resident, resident[-1] - resident[0])


async def change_without_load(launcher: ProxyLauncher, size: RunSize, cores: Sequence[int]) -> IdleChanges:
    """Measure memory and processor time of reloads at proxies without calls, one after the other."""
    core = frozenset(cores[-1:])
    proxies = [(await launcher.start_fleet(rows, [core]))[0] for rows in size.rows]
    memory = await _memory_growth(proxies[-1], size)
    costs = [await _reload_cost(proxy, rows, size) for proxy, rows in zip(proxies, size.rows, strict=True)]
    return IdleChanges(memory, costs)
