"""The run `simulated-cost`: what control costs a simulated proxy, compared with a real one.

Four proxies of each kind watch one registry and are given the same events at the same time. The run
owns the processes and the events; the comparison is worked out in `emulator.measurement.control_cost`. Its
result file keeps its former name and keys, in which "hollow" is a simulated proxy, so that older results
can be compared.
"""

from __future__ import annotations

import time
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from emulator.errors import WatchTimeoutError
from emulator.fleet import topology
from emulator.fleet.real_proxies import real_proxies
from emulator.fleet.simulated_host import ProxyPlacement, SimulatedHost, StartCost
from emulator.measurement.control_cost import EventCost, GroupReading
from emulator.measurement.result import write_result
from emulator.runs.common import (
    CHANGES_PER_DAY,
    SECONDS_PER_DAY,
    RunOptions,
    RunResult,
    report_progress,
)
from emulator.runs.endpoint_changes import EndpointChanges
from emulator.runs.pacing import evenly_spaced
from testbed.child_process import ChildProcess
from testbed.discovery.registry import EndpointAddress, Registry
from testbed.loopback import free_ports
from testbed.meter import MB, process_usage, total_usage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from emulator.measurement.json_values import JsonObject
PROXIES = 4  # of each group
CHANGE_RATE = 10.0  # changes a second: each is applied alone
SNAPSHOT_TIMEOUT = 15.0  # seconds in which every proxy has been sent its list
SETTLING_TIME = 1.0  # seconds after which what was sent has been applied
RECONNECT_TIME = 0.3  # seconds in which watches that were reset reconnect
POLL_INTERVAL = 0.05  # seconds between two checks
REAL, SIMULATED = "real", "simulated"  # the two groups' endpoints
NAME = "simulated-cost"
RESULT_NAME = "hollow"
NOTE = (
    "a simulated proxy (hollow) has no connections of clients and backends: it does not sweep them, keeps no "
    "addresses of backends, and shares its interpreter's memory with the others of its process"
)


@dataclass(slots=True, frozen=True)
class Amounts:
    """How many events of each kind happen, or for how long."""

    change_seconds: float
    snapshots: int
    idle_seconds: float


FULL = Amounts(change_seconds=15.0, snapshots=20, idle_seconds=10.0)
QUICK = Amounts(change_seconds=1.5, snapshots=3, idle_seconds=2.0)


class Comparison:
    """The two groups of proxies at one registry, the events that happen to them, and their costs."""

    def __init__(
        self,
        registry: ChildProcess,
        real_pids: list[int],
        simulated: ChildProcess,
        changes: EndpointChanges,
        start_cost: StartCost,
    ) -> None:
        self._registry, self._real_pids, self._simulated = registry, real_pids, simulated
        self._changes = changes
        self._start_cost = start_cost
        self._index = 1

    def measure(self, event: Callable[[], int]) -> EventCost:
        """Carry out events of one kind, and measure what one of them costs a proxy of each group.

        Args:
            event: Carries them out; returns how many there were.
        """
        before, started = self._readings(), time.monotonic()
        events = event()
        time.sleep(SETTLING_TIME)
        after = self._readings()
        costs = {group: after[group].cost_since(before[group], events, PROXIES) for group in after}
        return EventCost(events, time.monotonic() - started, costs[REAL], costs[SIMULATED])

    def _readings(self) -> dict[str, GroupReading]:
        # The same instrument for both: from outside, not the process's own clock.
        return {
            REAL: GroupReading(total_usage(self._real_pids).processor, self._sent_bytes(REAL)),
            SIMULATED: GroupReading(
                process_usage(self._simulated.pid).processor, self._sent_bytes(SIMULATED)
            ),
        }

    def _sent_bytes(self, group: str) -> int:
        return int(self._registry.call("endpoint_traffic", group).sent_bytes)

    def publish_changes(self, seconds: float) -> int:
        """Change single entries at the run's rate; returns how many."""
        first = self._index
        for _ in evenly_spaced(CHANGE_RATE, seconds):
            self._index += 1
            self._registry.call("publish", self._index, [self._changes.change_any()])
        return self._index - first

    def send_snapshots(self, count: int) -> int:
        """Make both groups reconnect for a complete list, `count` times."""
        for number in range(count):
            self._registry.call("reset_connections", [REAL, SIMULATED], forget_log=True)
            time.sleep(RECONNECT_TIME)
            wait_for_snapshots(self._registry, number + 2)  # the first was that of the start
        return count

    def stay_idle(self, seconds: float) -> int:
        """Wait while nothing but heartbeats is sent, which counts as one event."""
        time.sleep(seconds)
        return 1

    def memory(self) -> dict[str, float]:
        """Read the resident memory in MB, as a result holds it."""
        return {
            "real_mb": total_usage(self._real_pids).memory / PROXIES / MB,
            "hollow_mb": self._start_cost.added_memory / PROXIES / MB,
            "hollow_process_mb": process_usage(self._simulated.pid).memory / MB,
        }


