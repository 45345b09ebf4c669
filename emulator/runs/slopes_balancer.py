"""Slopes of the balancer alone, in this process: what a change, a complete list and a decision cost.

It owns a balancer under a clock of its own; sockets and processes are in `slopes_proxy`.
"""

from __future__ import annotations

import gc
import time
from typing import TYPE_CHECKING, cast

import numpy as np
import orjson

from balancer.balancer import Balancer
from balancer.endpoints import UpdateKind
from balancer.settings_reader import read_settings
from emulator.fleet import topology
from emulator.fleet.settings import proxy_settings
from emulator.fleet.simulated_proxy import endpoint_reader, simulate_request
from emulator.runs.endpoint_changes import EndpointChanges
from emulator.runs.pacing import mean_processor_time
from emulator.runs.slope import Point, Slope
from testbed.discovery.registry_state import RegistryState

if TYPE_CHECKING:
    from collections.abc import Callable

    from emulator.runs.common import RunOptions
    from proxy.discovery.messages import EndpointEntry

BACKENDS = (12, 91, 300, 910, 1820)
QUICK_BACKENDS = BACKENDS[:4]
FLEET_SIZES = (100, 303, 455, 910, 1820)  # proxies by the settings
CALL_RATE = 154.0  # a second: the target's mean
UPDATE_INTERVAL = 1.0  # seconds between two messages of the watch
MIN_DECISIONS = 100  # over which a decision's cost is averaged
SECONDS_EACH, QUICK_SECONDS_EACH = 0.3, 0.05  # processor time that one figure may take, about


class SteppedBalancer:
    """A balancer that holds a fleet's complete list, under a clock that each event moves on."""

    def __init__(self, fleet: topology.Topology, fleet_size: int) -> None:
        gc.unfreeze()
        self._reader = endpoint_reader()
        self._endpoints = endpoint_reader().read_entries({"endpoints": fleet.entries})
        self._balancer = Balancer(read_settings(proxy_settings(fleet, 0, fleet_size)), fleet.seed)
        self._now = 0.0
        self._send_snapshot()
        # As the real proxy does once it has its list: collecting what earlier points left here must not be
        # measured.
        gc.collect()
        gc.freeze()
        self._changes = EndpointChanges(fleet.entries, np.random.default_rng(fleet.seed))
        self._now, self._calls = time.time(), 0

    def _send_snapshot(self) -> None:
        rows = [discovered.endpoint for discovered in self._endpoints]
        self._balancer.on_endpoints_updated(self._now, UpdateKind.SNAPSHOT, rows)

    def apply_change(self) -> None:
        """Apply a delta with one entry."""
        self._now += UPDATE_INTERVAL
        row = self._reader.read_entry(cast("EndpointEntry", self._changes.change_any())).endpoint
        self._balancer.on_endpoints_updated(self._now, UpdateKind.DELTA, [row])

    def apply_snapshot(self) -> None:
        """Apply the complete list."""
        self._now += UPDATE_INTERVAL
        self._send_snapshot()

    def call(self) -> None:
        """Serve one call."""
        self._now += 1.0 / CALL_RATE
        self._calls += 1
        simulate_request(self._balancer, self._now, self._calls)


def backend_counts(options: RunOptions) -> tuple[int, ...]:
    """Return the list sizes that figures are measured at."""
    return QUICK_BACKENDS if options.quick else BACKENDS


def _seconds_each(options: RunOptions) -> float:
    return QUICK_SECONDS_EACH if options.quick else SECONDS_EACH


def _reading(line: bytes) -> Callable[[], object]:
    """Return a function that reads a complete list from its message."""
    reader = endpoint_reader()
    return lambda: reader.read_entries(orjson.loads(line))


def by_backends(options: RunOptions) -> Slope:
    """Measure the balancer and the reader against rows: seconds of a change, a complete list, a decision."""
    points = [_backends_point(options, backends) for backends in backend_counts(options)]
    return Slope(points, "rows", ("change", "whole", "read", "decision", "whole_bytes"))


def _backends_point(options: RunOptions, backends: int) -> Point:
    seconds = _seconds_each(options)
    fleet = topology.build(options.seed, backends)
    balancer = SteppedBalancer(fleet, topology.BACKENDS)
    line = RegistryState(fleet.entries).snapshot(None).line
    return {
        "rows": backends,
        "change": mean_processor_time(balancer.apply_change, seconds),
        "whole": mean_processor_time(balancer.apply_snapshot, seconds),
        "read": mean_processor_time(_reading(line), seconds),
        "decision": mean_processor_time(balancer.call, seconds, MIN_DECISIONS),
        "whole_bytes": len(line),
    }


def by_fleet_size(options: RunOptions) -> Slope:
    """Measure the balancer against the fleet's size in the settings, at 910 rows."""
    seconds = _seconds_each(options)
    fleet = topology.build(options.seed)
    points: list[Point] = []
    for fleet_size in FLEET_SIZES:
        balancer = SteppedBalancer(fleet, fleet_size)
        points.append(
            {
                "proxies": fleet_size,
                "change": mean_processor_time(balancer.apply_change, seconds),
                "whole": mean_processor_time(balancer.apply_snapshot, seconds),
                "decision": mean_processor_time(balancer.call, seconds, MIN_DECISIONS),
            }
        )
    return Slope(points, "proxies", ("change", "whole", "decision"))
