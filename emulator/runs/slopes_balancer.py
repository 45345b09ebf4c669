"""Slopes of the balancer without sockets and other processes: cost of a change, a snapshot and a decision.

`slopes_proxy` measures complete simulated proxies.
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
FLEET_SIZES = (100, 303, 455, 910, 1820)  # numbers of proxies in the settings
REQUEST_RATE = 154.0  # requests a second; the mean at a proxy of the target deployment
UPDATE_INTERVAL = 1.0  # seconds between two updates
MIN_DECISIONS = 100  # smallest number of decisions whose mean cost is measured
SECONDS_PER_FIGURE, QUICK_SECONDS_PER_FIGURE = 0.3, 0.05  # approximate processor time of one measurement


class SteppedBalancer:
    """A balancer with the complete list of a fleet, and with a simulated clock that each event advances."""

    def __init__(self, fleet: topology.Topology, fleet_size: int) -> None:
        gc.unfreeze()
        self._reader = endpoint_reader()
        self._endpoints = endpoint_reader().read_entries({"endpoints": fleet.entries})
        self._balancer = Balancer(read_settings(proxy_settings(fleet, 0, fleet_size)), fleet.seed)
        self._now = 0.0
        self._send_snapshot()
        # As in a real proxy after its first list. Otherwise the measurement would include garbage collection
        # of objects from earlier points.
        gc.collect()
        gc.freeze()
        self._changes = EndpointChanges(fleet.entries, np.random.default_rng(fleet.seed))
        self._now, self._request_count = time.time(), 0

    def _send_snapshot(self) -> None:
        endpoints = [discovered.endpoint for discovered in self._endpoints]
        self._balancer.on_endpoints_updated(self._now, UpdateKind.SNAPSHOT, endpoints)

    def apply_change(self) -> None:
        """Apply a delta with one changed entry."""
        self._now += UPDATE_INTERVAL
        endpoint = self._reader.read_entry(cast("EndpointEntry", self._changes.change_random())).endpoint
        self._balancer.on_endpoints_updated(self._now, UpdateKind.DELTA, [endpoint])

    def apply_snapshot(self) -> None:
        """Apply the complete list."""
        self._now += UPDATE_INTERVAL
        self._send_snapshot()

    def serve_request(self) -> None:
        """Pass the events of one request to the balancer."""
        self._now += 1.0 / REQUEST_RATE
        self._request_count += 1
        simulate_request(self._balancer, self._now, self._request_count)


def backend_counts(options: RunOptions) -> tuple[int, ...]:
    """Return the numbers of backends at which figures are measured."""
    return QUICK_BACKENDS if options.quick else BACKENDS


def _seconds_per_figure(options: RunOptions) -> float:
    return QUICK_SECONDS_PER_FIGURE if options.quick else SECONDS_PER_FIGURE


def _snapshot_parser(line: bytes) -> Callable[[], object]:
    """Return a function that parses a snapshot message and reads its entries."""
    reader = endpoint_reader()
    return lambda: reader.read_entries(orjson.loads(line))


def by_backends(options: RunOptions) -> Slope:
    """Measure the processor time of a change, a snapshot and a decision against the number of backends."""
    points = [_backends_point(options, backends) for backends in backend_counts(options)]
    return Slope(points, "rows", ("change", "whole", "read", "decision", "whole_bytes"))


def _backends_point(options: RunOptions, backends: int) -> Point:
    seconds = _seconds_per_figure(options)
    fleet = topology.build(options.seed, backends)
    balancer = SteppedBalancer(fleet, topology.BACKENDS)
    line = RegistryState(fleet.entries).snapshot(None).line
    return {
        "rows": backends,
        "change": mean_processor_time(balancer.apply_change, seconds),
        "whole": mean_processor_time(balancer.apply_snapshot, seconds),
        "read": mean_processor_time(_snapshot_parser(line), seconds),
        "decision": mean_processor_time(balancer.serve_request, seconds, MIN_DECISIONS),
        "whole_bytes": len(line),
    }


def by_fleet_size(options: RunOptions) -> Slope:
    """Measure the same processor times against the fleet size in the settings, with 910 backends."""
    seconds = _seconds_per_figure(options)
    fleet = topology.build(options.seed)
    points: list[Point] = []
    for fleet_size in FLEET_SIZES:
        balancer = SteppedBalancer(fleet, fleet_size)
        points.append(
            {
                "proxies": fleet_size,
                "change": mean_processor_time(balancer.apply_change, seconds),
                "whole": mean_processor_time(balancer.apply_snapshot, seconds),
                "decision": mean_processor_time(balancer.serve_request, seconds, MIN_DECISIONS),
            }
        )
    return Slope(points, "proxies", ("change", "whole", "decision"))
