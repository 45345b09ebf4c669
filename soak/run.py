"""One run: real proxies with test backends, clients, discovery and faults; then the check of its history."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

import numpy as np

from soak.backends import BackendFleet, BackendResults
from soak.clients import Clients
from soak.endpoint_list import EndpointList
from soak.environment import TestEnvironment
from soak.fault_injection import FaultInjector
from soak.history import History
from soak.history_checker import HistoryChecker
from soak.managed_proxy import LaunchOptions
from soak.proxy_faults import KILL_DELAY
from soak.proxy_fleet import ProxyFleet
from soak.proxy_settings import DEADLINE, DEDUPLICATION_WINDOW, proxy_settings
from soak.scheduling_delay import SchedulingDelayMeter
from testbed.child_process import ChildProcess
from testbed.loopback import free_ports
from testbed.proxy_config import ProxyConfig

if TYPE_CHECKING:
    from soak.fault_kinds import FaultKind
    from soak.scenario import Scenario
    from soak.violations import Violation

BACKENDS = 14
PORTS_PER_PROXY = 3  # one of the proxy, and one of each of its two discovery agents
SEED_BITS = 64  # bits of the seed in a proxy's configuration
FAULT_LOG = "faults.log"  # name of the fault log's file


@dataclass(slots=True, frozen=True)
class RunOptions:
    """The options of a run.

    Attributes:
        seed: The seed of all random generators in the run. The timing of the processes is not reproducible.
        seconds: How long clients send requests.
        proxies: The number of proxies.
        folder: The folder of the proxies' files and event logs. None uses a temporary folder and writes no
            event logs.
    """

    seed: int
    seconds: float
    proxies: int
    folder: Path | None = None


@dataclass(slots=True, frozen=True)
class RunReport:
    """The results of a run.

    Attributes:
        violations: The violations of rules, in the order of time.
        outcomes: The number of requests by outcome and status.
        faults: The number of injected faults by kind.
        max_scheduling_delay: The longest scheduling delay of the soak test's own processes in seconds.
        max_resident: The largest resident memory of a proxy, in bytes.
    """

    violations: list[Violation]
    outcomes: Counter[str]
    faults: Counter[FaultKind]
    max_scheduling_delay: float
    max_resident: int


async def run(scenario: Scenario, options: RunOptions) -> RunReport:
    """Run a scenario, and check its history."""
    with ExitStack() as stack:
        folder = options.folder or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="soak-")))
        folder.mkdir(parents=True, exist_ok=True)
        names = [f"s{number}" for number in range(BACKENDS)]
        backends = stack.enter_context(ChildProcess(BackendFleet, names, options.seed, scenario.backends))
        return await _run_in(folder, scenario, options, backends)


async def _run_in(folder: Path, scenario: Scenario, options: RunOptions, backends: ChildProcess) -> RunReport:
    history = History(deduplication_window=DEDUPLICATION_WINDOW)
    environment = await _set_up(folder, scenario, options, backends, history)
    delay_meter = SchedulingDelayMeter()
    injector = FaultInjector(environment, options.seed + 2, scenario.faults)
    try:
        await environment.proxies.start_all()
        until = time.monotonic() + options.seconds
        await asyncio.gather(environment.clients.run(until), injector.run(until))
        environment.proxies.reap()
    finally:
        await environment.proxies.stop_all(DEADLINE + KILL_DELAY)
        (folder / FAULT_LOG).write_text("\n".join(injector.log.lines) + "\n")
    environment.endpoints.record_open_drains()
    environment.endpoints.registry.close()
    results: BackendResults = backends.call("results")
    delay_meter.stop()
    history.arrivals = results.arrivals
    history.scheduling_delays = results.scheduling_delays + delay_meter.delays
    return _report(history, injector)


async def _set_up(
    folder: Path, scenario: Scenario, options: RunOptions, backends: ChildProcess, history: History
) -> TestEnvironment:
    """Start backends and discovery, and create the proxies and clients without starting them."""
    count = options.proxies
    endpoints = EndpointList(backends.call("start"), count, history)
    ports = free_ports(PORTS_PER_PROXY * count, np.random.default_rng(options.seed))
    proxy_ports, discovery_ports = ports[:count], ports[count:]
    discovery = list(zip(discovery_ports[::2], discovery_ports[1::2], strict=True))
    await endpoints.open_agents(discovery)
    faults = replace(scenario.system_calls, seed=options.seed, punctual_ports=tuple(discovery_ports))
    log_events = options.folder is not None
    proxies = ProxyFleet(LaunchOptions(folder, history, faults, log_events))
    rng = random.Random(options.seed)
    for number, port in enumerate(proxy_ports):
        seed = f"{rng.getrandbits(SEED_BITS):0{SEED_BITS // 4}x}"
        known, settings = endpoints.snapshot(), proxy_settings(count, number)
        proxies.add(
            ProxyConfig(
                f"p{number}",
                port,
                discovery[number][0],
                seed,
                known,
                settings,
                version="0",
                memory_mb=scenario.memory_mb,
            )
        )
    clients = Clients(proxies, history, scenario.clients, options.seed + 1)
    return TestEnvironment(proxies, backends, endpoints, clients, discovery)


def _report(history: History, injector: FaultInjector) -> RunReport:
    outcomes = Counter(
        f"{request.outcome} {request.status}" if request.status else str(request.outcome)
        for request in history.requests
    )
    return RunReport(
        HistoryChecker(history).violations(),
        outcomes,
        injector.counts,
        max((delay.seconds for delay in history.scheduling_delays), default=0.0),
        max((incarnation.peak_resident for incarnation in history.incarnations), default=0),
    )
