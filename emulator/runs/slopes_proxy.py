"""Slopes of a simulated proxy, from the socket to the balancer, in a process of its own.

It owns a registry with a few proxies, and what is measured at them.
"""

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

CHANGE_RATES = (2.0, 5.0, 10.0, 20.0)  # a second
CALL_RATES = (50.0, 154.0, 400.0, 800.0)  # a second
PROXIES = 8  # enough that their memory stands out from the process's
APPLY_TIMEOUT = 60.0  # seconds that anything may take to be applied
# Seconds between two changes, so that a proxy doesn't read several at once: a minimum, or if greater, a time
# for each row of each proxy.
MIN_CHANGE_INTERVAL = 0.01
CHANGE_INTERVAL_EACH = 8e-6
ENDPOINT = "all"


class WatchBench:
    """A registry and a process of simulated proxies that watch it; both end with the block."""

    def __init__(self, seed: int, backends: int, proxies: int) -> None:
        fleet = topology.build(seed, backends)
        self.proxies = proxies
        self._index, self._latest = 1, dict[str, int]()
        self._snapshots = 1  # that each proxy has been sent
        self._changes = EndpointChanges(fleet.entries, np.random.default_rng(seed))
        self._registry = ChildProcess(Registry, fleet.entries)
        self._host = ChildProcess(SimulatedHost, seed, backends)
        port = self._registry.call("open_endpoint", ENDPOINT)
        placements = [ProxyPlacement(position, port) for position in range(proxies)]
        self.start_cost: StartCost = self._host.call("start_proxies", placements, topology.BACKENDS)
        self._host.call("freeze")

    def publish_change(self) -> None:
        """Change one entry at the registry."""
        self._index += 1
        entry = self._changes.change_any()
        self._registry.call("publish", self._index, [entry])
        self._latest[entry["name"]] = self._index

    def wait_until_applied(self) -> None:
        """Wait until the proxies have applied every change; ApplyTimeoutError where that takes too long."""
        if not self._host.call("wait_until_applied", self._latest, APPLY_TIMEOUT):
            raise ApplyTimeoutError(update="a change", seconds=APPLY_TIMEOUT)

    def send_snapshot(self) -> None:
        """Send the proxies a complete list and wait for it; ApplyTimeoutError where that takes too long."""
        self._snapshots += 1
        self._registry.call("reset_connections", [ENDPOINT], forget_log=True)
        if not self._host.call("wait_for_snapshots", self._snapshots, APPLY_TIMEOUT):
            raise ApplyTimeoutError(update="a snapshot", seconds=APPLY_TIMEOUT)

    def set_request_rate(self, rate: float) -> None:
        """Feed each proxy calls at a rate a second from now on."""
        self._host.call("set_request_rate", rate)

    def host_usage(self) -> Usage:
        """Read what the proxies' process has spent, by its own clock."""
        usage: Usage = self._host.call("usage")
        return usage

    def reading(self) -> GroupReading:
        """Read what the proxies have spent so far."""
        processor = self.host_usage().processor
        return GroupReading(processor, self._registry.call("endpoint_traffic", ENDPOINT).sent_bytes)

    def __enter__(self) -> WatchBench:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._host.close()
        self._registry.close()


def by_backends(options: RunOptions) -> Slope:
    """Measure a proxy against rows: seconds and bytes of a change and of a complete list, and memory."""
    points = [_backends_point(options, backends) for backends in backend_counts(options)]
    return Slope(points, "rows", ("change", "whole", "change_bytes", "whole_bytes", "memory_mb"))


def _backends_point(options: RunOptions, backends: int) -> Point:
    changes, snapshots = (6, 2) if options.quick else (30, 6)
    interval = max(MIN_CHANGE_INTERVAL, CHANGE_INTERVAL_EACH * backends * PROXIES)
    with WatchBench(options.seed, backends, PROXIES) as bench:
        before = bench.reading()
        for _ in range(changes):
            bench.publish_change()
            time.sleep(interval)
        bench.wait_until_applied()
        between = bench.reading()
        for _ in range(snapshots):
            bench.send_snapshot()
        after = bench.reading()
        change = between.cost_since(before, changes, PROXIES)
        snapshot = after.cost_since(between, snapshots, PROXIES)
        return {
            "rows": backends,
            "change": change.processor_seconds,
            "change_bytes": change.sent_bytes,
            "whole": snapshot.processor_seconds,
            "whole_bytes": snapshot.sent_bytes,
            "memory_mb": bench.start_cost.added_memory / PROXIES / MB,
        }


def by_change_rate(options: RunOptions) -> Slope:
    """Measure a proxy with 910 rows against changes a second: processor share, bytes a second, memory."""
    seconds, proxies = (0.6, 2) if options.quick else (4.0, 4)
    rates = CHANGE_RATES if options.quick else (0.0, *CHANGE_RATES)
    with WatchBench(options.seed, topology.BACKENDS, proxies) as bench:
        points = [_change_rate_point(bench, rate, seconds) for rate in rates]
    return Slope(points, "changes", ("processor", "bytes", "memory_mb"))


def _change_rate_point(bench: WatchBench, rate: float, seconds: float) -> Point:
    before, started = bench.reading(), time.monotonic()
    changes = 0
    if rate:
        for _ in evenly_spaced(rate, seconds):
            bench.publish_change()
            changes += 1
        bench.wait_until_applied()
    else:
        time.sleep(seconds)  # heartbeats alone
    after, elapsed = bench.reading(), time.monotonic() - started
    cost = after.cost_since(before, elapsed, bench.proxies)
    return {
        "changes": changes
        / elapsed,  # the rate that was reached, not the one wanted: settling takes time too
        "processor": cost.processor_seconds,
        "bytes": cost.sent_bytes,
        "memory_mb": bench.host_usage().memory / MB,
    }


def by_call_rate(options: RunOptions) -> Slope:
    """Measure a proxy with 910 rows against calls a second fed to the balancer: processor share, memory.

    What is left at no calls is the feeding itself, 50 times a second; sockets and HTTP are not in it.
    """
    seconds = 0.6 if options.quick else 3.0
    with WatchBench(options.seed, topology.BACKENDS, 1) as bench:
        points = [_call_rate_point(bench, rate, seconds) for rate in CALL_RATES]
    return Slope(points, "calls", ("processor", "memory_mb"))


def _call_rate_point(bench: WatchBench, rate: float, seconds: float) -> Point:
    bench.set_request_rate(rate)
    before, started = bench.reading(), time.monotonic()
    time.sleep(seconds)
    after, elapsed = bench.reading(), time.monotonic() - started
    return {
        "calls": rate,
        "processor": after.cost_since(before, elapsed, bench.proxies).processor_seconds,
        "memory_mb": bench.host_usage().memory / MB,
    }
