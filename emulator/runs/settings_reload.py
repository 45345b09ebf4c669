"""The run `settings`: changes that come into force without a restart, at real proxies.

It measures their age, processor time and memory, and the calls lost during them. The changes are built in
`emulator.runs.settings_changes`, and `emulator.runs.settings_measurement` makes and measures them.
"""

from __future__ import annotations

import asyncio
import os
import time
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
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
from emulator.runs.settings_report import (
    MAX_AGE,
    ReloadCost,
    budget_figures,
)
from testbed.proxy_program import ProxyProgram

if TYPE_CHECKING:
    from collections.abc import Sequence

    from emulator.measurement.json_values import JsonObject

NAME = "settings"
BACKEND_MARGIN = 60.0  # seconds that the backend runs beyond the series of changes
NOTE = (
    "an age runs from before the first file of a change is written until a proxy's health check names "
    "it; a reload is one SIGHUP with other settings, reading the file and its cached list included; a "
    "reread one with the same settings; their difference is the swap; what a proxy spends idle is left "
    "out"
)


def _fits(costs: Sequence[ReloadCost]) -> JsonObject:
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

    loaded: LoadedChanges
    idle: IdleChanges

    def as_dict(self) -> JsonObject:
        """Return plain values for the result."""
        return {
            "changes": self.loaded.changes.as_dict() | {"calls": self.loaded.calls.as_dict()},
            "memory": asdict(self.idle.memory),
            "points": [asdict(cost) for cost in self.idle.costs],
            "fits": _fits(self.idle.costs),
            "core_percent": 100.0 * self.idle.costs[-1].reload * CHANGES_PER_DAY / SECONDS_PER_DAY,
        }


def _report_changes(loaded: LoadedChanges) -> None:
    changes, calls = loaded.changes, loaded.calls
    in_force, given_up = len(changes.all.in_force), len(changes.all.given_up)
    report_progress(
        NAME,
        f"{in_force} of {in_force + given_up} in force within {MAX_AGE:g} s, "
        f"worst {changes.all.worst():.3f} s; {calls.outcomes.lost} of {calls.outcomes.calls} calls lost",
    )


def _report_costs(idle: IdleChanges) -> None:
    cost, memory = idle.costs[-1], idle.memory
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
        loaded = await change_under_load(launcher, stack, seed, size, cores)
        _report_changes(loaded)
        idle = await change_without_load(launcher, size, cores)
        _report_costs(idle)
    return _Measured(loaded, idle)


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
    figures = budget_figures(measured.loaded.changes.all.worst(), measured.idle.costs[-1])
    body = measured.as_dict() | {
        "quick": options.quick,
        "proxies": size.proxies,
        "rows": size.rows[-1],
        "cores": len(cores),
        "program": tree_commit(options.program),
        "figures": figures,
        "note": NOTE,
        "duration": time.monotonic() - start,
    }
    return RunResult(figures, write_result(options.result_name(NAME), options.seed, body, options.out))
