"""The latency that a real proxy adds to a call, on loopback, against the same backend called directly.

One trial runs a stub backend, a number of real proxies and one open-loop load generator, which calls through
each proxy and, in the same run, straight to the backend. What is measured is described in
`emulator.runs.latency_trials`, what comes of it in `emulator.runs.latency_report`.
"""

from __future__ import annotations

import asyncio
import os
import time
from contextlib import AsyncExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

import click
import numpy as np

from emulator.fleet.placement import Placement, place_processes
from emulator.fleet.role_processes import MAX_BACKEND_PORTS, BackendProcess, LoadGeneratorProcess
from emulator.fleet.stub_fleet import endpoint_snapshot, stub_proxy_settings
from emulator.load.plan import LoadPlan, Stream
from emulator.measurement.result import write_result
from emulator.runs.common import RunOptions, RunResult
from emulator.runs.latency_report import ALL_PROXIES, TrialReport, TrialUsage, UsagePair, budget_figures
from emulator.runs.latency_trials import WARMUP, Trial, quick_schedule, schedule
from testbed.discovery.registry import serve_static_list
from testbed.health_check import wait_until_healthy
from testbed.loopback import free_ports
from testbed.paths import PROJECT_ROOT
from testbed.processes import STARTUP_TIMEOUT, ManagedProcess
from testbed.proxy_config import ProxyConfig
from testbed.proxy_program import ProxyProgram

if TYPE_CHECKING:
    from collections.abc import Sequence

    from emulator.measurement.json_values import JsonObject

NAME = "added"


async def _start_proxies(
    stack: AsyncExitStack, trial: Trial, placement: Placement, seed: int, backend_ports: Sequence[int]
) -> tuple[list[ManagedProcess], list[int]]:
    """Start the trial's proxies, and wait until they are ready; return them and the ports they listen on."""
    snapshot = endpoint_snapshot(trial.rows, backend_ports)
    discovery_port = await serve_static_list(stack, snapshot)
    folder = Path(stack.enter_context(TemporaryDirectory()))
    # Drawn by the trial's name as well: two trials that run at once must not try the same ports.
    ports = free_ports(len(trial.rates), np.random.default_rng([seed, *trial.name.encode()]))
    program = ProxyProgram.of_tree(PROJECT_ROOT)
    processes = []
    for ordinal, (port, cores) in enumerate(zip(ports, placement.proxies, strict=True)):
        path = folder / f"n{ordinal}.json"
        config = ProxyConfig(
            name=f"n{ordinal}",
            port=port,
            discovery_port=discovery_port,
            seed=f"{seed * 1000 + ordinal:016x}",
            known=snapshot,
            settings=stub_proxy_settings(len(ports), ordinal),
        )
        config.write(path)
        processes.append(await program.start(stack, cores, path))
    await asyncio.gather(*map(wait_until_healthy, ports))
    return processes, ports


def _plan(trial: Trial, seed: int, proxy_ports: Sequence[int], backend_ports: Sequence[int]) -> LoadPlan:
    """Plan a stream of calls through each proxy and, as the last one, a stream straight to the backend."""
    through = [
        Stream(f"n{ordinal}", [port], rate)
        for ordinal, (port, rate) in enumerate(zip(proxy_ports, trial.rates, strict=True))
    ]
    return LoadPlan(seed, WARMUP, trial.seconds, [*through, Stream("direct", backend_ports, trial.direct)])


async def _measure(trial: Trial, cores: Sequence[int], seed: int) -> TrialReport:
    """Run one trial on these cores."""
    placement = place_processes(cores, len(trial.rates))
    async with AsyncExitStack() as stack:
        backend = await BackendProcess.start(
            stack,
            placement.backend,
            min(trial.rows, MAX_BACKEND_PORTS),
            WARMUP + trial.seconds + 3 * STARTUP_TIMEOUT,
        )
        proxies, ports = await _start_proxies(stack, trial, placement, seed, backend.ports)
        plan = _plan(trial, seed, ports, backend.ports)
        generator = await LoadGeneratorProcess.start(stack, placement.load_generator, plan)
        processes = [*proxies, backend.process, generator.process]
        before = [process.usage() for process in processes]
        await generator.begin()
        load = await generator.report(WARMUP + trial.seconds + STARTUP_TIMEOUT)
        after = [process.usage() for process in processes]
    *by_proxy, by_backend, by_generator = map(UsagePair, before, after)
    return TrialReport.of(trial, placement, load, TrialUsage(by_proxy, by_backend, by_generator))


async def _run_batches(
    batches: Sequence[Sequence[Trial]], cores: Sequence[int], seed: int
) -> dict[str, TrialReport]:
    """Run all batches one after another; return the report of each trial by its name."""
    reports: dict[str, TrialReport] = {}
    for batch in batches:
        names = "; ".join(trial.name for trial in batch)
        click.echo(f"{NAME}: {names}: {batch[0].seconds:.0f} s")
        part = max(1, len(cores) // len(batch))
        parts = [cores[n * part : (n + 1) * part] or cores for n in range(len(batch))]
        measured = await asyncio.gather(*(_measure(*each, seed) for each in zip(batch, parts, strict=True)))
        for report in measured:
            reports[report.trial.name] = report
            click.echo(f"{NAME}: {report.summary()}")
    return reports


def run(options: RunOptions) -> RunResult:
    """The time that real proxies add to a call, against the same backend called directly.

    Writes added.json. Raises ProcessError or OSError where a process does not start or ends early.
    """
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, cores[:1])
    start = time.monotonic()
    try:
        batches = quick_schedule() if options.quick else schedule(cores)
        reports = asyncio.run(_run_batches(batches, cores[1:] or cores, options.seed))
    finally:
        os.sched_setaffinity(0, cores)
    figures = budget_figures({name: report.added()[ALL_PROXIES] for name, report in reports.items()})
    body: JsonObject = {
        "cores": len(cores),
        "wall_s": time.monotonic() - start,
        "warmup_s": WARMUP,
        "trials": {name: report.as_dict() for name, report in reports.items()},
        "figures": figures,
    }
    return RunResult(figures, write_result(options.result_name(NAME), options.seed, body, options.out))
