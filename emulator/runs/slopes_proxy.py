"""Slopes of simulated proxies, from the socket to the balancer, in a separate process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import numpy as np

from emulator.errors import ApplyTimeoutError
from emulator.fleet import topology
from emulator.fleet.simulated_host import ProxyPlacement, SimulatedHost, StartCost
from emulator.measurement.control_cost import GroupReading
from emulator.runs.endpoint_changes import EndpointChanges
from emulator.runs.pacing import evenly_spaced
from emulator.runs.slope import Point, Slope
from emulator.runs.slopes_balancer import backend_counts
from testbed.child_process import ChildProcess
from testbed.discovery.registry import Registry
from testbed.meter import MB, Usage

if TYPE_CHECKING:
    from types import TracebackType

    from emulator.runs.common import RunOptions

CHANGE_RATES = (2.0, 5.0, 10.0, 20.0)  # changes a second
REQUEST_RATES = (50.0, 154.0, 400.0, 800.0)  # requests a second
PROXIES = 8  # enough to distinguish their memory from that of the process itself
APPLY_TIMEOUT = 60.0  # seconds until an update must have been applied
# Seconds between two changes, so that a proxy doesn't read several changes at once: a minimum, and a time for
# each backend at each proxy; the greater of both counts.
MIN_CHANGE_INTERVAL = 0.01
CHANGE_INTERVAL_PER_BACKEND = 8e-6
ENDPOINT = "all"  # name of the registry endpoint, which shows all backends


class WatchBenchmark:
    """A registry and a process of simulated proxies that watch it; both end with the block.

    Attributes:
        proxies: Number of proxies.
        start_cost: Cost of starting the proxies.
    """

    def __init__(self, seed: int, backends: int, proxies: int) -> None:
        fleet = topology.build(seed, backends)
        self.proxies = proxies
        self._index, self._latest_versions = 1, dict[str, int]()
        self._snapshots = 1  # snapshots sent to each proxy
        self._changes = EndpointChanges(fleet.entries, np.random.default_rng(seed))
        self._registry = ChildProcess(Registry, fleet.entries)
        self._host = ChildProcess(SimulatedHost, seed, backends)
        port = self._registry.call("open_endpoint", ENDPOINT)
        placements = [ProxyPlacement(position, port) for position in range(proxies)]
        self.start_cost: StartCost = self._host.call("start_proxies", placements, topology.BACKENDS)
        self._host.call("freeze")

    def publish_change(self) -> None:
        """Change one random entry at the registry."""
        self._index += 1
        entry = self._changes.change_random()
        self._registry.call("publish", self._index, [entry])
        self._latest_versions[entry["name"]] = self._index

    def wait_until_applied(self) -> None:
        """Wait until all proxies have applied every change.

        Raises:
            ApplyTimeoutError: They do not within `APPLY_TIMEOUT`.
        """
        if not self._host.call("wait_until_applied", self._latest_versions, APPLY_TIMEOUT):
            raise ApplyTimeoutError(update="a change", seconds=APPLY_TIMEOUT)

    def send_snapshot(self) -> None:
        """Send a snapshot to all proxies, and wait until they have applied it.

        Raises:
            ApplyTimeoutError: They do not within `APPLY_TIMEOUT`.
        """
        self._snapshots += 1
        self._registry.call("reset_connections", [ENDPOINT], forget_log=True)
        if not self._host.call("wait_for_snapshots", self._snapshots, APPLY_TIMEOUT):
            raise ApplyTimeoutError(update="a snapshot", seconds=APPLY_TIMEOUT)

    def set_request_rate(self, rate: float) -> None:
        """Simulate requests at each proxy at `rate` a second from now on."""
        self._host.call("set_request_rate", rate)

    def host_usage(self) -> Usage:
        """Return the resource usage of the proxies' process, measured by the process itself."""
        usage: Usage = self._host.call("usage")
        return usage

    def reading(self) -> GroupReading:
        """Return the total processor time of the proxies, and the bytes sent to them."""
        processor_seconds = self.host_usage().processor
        return GroupReading(processor_seconds, self._registry.call("endpoint_traffic", ENDPOINT).sent_bytes)

    def __enter__(self) -> WatchBenchmark:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._host.close()
        self._registry.close()