@contextmanager
def running_comparison(seed: int) -> Iterator[Comparison]:
    """Start the registry and both groups, and wait until all of them watch.

    Raises:
        WatchTimeoutError: A proxy does not watch in time.
    """
    rng = np.random.default_rng(seed)
    fleet = topology.build(seed)
    changes = EndpointChanges(fleet.entries, rng)
    real_port, simulated_port, *ports = free_ports(PROXIES + 2, rng)
    with ExitStack() as stack:
        registry = stack.enter_context(ChildProcess(Registry, fleet.entries))
        addresses = [EndpointAddress(REAL, real_port), EndpointAddress(SIMULATED, simulated_port)]
        registry.call("open_endpoints", addresses)
        real_pids = stack.enter_context(real_proxies(fleet, ports, real_port))
        simulated = stack.enter_context(ChildProcess(SimulatedHost, seed, topology.BACKENDS))
        placements = [ProxyPlacement(position, simulated_port) for position in range(PROXIES)]
        start_cost: StartCost = simulated.call("start_proxies", placements)
        simulated.call("freeze")
        wait_for_snapshots(registry)
        time.sleep(SETTLING_TIME)
        yield Comparison(registry, real_pids, simulated, changes, start_cost)


def wait_for_snapshots(registry: ChildProcess, count: int = 1) -> None:
    """Wait until every proxy of both groups has been sent `count` complete lists.

    Raises:
        WatchTimeoutError: It takes too long.
    """
    deadline = time.monotonic() + SNAPSHOT_TIMEOUT
    while any(
        registry.call("endpoint_traffic", name).snapshots < PROXIES * count for name in (REAL, SIMULATED)
    ):
        if time.monotonic() > deadline:
            raise WatchTimeoutError
        time.sleep(POLL_INTERVAL)


def run(options: RunOptions) -> RunResult:
    """Changes of one row, snapshots and keepalive lines at real and simulated proxies; writes hollow.json."""
    started = time.monotonic()
    with running_comparison(options.seed) as comparison:
        report_progress(NAME, f"{PROXIES} real and {PROXIES} simulated proxies watch")
        events = _measure_events(comparison, QUICK if options.quick else FULL)
        memory = comparison.memory()
    for name, event in events.items():
        differences = {figure: round(value or 0.0, 1) for figure, value in event.difference_percent().items()}
        report_progress(NAME, f"{name}: simulated compared with real, in percent: {differences}")
    figures = {"memory": memory["real_mb"], "processor_mean": _mean_processor_percent(events)}
    body: JsonObject = {
        "quick": options.quick,
        "rows": topology.BACKENDS,
        "proxies": PROXIES,
        "events": {name: event.as_dict() for name, event in events.items()},
        "memory": memory,
        "figures": figures,
        "note": NOTE,
        "duration": time.monotonic() - started,
    }
    return RunResult(figures, write_result(options.result_name(RESULT_NAME), options.seed, body, options.out))


def _measure_events(comparison: Comparison, amounts: Amounts) -> dict[str, EventCost]:
    """Measure the cost of each kind of event, by its name in the result."""
    change = comparison.measure(lambda: comparison.publish_changes(amounts.change_seconds))
    snapshot = comparison.measure(lambda: comparison.send_snapshots(amounts.snapshots))
    idle = comparison.measure(lambda: comparison.stay_idle(amounts.idle_seconds))
    return {
        "change": change.with_net_cost(idle),
        "whole_list": snapshot.with_net_cost(idle),
        "idle": idle,
    }


def _mean_processor_percent(events: dict[str, EventCost]) -> float:
    """Work out what percentage of a core control takes at a real proxy, averaged over the target's day."""
    idle = events["idle"]
    idle_share = idle.real.processor_seconds / idle.seconds
    return 100.0 * (idle_share + CHANGES_PER_DAY / SECONDS_PER_DAY * events["change"].real.processor_seconds)
