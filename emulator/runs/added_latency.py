"""The run `added`: the latency that a real proxy adds to a request, measured on loopback.

Each scenario starts a stub backend, a number of real proxies and one open-loop load generator. The generator
sends requests through each proxy and, at the same time, directly to the backend. The scenarios are in
`emulator.runs.latency_scenarios`, their reports in `emulator.runs.latency_report`.
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
from emulator.runs.latency_report import ALL_PROXIES, ScenarioReport, ScenarioUsage, UsagePair, budget_figures
from emulator.runs.latency_scenarios import WARMUP, Scenario, quick_schedule, schedule
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
    stack: AsyncExitStack, scenario: Scenario, placement: Placement, seed: int, backend_ports: Sequence[int]
) -> tuple[list[ManagedProcess], list[int]]:
    """Start the proxies of a scenario and wait until they are ready; return them and their ports."""
    snapshot = endpoint_snapshot(scenario.endpoint_count, backend_ports)
    discovery_port = await serve_static_list(stack, snapshot)
    folder = Path(stack.enter_context(TemporaryDirectory()))
    # The scenario's name is part of the seed, so that two scenarios at the same time draw different ports.
    rng = np.random.default_rng([seed, *scenario.name.encode()])
    ports = free_ports(len(scenario.proxy_rates), rng)
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


def _load_plan(
    scenario: Scenario, seed: int, proxy_ports: Sequence[int], backend_ports: Sequence[int]
) -> LoadPlan:
    """Plan one stream of requests through each proxy, and then one stream directly to the backend."""
    proxy_streams = [
        Stream(f"n{ordinal}", [port], rate)
        for ordinal, (port, rate) in enumerate(zip(proxy_ports, scenario.proxy_rates, strict=True))
    ]
    direct_stream = Stream("direct", backend_ports, scenario.direct_rate)
    return LoadPlan(seed, WARMUP, scenario.seconds, [*proxy_streams, direct_stream])


async def _run_scenario(scenario: Scenario, cores: Sequence[int], seed: int) -> ScenarioReport:
    """Run and measure one scenario on these cores."""
    placement = place_processes(cores, len(scenario.proxy_rates))
    async with AsyncExitStack() as stack:
        backend = await BackendProcess.start(
            stack,
            placement.backend,
            min(scenario.endpoint_count, MAX_BACKEND_PORTS),
            WARMUP + scenario.seconds + 3 * STARTUP_TIMEOUT,
        )
        proxies, ports = await _start_proxies(stack, scenario, placement, seed, backend.ports)
        plan = _load_plan(scenario, seed, ports, backend.ports)
        generator = await LoadGeneratorProcess.start(stack, placement.load_generator, plan)
        processes = [*proxies, backend.process, generator.process]
        before = [process.usage() for process in processes]
        await generator.begin()
        load = await generator.report(WARMUP + scenario.seconds + STARTUP_TIMEOUT)
        after = [process.usage() for process in processes]
    *proxy_usages, backend_usage, generator_usage = map(UsagePair, before, after)
    usage = ScenarioUsage(proxy_usages, backend_usage, generator_usage)
    return ScenarioReport.of(scenario, placement, load, usage)


async def _run_batches(
    batches: Sequence[Sequence[Scenario]], cores: Sequence[int], seed: int
) -> dict[str, ScenarioReport]:
    """Run the batches one after another; return the report of each scenario by its name."""
    reports: dict[str, ScenarioReport] = {}
    for batch in batches:
        names = "; ".join(scenario.name for scenario in batch)
        click.echo(f"{NAME}: {names}: {batch[0].seconds:.0f} s")
        share_size = max(1, len(cores) // len(batch))
        core_shares = [
            cores[index * share_size : (index + 1) * share_size] or cores for index in range(len(batch))
        ]
        batch_reports = await asyncio.gather(
            *(
                _run_scenario(scenario, scenario_cores, seed)
                for scenario, scenario_cores in zip(batch, core_shares, strict=True)
            )
        )
        for report in batch_reports:
            reports[report.scenario.name] = report
            click.echo(f"{NAME}: {report.summary()}")
    return reports


def run(options: RunOptions) -> RunResult:
    """Measure the latency that real proxies add to a request, compared with direct requests.

    Writes added.json. Raises ProcessError or OSError if a process does not start or ends early.
    """
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, cores[:1])
    start = time.monotonic()
    try:
        batches = quick_schedule() if options.quick else schedule(cores)
        reports = asyncio.run(_run_batches(batches, cores[1:] or cores, options.seed))
    finally:
        os.sched_setaffinity(0, cores)
    figures = budget_figures({name: report.added_latency()[ALL_PROXIES] for name, report in reports.items()})
    body: JsonObject = {
        "cores": len(cores),
        "wall_s": time.monotonic() - start,
        "warmup_s": WARMUP,
        "trials": {name: report.as_dict() for name, report in reports.items()},
        "figures": figures,
    }
    return RunResult(figures, write_result(options.result_name(NAME), options.seed, body, options.out))