def by_backends(options: RunOptions) -> Slope:
    """Measure time and bytes of a change and of a snapshot, and memory, against the number of backends."""
    points = [_backends_point(options, backends) for backends in backend_counts(options)]
    return Slope(points, "rows", ("change", "whole", "change_bytes", "whole_bytes", "memory_mb"))


def _backends_point(options: RunOptions, backends: int) -> Point:
    changes, snapshots = (6, 2) if options.quick else (30, 6)
    interval = max(MIN_CHANGE_INTERVAL, CHANGE_INTERVAL_PER_BACKEND * backends * PROXIES)
    with WatchBenchmark(options.seed, backends, PROXIES) as benchmark:
        before_changes = benchmark.reading()
        for _ in range(changes):
            benchmark.publish_change()
            time.sleep(interval)
        benchmark.wait_until_applied()
        after_changes = benchmark.reading()
        for _ in range(snapshots):
            benchmark.send_snapshot()
        after_snapshots = benchmark.reading()
        change = after_changes.cost_since(before_changes, changes, PROXIES)
        snapshot = after_snapshots.cost_since(after_changes, snapshots, PROXIES)
        return {
            "rows": backends,
            "change": change.processor_seconds,
            "change_bytes": change.sent_bytes,
            "whole": snapshot.processor_seconds,
            "whole_bytes": snapshot.sent_bytes,
            "memory_mb": benchmark.start_cost.added_memory / PROXIES / MB,
        }


def by_change_rate(options: RunOptions) -> Slope:
    """Measure processor share, bytes a second and memory against the rate of changes, with 910 backends."""
    seconds, proxies = (0.6, 2) if options.quick else (4.0, 4)
    rates = CHANGE_RATES if options.quick else (0.0, *CHANGE_RATES)
    with WatchBenchmark(options.seed, topology.BACKENDS, proxies) as benchmark:
        points = [_change_rate_point(benchmark, rate, seconds) for rate in rates]
    return Slope(points, "changes", ("processor", "bytes", "memory_mb"))


def _change_rate_point(benchmark: WatchBenchmark, rate: float, seconds: float) -> Point:
    before, started = benchmark.reading(), time.monotonic()
    changes = 0
    if rate:
        for _ in evenly_spaced(rate, seconds):
            benchmark.publish_change()
            changes += 1
        benchmark.wait_until_applied()
    else:
        time.sleep(seconds)  # only heartbeats are sent
    after, elapsed = benchmark.reading(), time.monotonic() - started
    cost = after.cost_since(before, elapsed, benchmark.proxies)
    return {
        # The achieved rate: lower than `rate`, because the time until all changes are applied counts too.
        "changes": changes / elapsed,
        "processor": cost.processor_seconds,
        "bytes": cost.sent_bytes,
        "memory_mb": benchmark.host_usage().memory / MB,
    }


def by_request_rate(options: RunOptions) -> Slope:
    """Measure processor share and memory against the rate of simulated requests, with 910 backends.

    The intercept is the cost of feeding the requests to the balancer, 50 times a second. Sockets and HTTP are
    not included.
    """
    seconds = 0.6 if options.quick else 3.0
    with WatchBenchmark(options.seed, topology.BACKENDS, 1) as benchmark:
        points = [_request_rate_point(benchmark, rate, seconds) for rate in REQUEST_RATES]
    return Slope(points, "calls", ("processor", "memory_mb"))


def _request_rate_point(benchmark: WatchBenchmark, rate: float, seconds: float) -> Point:
    benchmark.set_request_rate(rate)
    before, started = benchmark.reading(), time.monotonic()
    time.sleep(seconds)
    after, elapsed = benchmark.reading(), time.monotonic() - started
    return {
        "calls": rate,
        "processor": after.cost_since(before, elapsed, benchmark.proxies).processor_seconds,
        "memory_mb": benchmark.host_usage().memory / MB,
    }
