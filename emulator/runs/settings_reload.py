"""Settings in force without a restart, at real proxies: age, processor time, memory, calls lost meanwhile.

The changes are built in `emulator.runs.settings_changes`, the proxies are those of
`emulator.runs.reloadable_proxy`, and what was found is described in `emulator.runs.settings_report`; this
module owns the order in which it is measured.
"""

from __future__ import annotations

import asyncio
import os
import time
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Any

from emulator.fleet.placement import place
from emulator.fleet.role_processes import MAX_BACKEND_PORTS, BackendProcess, LoadGeneratorProcess
from emulator.fleet.topology import BACKENDS
from emulator.load.plan import LoadPlan, Stream
from emulator.measurement.fit import MIN_POINTS, fit_all
from emulator.measurement.latency import Distribution, merge
from emulator.measurement.result import commit, write_result
from emulator.runs.common import (
    CHANGES_PER_DAY,
    SECONDS_PER_DAY,
    RunOptions,
    RunResult,
    report_progress,
)
from emulator.runs.reloadable_proxy import ProxyLauncher, ReloadableProxy
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
    budget_figures,
)
from testbed.health_check import applied_between, has_label
from testbed.meter import MB, process_usage
from testbed.processes import STARTUP_TIMEOUT
from testbed.proxy_program import ProxyProgram

if TYPE_CHECKING:
    from collections.abc import Sequence

NAME = "settings"
POLL_INTERVAL = 0.01  # seconds between two health checks while a change is awaited: an age is exact to that
RATE = 20.0  # calls a second at each proxy that is called
MEMORY_READINGS = 2  # of the memory over its reloads, beside the one before
BACKEND_MARGIN = 60.0  # seconds that the backend lives beyond the series of changes
NOTE = (
    "an age runs from before the first file of a change is written until a proxy's health check names "
    "it; a reload is one SIGHUP with other settings, reading the file and its cached list included; a "
    "reread one with the same settings; their difference is the swap; what a proxy spends idle is left "
    "out"
)


@dataclass(slots=True, frozen=True)
class RunSize:
    """The size of a run; times in seconds.

    Attributes:
        proxies: Proxies at which settings change.
        called: Those of them that are called meanwhile.
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


async def _change_under_load(
    launcher: ProxyLauncher, stack: AsyncExitStack, seed: int, size: RunSize, cores: Sequence[int]
) -> tuple[ChangesReport, CallsReport]:
    """Make the changes while some of the proxies are called."""
    placement = place(cores, size.proxies)
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
    outcomes = CallOutcomes.of(stream.ended for stream in load.streams)
    latency = Distribution.of(merge(stream.histogram for stream in load.streams))
    return changes, CallsReport(outcomes, RATE, size.called, latency)


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


async def _change_without_load(
    launcher: ProxyLauncher, size: RunSize, cores: Sequence[int]
) -> tuple[MemoryGrowth, list[ReloadCost]]:
    """Measure memory and processor time of reloads at proxies without calls, one after the other."""
    core = frozenset(cores[-1:])
    proxies = [(await launcher.start_fleet(rows, [core]))[0] for rows in size.rows]
    memory = await _memory_growth(proxies[-1], size)
    costs = [await _reload_cost(proxy, rows, size) for proxy, rows in zip(proxies, size.rows, strict=True)]
    return memory, costs


def _fits(costs: Sequence[ReloadCost]) -> dict[str, Any]:
    """Fit the processor times against the rows, where there are enough of them."""
    if len(costs) < MIN_POINTS:
        return {}
    rows = [cost.rows for cost in costs]
    times = {
        "reload": [cost.reload for cost in costs],
        "reread": [cost.reread for cost in costs],
        "swap": [cost.swap for cost in costs],
    }
    return {name: [fit.as_dict() for fit in fit_all(rows, values)] for name, values in times.items()}


@dataclass(slots=True, frozen=True)
class _Measured:
    """Everything that one run measured."""

    changes: ChangesReport
    calls: CallsReport
    memory: MemoryGrowth
    costs: Sequence[ReloadCost]

    def as_dict(self) -> dict[str, Any]:
        """Return plain values for the result."""
        return {
            "changes": self.changes.as_dict() | {"calls": self.calls.as_dict()},
            "memory": asdict(self.memory),
            "points": [asdict(cost) for cost in self.costs],
            "fits": _fits(self.costs),
            "core_percent": 100.0 * self.costs[-1].reload * CHANGES_PER_DAY / SECONDS_PER_DAY,
        }


def _report_changes(changes: ChangesReport, calls: CallsReport) -> None:
    in_force, given_up = len(changes.all.in_force), len(changes.all.given_up)
    report_progress(
        NAME,
        f"{in_force} of {in_force + given_up} in force within {MAX_AGE:g} s, "
        f"worst {changes.all.worst():.3f} s; {calls.outcomes.lost} of {calls.outcomes.calls} calls lost",
    )


def _report_costs(cost: ReloadCost, memory: MemoryGrowth) -> None:
    report_progress(
        NAME,
        f"{1e3 * cost.reload:.2f} ms of processor a reload at {cost.rows} rows, "
        f"{1e3 * cost.reread:.2f} of it to read; {memory.grew_mb:.2f} MB more "
        f"after {memory.signals} signals",
    )


async def _measure(program: ProxyProgram, seed: int, size: RunSize, cores: Sequence[int]) -> _Measured:
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory()))
        backend = await BackendProcess.start(
            stack, frozenset(cores[:1]), MAX_BACKEND_PORTS, BACKEND_MARGIN + size.series
        )
        launcher = ProxyLauncher(program, stack, folder, backend.ports, seed)
        changes, calls = await _change_under_load(launcher, stack, seed, size, cores)
        _report_changes(changes, calls)
        memory, costs = await _change_without_load(launcher, size, cores)
        _report_costs(costs[-1], memory)
    return _Measured(changes, calls, memory, costs)


def run(options: RunOptions) -> RunResult:
    """Changes of settings at real proxies, by SIGHUP; writes settings.json."""
    start, size = time.monotonic(), QUICK if options.quick else FULL
    program = ProxyProgram.of_tree(options.program)
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, cores[:1])
    try:
        measured = asyncio.run(_measure(program, options.seed, size, cores[1:] or cores))
    finally:
        os.sched_setaffinity(0, cores)
    figures = budget_figures(measured.changes.all.worst(), measured.costs[-1])
    body = measured.as_dict() | {
        "quick": options.quick,
        "proxies": size.proxies,
        "rows": size.rows[-1],
        "cores": len(cores),
        "program": commit(options.program),
        "figures": figures,
        "note": NOTE,
        "duration": time.monotonic() - start,
    }
    return RunResult(figures, write_result(options.result_name(NAME), options.seed, body, options.out))
