"""The run `simulated-cost`: compares the control-plane cost of simulated proxies with that of real ones.

Four proxies of each kind watch one registry and receive the same updates at the same time.
`emulator.measurement.control_cost` computes the comparison. The result file keeps its former name and keys,
in which "hollow" is a simulated proxy, so that results stay comparable with older ones.
"""

from __future__ import annotations

import time
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from emulator.errors import SnapshotTimeoutError
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

PROXIES = 4  # in each group
CHANGE_RATE = 10.0  # changes a second; slow enough that a proxy applies each change separately
SNAPSHOT_TIMEOUT = 15.0  # seconds until every proxy must have received its endpoint list
SETTLING_TIME = 1.0  # seconds until proxies have applied what was sent to them
RECONNECT_TIME = 0.3  # seconds until watches have reconnected after a reset
POLL_INTERVAL = 0.05  # seconds between two checks for snapshots
REAL, SIMULATED = "real", "simulated"  # the groups of proxies, and their endpoints at the registry
NAME = "simulated-cost"
RESULT_NAME = "hollow"
NOTE = (
    "a simulated proxy (hollow) has no connections to clients and backends: it does not sweep them, keeps no "
    "addresses of backends, and shares the memory of its interpreter with the other proxies of its process"
)


@dataclass(slots=True, frozen=True)
class RunSize:
    """The size of a run.

    Attributes:
        change_seconds: Time in which single entries change.
        snapshots: Number of snapshots sent to each proxy.
        idle_seconds: Time in which only heartbeats are sent.
    """

    change_seconds: float
    snapshots: int
    idle_seconds: float


FULL = RunSize(change_seconds=15.0, snapshots=20, idle_seconds=10.0)
QUICK = RunSize(change_seconds=1.5, snapshots=3, idle_seconds=2.0)


class Comparison:
    """Two groups of proxies at one registry; causes events at both groups, and measures their cost."""

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

    def measure(self, cause_events: Callable[[], int]) -> EventCost:
        """Cause events of one kind, and measure the cost of one event for a proxy of each group.

        Args:
            cause_events: Causes the events, and returns their number.
        """
        before, started = self._readings(), time.monotonic()
        event_count = cause_events()
        time.sleep(SETTLING_TIME)
        after = self._readings()
        costs = {group: after[group].cost_since(before[group], event_count, PROXIES) for group in after}
        return EventCost(event_count, time.monotonic() - started, costs[REAL], costs[SIMULATED])

    def _readings(self) -> dict[str, GroupReading]:
        # Both groups are read from outside, not by the processes themselves, so that they are comparable.
        return {
            REAL: GroupReading(total_usage(self._real_pids).processor, self._sent_bytes(REAL)),
            SIMULATED: GroupReading(
                process_usage(self._simulated.pid).processor, self._sent_bytes(SIMULATED)
            ),
        }

    def _sent_bytes(self, group: str) -> int:
        return int(self._registry.call("endpoint_traffic", group).sent_bytes)

    def publish_changes(self, seconds: float) -> int:
        """Change single entries at `CHANGE_RATE`, and return the number of changes."""
        index_before = self._index
        for _ in evenly_spaced(CHANGE_RATE, seconds):
            self._index += 1
            self._registry.call("publish", self._index, [self._changes.change_random()])
        return self._index - index_before

    def send_snapshots(self, count: int) -> int:
        """Make all proxies reconnect for a snapshot, `count` times, and return the number of snapshots."""
        for number in range(count):
            self._registry.call("reset_connections", [REAL, SIMULATED], forget_log=True)
            time.sleep(RECONNECT_TIME)
            wait_for_snapshots(self._registry, number + 2)  # each proxy got its first snapshot at its start
        return count

    def stay_idle(self, seconds: float) -> int:
        """Wait while only heartbeats are sent; the wait counts as one event."""
        time.sleep(seconds)
        return 1

    def memory(self) -> dict[str, float]:
        """Return the resident memory in MB, as stored in the result file."""
        return {
            "real_mb": total_usage(self._real_pids).memory / PROXIES / MB,
            "hollow_mb": self._start_cost.added_memory / PROXIES / MB,
            "hollow_process_mb": process_usage(self._simulated.pid).memory / MB,
        }


@contextmanager
def running_comparison(seed: int) -> Iterator[Comparison]:
    """Start the registry and both groups of proxies, and wait until every proxy has its endpoint list.

    Raises:
        SnapshotTimeoutError: A proxy does not receive its list in time.
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
    """Wait until `count` snapshots have been sent to every proxy of both groups.

    Raises:
        SnapshotTimeoutError: The snapshots are not sent within `SNAPSHOT_TIMEOUT`.
    """
    deadline = time.monotonic() + SNAPSHOT_TIMEOUT
    while any(
        registry.call("endpoint_traffic", group).snapshots < PROXIES * count for group in (REAL, SIMULATED)
    ):
        if time.monotonic() > deadline:
            raise SnapshotTimeoutError
        time.sleep(POLL_INTERVAL)


def run(options: RunOptions) -> RunResult:
    """Compare the cost of updates at simulated proxies with that at real ones; writes hollow.json."""
    started = time.monotonic()
    with running_comparison(options.seed) as comparison:
        report_progress(NAME, f"{PROXIES} real and {PROXIES} simulated proxies have their endpoint lists")
        events = _measure_events(comparison, QUICK if options.quick else FULL)
        memory = comparison.memory()
    for name, event in events.items():
        differences = {figure: round(value or 0.0, 1) for figure, value in event.difference_percent().items()}
        report_progress(NAME, f"{name}: cost of simulated above real proxies in percent: {differences}")
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


def _measure_events(comparison: Comparison, size: RunSize) -> dict[str, EventCost]:
    """Measure the cost of each kind of event, by its name in the result file."""
    change = comparison.measure(lambda: comparison.publish_changes(size.change_seconds))
    snapshot = comparison.measure(lambda: comparison.send_snapshots(size.snapshots))
    idle = comparison.measure(lambda: comparison.stay_idle(size.idle_seconds))
    return {
        "change": change.with_net_cost(idle),
        "whole_list": snapshot.with_net_cost(idle),
        "idle": idle,
    }


def _mean_processor_percent(events: dict[str, EventCost]) -> float:
    """Compute the control-plane cost of a real proxy in percent of a core, as the mean over a target day."""
    idle = events["idle"]
    idle_share = idle.real.processor_seconds / idle.seconds
    change_rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    return 100.0 * (idle_share + change_rate * events["change"].real.processor_seconds)
