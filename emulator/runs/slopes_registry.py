"""Slopes of a registry (`testbed.discovery.registry`): its cost against the number of watches and changes.

The watches discard what they receive.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import numpy as np

from emulator.fleet import topology
from emulator.load.watches import WatchLoad
from emulator.runs.endpoint_changes import EndpointChanges
from emulator.runs.pacing import evenly_spaced
from emulator.runs.slope import Point, Slope
from emulator.runs.slopes_proxy import CHANGE_RATES
from testbed.child_process import ChildProcess
from testbed.discovery.registry import Registry, RegistryUsage
from testbed.meter import MB

if TYPE_CHECKING:
    from collections.abc import Sequence

    from emulator.runs.common import RunOptions

WATCH_COUNTS = (50, 100, 200, 400)
FIXED_CHANGE_RATE = 5.0  # changes a second, while the number of watches varies
FIXED_WATCH_COUNT = 303  # while the rate of changes varies; a third of the proxies of the target deployment
SECONDS, QUICK_SECONDS = 2.5, 0.6  # time in which changes are published for one point
OPENING_TIME = 0.2  # seconds until new watches have received their lists


class LoadedRegistry:
    """A registry in a separate process, its changes, and the watches that load it."""

    def __init__(self, registry: ChildProcess, load: ChildProcess, changes: EndpointChanges) -> None:
        self._registry, self._load, self._changes = registry, load, changes
        self._port = registry.call("open_endpoint", "all")
        self._index, self._open_watches = 1, 0

    def open_watches(self, count: int) -> None:
        """Open watches until `count` are open; `count` must not be less than in the previous call."""
        self._load.call("open", self._port, count - self._open_watches)
        self._open_watches = count
        time.sleep(OPENING_TIME)

    def measure(self, rate: float, seconds: float) -> Point:
        """Measure the cost of the registry while changes are published at `rate` a second."""
        before, started = self._usage(), time.monotonic()
        for _ in evenly_spaced(rate, seconds):
            self._index += 1
            self._registry.call("publish", self._index, [self._changes.change_random()])
        after, elapsed = self._usage(), time.monotonic() - started
        return {
            "watches": after.open_watches,
            "changes": rate,
            "memory_mb": self._registry.usage().memory / MB,
            "processor": (after.processor - before.processor) / elapsed,
            "bytes": (after.traffic.sent_bytes - before.traffic.sent_bytes) / elapsed,
        }

    def _usage(self) -> RegistryUsage:
        usage: RegistryUsage = self._registry.call("usage")
        return usage


def _points(options: RunOptions, loads: Sequence[tuple[int, float]]) -> list[Point]:
    """Measure one point for each pair of watches and changes a second; watches must not decrease."""
    seconds = QUICK_SECONDS if options.quick else SECONDS
    fleet = topology.build(options.seed)
    changes = EndpointChanges(fleet.entries, np.random.default_rng(options.seed))
    points: list[Point] = []
    with ChildProcess(Registry, fleet.entries) as registry, ChildProcess(WatchLoad) as load:
        loaded = LoadedRegistry(registry, load, changes)
        for watches, rate in loads:
            loaded.open_watches(watches)
            points.append(loaded.measure(rate, seconds))
    return points


def by_watches(options: RunOptions) -> Slope:
    """Measure processor share, bytes a second and memory of a registry against the number of watches."""
    points = _points(options, [(watches, FIXED_CHANGE_RATE) for watches in WATCH_COUNTS])
    return Slope(points, "watches", ("processor", "bytes", "memory_mb"))


def by_change_rate(options: RunOptions) -> Slope:
    """Measure processor share and bytes a second of a registry against the rate of changes."""
    points = _points(options, [(FIXED_WATCH_COUNT, rate) for rate in CHANGE_RATES])
    return Slope(points, "changes", ("processor", "bytes"))
