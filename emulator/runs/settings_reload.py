"""The run `settings`: changes of settings at real proxies without a restart.

It measures the activation delay, processor time and memory of the changes, and the requests lost during
them. `emulator.runs.settings_changes` builds the changes, and `emulator.runs.settings_measurement` makes and
measures them.
"""

from __future__ import annotations

import asyncio
import os
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from emulator.fleet.role_processes import MAX_BACKEND_PORTS, BackendProcess
from emulator.measurement.fit import MIN_POINTS, fit_all
from emulator.measurement.result import tree_commit, write_result
from emulator.runs.common import (
    CHANGES_PER_DAY,
    SECONDS_PER_DAY,
    RunOptions,
    RunResult,
    report_progress,
)
from emulator.runs.reloadable_proxy import ProxyLauncher
from emulator.runs.settings_measurement import (
    FULL,
    QUICK,
    IdleChanges,
    LoadedChanges,
    RunSize,
    change_under_load,
    change_without_load,
)
from emulator.runs.settings_report import MAX_ACTIVATION_DELAY, ReloadCost, budget_figures
from testbed.proxy_program import ProxyProgram

if TYPE_CHECKING:
    from collections.abc import Sequence

    from emulator.measurement.json_values import JsonObject

NAME = "settings"
BACKEND_MARGIN = 60.0  # seconds that the backend keeps running after the last change
NOTE = (
    "an age is the time from before the first file of a change is written until a proxy's health check "
    "returns its version; reload is the processor time of one SIGHUP with changed settings, including the "
    "reading of the file and its cached list; reread is that of one with unchanged settings; swap is their "
    "difference; the processor time of an idle proxy is subtracted"
)


def _fits(costs: Sequence[ReloadCost]) -> JsonObject:
    """Fit the processor times against the length of the endpoint list, if there are enough points."""
    if len(costs) < MIN_POINTS:
        return {}
    endpoint_counts = [cost.endpoint_count for cost in costs]
    processor_times = {
        "reload": [cost.reload for cost in costs],
        "reread": [cost.reread for cost in costs],
        "swap": [cost.swap for cost in costs],
    }
    return {
        name: [fit.as_dict() for fit in fit_all(endpoint_counts, seconds)]
        for name, seconds in processor_times.items()
    }


@dataclass(slots=True, frozen=True)
class _Measurements:
    """All measurements of one run."""

    loaded: LoadedChanges
    idle: IdleChanges

    def as_dict(self) -> JsonObject:
        """Return the measurements as stored in the result file."""
        return {
            "changes": self.loaded.changes.as_dict() | {"calls": self.loaded.requests.as_dict()},
            "memory": self.idle.memory.as_dict(),
            "points": [cost.as_dict() for cost in self.idle.costs],
            "fits": _fits(self.idle.costs),
            "core_percent": 100.0 * self.idle.costs[-1].reload * CHANGES_PER_DAY / SECONDS_PER_DAY,
        }


def _report_changes(loaded: LoadedChanges) -> None:
    delays, outcomes = loaded.changes.delays, loaded.requests.outcomes
    in_force, late = len(delays.in_force), len(delays.late)
    report_progress(
        NAME,
        f"{in_force} of {in_force + late} changes in force within {MAX_ACTIVATION_DELAY:g} s, "
        f"worst {delays.worst():.3f} s; {outcomes.not_served} of {outcomes.total} requests not served",
    )


def _report_costs(idle: IdleChanges) -> None:
    cost, memory = idle.costs[-1], idle.memory
    report_progress(
        NAME,
        f"{1e3 * cost.reload:.2f} ms of processor time a reload at {cost.endpoint_count} endpoints, "
        f"of which {1e3 * cost.reread:.2f} ms to read the file; memory grew by {memory.growth_mb:.2f} MB "
        f"in {memory.signals} reloads",
    )


async def _measure(program: ProxyProgram, seed: int, size: RunSize, cores: Sequence[int]) -> _Measurements:
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory()))
        backend = await BackendProcess.start(
            stack, frozenset(cores[:1]), MAX_BACKEND_PORTS, BACKEND_MARGIN + size.change_seconds
        )
        launcher = ProxyLauncher(program, stack, folder, backend.ports, seed)
        loaded = await change_under_load(launcher, stack, seed, size, cores)
        _report_changes(loaded)
        idle = await change_without_load(launcher, size, cores)
        _report_costs(idle)
    return _Measurements(loaded, idle)


def run(options: RunOptions) -> RunResult:
    """Measure changes of settings by SIGHUP at real proxies; writes settings.json."""
    start, size = time.monotonic(), QUICK if options.quick else FULL
    program = ProxyProgram.of_tree(options.program)
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, cores[:1])
    try:
        measurements = asyncio.run(_measure(program, options.seed, size, cores[1:] or cores))
    finally:
        os.sched_setaffinity(0, cores)
    figures = budget_figures(measurements.loaded.changes.delays.worst(), measurements.idle.costs[-1])
    body = measurements.as_dict() | {
        "quick": options.quick,
        "proxies": size.proxies,
        "rows": size.endpoint_counts[-1],
        "cores": len(cores),
        "program": tree_commit(options.program),
        "figures": figures,
        "note": NOTE,
        "duration": time.monotonic() - start,
    }
    return RunResult(figures, write_result(options.result_name(NAME), options.seed, body, options.out))
