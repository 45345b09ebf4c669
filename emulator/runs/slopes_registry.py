"""Slopes of a registry (`testbed.discovery.registry`): what watches and changes cost it.

It owns the load on one registry; the watches discard what they receive.
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

WATCHES = (50, 100, 200, 400)
RATE_AT_WATCHES = 5.0  # changes a second, while watches vary
WATCHES_AT_RATES = 303  # while changes a second vary: a third of the target's proxies
SECONDS, QUICK_SECONDS = 2.5, 0.6  # of changes for a point
OPENING_TIME = 0.2  # seconds in which new watches receive their lists


class LoadedRegistry:
    """A registry in a process of its own, its changes, and the watches that load it."""

    def __init__(self, registry: ChildProcess, load: ChildProcess, changes: EndpointChanges) -> None:
        self._registry, self._load, self._changes = registry, load, changes
        self._port = registry.call("open_endpoint", "all")
        self._index, self._watches = 1, 0

    def open_watches(self, count: int) -> None:
        """Open watches until there are `count`, which must not decrease."""
        self._load.call("open", self._port, count - self._watches)
        self._watches = count
        time.sleep(OPENING_TIME)

    def measure(self, rate: float, seconds: float) -> Point:
        """Measure what the registry spends while changes come at a rate."""
        before, started = self._usage(), time.monotonic()
        for _ in evenly_spaced(rate, seconds):
            self._index += 1
            self._registry.call("publish", self._index, [self._changes.change_any()])
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
    """Measure one point for each (watches, changes a second); watches must not decrease."""
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
    """Measure a registry against watches: processor share, bytes a second, memory."""
    points = _points(options, [(watches, RATE_AT_WATCHES) for watches in WATCHES])
    return Slope(points, "watches", ("processor", "bytes", "memory_mb"))


def by_change_rate(options: RunOptions) -> Slope:
    """Measure a registry against changes a second: processor share, bytes a second."""
    points = _points(options, [(WATCHES_AT_RATES, rate) for rate in CHANGE_RATES])
    return Slope(points, "changes", ("processor", "bytes"))
