"""One run: real proxies between stand-in backends, clients and discovery, troubles, and the verdict."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING

import numpy as np

from soak.backends import BackendFleet, Behaviour
from soak.clients import ClientMix, Clients
from soak.history import History
from soak.history_checker import HistoryChecker
from soak.proxies import ProxyFleet
from soak.schedule import KILL_DELAY, Troubles, World
from soak.scheduling_delay import SchedulingDelayMeter
from soak.shim import Faults
from soak.world import DEADLINE, DEDUPLICATION_WINDOW, EndpointList, settings
from testbed.child_process import ChildProcess
from testbed.loopback import free_ports
from testbed.proxy_config import ProxyConfig

if TYPE_CHECKING:
    from soak.violations import Violation

BACKENDS = 14
PORTS_PER_PROXY = 3  # of the proxy itself, and of the two places of its discovery


@dataclass(slots=True, frozen=True)
class Scenario:
    """What a run is made of.

    Attributes:
        help: One line on it.
        faults: What fails inside the proxies.
        mix: What clients do.
        behaviour: What backends do.
        troubles: The kinds of trouble; all where none is named.
    """

    help: str
    faults: Faults = field(default_factory=Faults)
    mix: ClientMix = field(default_factory=ClientMix)
    behaviour: Behaviour = field(default_factory=Behaviour)
    troubles: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class RunReport:
    """What came of a run.

    Attributes:
        violations: The broken rules, in the order of time.
        endings: How many requests ended how, with the status of answers.
        troubles: How many troubles of each kind there were.
        max_lag: Seconds by which the run's own processes were late at most.
        max_resident: Bytes of memory that a proxy had at its end, at most.
    """

    violations: list[Violation]
    endings: Counter[str]
    troubles: dict[str, int]
    max_lag: float
    max_resident: int


async def run(
    scenario: Scenario, seed: int, seconds: float, proxies: int, folder: Path | None = None
) -> RunReport:
    """Play a scenario.

    Args:
        scenario: What to play.
        seed: For everything random; what the processes do beside each other stays their own.
        seconds: How long clients send requests.
        proxies: How many proxies there are.
        folder: Where the proxies' files and event logs stay; by default nothing stays.
    """
    with ExitStack() as stack:
        kept = folder or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="soak-")))
        kept.mkdir(parents=True, exist_ok=True)
        names = [f"s{number}" for number in range(BACKENDS)]
        backends = stack.enter_context(ChildProcess(BackendFleet, names, seed, scenario.behaviour))
        return await _play(scenario, seed, seconds, proxies, kept, backends, log_events=folder is not None)


async def _play(
    scenario: Scenario,
    seed: int,
    seconds: float,
    proxies: int,
    folder: Path,
    backends: ChildProcess,
    log_events: bool,
) -> RunReport:
    history = History(deduplication_window=DEDUPLICATION_WINDOW)
    endpoints = EndpointList(backends.call("start"), proxies, history)
    ports = free_ports(PORTS_PER_PROXY * proxies, np.random.default_rng(seed))
    listening, discovery = ports[:proxies], list(zip(ports[proxies::2], ports[proxies + 1 :: 2], strict=True))
    await endpoints.open_agents(discovery)
    faults = replace(scenario.faults, seed=seed, punctual_ports=tuple(ports[proxies:]))
    fleet = ProxyFleet(folder, history, faults, log_events)
    draw = random.Random(seed)
    for number, port in enumerate(listening):
        known, config = endpoints.snapshot(), settings(proxies, number)
        seed_text = f"{draw.getrandbits(64):016x}"
        fleet.add(ProxyConfig(f"p{number}", port, discovery[number][0], seed_text, known, config, "0"))
    delay_meter = SchedulingDelayMeter()
    clients = Clients(fleet, history, scenario.mix, seed + 1)
    troubles = Troubles(World(fleet, backends, endpoints, clients, discovery), seed + 2, scenario.troubles)
    try:
        await fleet.start_all()
        until = time.monotonic() + seconds
        await asyncio.gather(clients.run(until), troubles.run(until))
        fleet.note_ended()
    finally:
        await fleet.stop_all(DEADLINE + KILL_DELAY)
        (folder / "troubles.log").write_text("\n".join(troubles.lines) + "\n")
    endpoints.finish()
    endpoints.registry.close()
    history.arrivals, delays = backends.call("results")
    history.scheduling_delays = delays + delay_meter.delays
    delay_meter.stop()
    return _report(history, troubles)


def _report(history: History, troubles: Troubles) -> RunReport:
    endings = Counter(
        f"{request.outcome} {request.status}" if request.status else str(request.outcome)
        for request in history.requests
    )
    return RunReport(
        HistoryChecker(history).violations(),
        endings,
        troubles.counts,
        max((delay.seconds for delay in history.scheduling_delays), default=0.0),
        max((incarnation.resident for incarnation in history.incarnations), default=0),
    )
