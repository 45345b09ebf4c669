"""What control costs a proxy, and discovery's stand-in, for each row, change, call, proxy and watch."""

from __future__ import annotations

import gc
import time
from collections.abc import Sequence
from typing import Any

import numpy as np
import orjson

from balancer.decide import Balancer
from balancer.endpoints import UpdateKind
from balancer.events import Outcome, StartAttempt
from balancer.settings_reader import read_settings
from emulator import fit, topology
from emulator.child import Child
from emulator.hollow import Host, Sinks, reader
from emulator.meter import MB
from emulator.registry import Registry
from emulator.result import write_result
from emulator.runs.common import CHANGES_PER_DAY, SECONDS_PER_DAY, RunOptions, RunResult, report_progress
from emulator.runs.endpoint_changes import EndpointChanges
from emulator.runs.pacing import evenly_spaced, mean_processor_time
from proxy.discovery.watch import DiscoveredEndpoint

ROWS = (12, 91, 300, 910, 1820)
FLEETS = (100, 303, 455, 910, 1820)  # proxies by the settings
CHANGE_RATES = (2.0, 5.0, 10.0, 20.0)  # a second
CALL_RATES = (50.0, 154.0, 400.0, 800.0)  # a second
WATCHES = (50, 100, 200, 400)
PROXIES = 8  # hollow ones on a path: enough to tell their memory from the process's
LATENCY = 0.004  # seconds that a fed call takes
WITHIN = 60.0  # seconds that anything may take to be taken in
FULL = topology.BACKENDS
Point = dict[str, float]


def run(options: RunOptions) -> RunResult:
    """All slopes; writes slopes.json."""
    begun = time.monotonic()
    body: dict[str, Any] = {"quick": options.quick}
    parts = {
        "module": module,
        "fleet_size": fleet_size,
        "path": path,
        "changes": changes,
        "calls": calls,
        "registry_watches": registry_watches,
        "registry_changes": registry_changes,
    }
    if options.quick:  # the parts behind the budgets, and one of each kind
        parts = {name: parts[name] for name in ("module", "path", "changes", "registry_watches")}
    for name, part in parts.items():
        points, of, figures = part(options)
        xs = _of(points, of)
        body[name] = {"points": points, "fits": {y: fit.both(xs, _of(points, y)) for y in figures}}
        report_progress("slopes", f"{name}: {len(points)} points after {time.monotonic() - begun:.0f} s")
    body["figures"] = figures_of(body)
    body["duration"] = time.monotonic() - begun
    return RunResult(
        body["figures"], write_result(options.result_name("slopes"), options.seed, body, options.out)
    )


def _of(points: Sequence[Point], name: str) -> list[float]:
    return [point[name] for point in points]


def figures_of(body: dict[str, Any]) -> dict[str, float]:
    """The budgets' figures at the target's size: bytes by the fit over changes a second, a change's time."""
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    line = next(each for each in body["changes"]["fits"]["bytes"] if each["kind"] == "line")
    full = next(point for point in body["module"]["points"] if point["rows"] == FULL)
    return {
        "bytes_mean": max(0.0, line["intercept"]) + rate * line["slope"],
        "change_hold": 1e3 * full["change"],
    }


# ---- the module alone, in this process -------------------------------------------------------


def _balancer(fleet: topology.Topology, proxies: int) -> tuple[Balancer, list[DiscoveredEndpoint]]:
    """A balancer that holds the whole list of a fleet, and that list."""
    listed = reader().endpoints({"endpoints": fleet.entries})
    balancer = Balancer(read_settings(topology.settings(fleet, 0, proxies)), fleet.seed)
    balancer.on_endpoints_updated(0.0, UpdateKind.SNAPSHOT, [endpoint.row for endpoint in listed])
    return balancer, listed


class _Stepping:
    """A balancer under a clock of its own."""

    def __init__(self, fleet: topology.Topology, proxies: int) -> None:
        gc.unfreeze()
        self.balancer, self.listed = _balancer(fleet, proxies)
        # As the real proxy does once it has its list: what others left here must not be paid for.
        gc.collect()
        gc.freeze()
        self._changes = EndpointChanges(fleet.entries, np.random.default_rng(fleet.seed))
        self._reader = reader()
        self.now, self._calls = time.time(), 0

    def change(self) -> None:
        """One row changes."""
        self.now += 1.0
        row = self._reader.endpoint(self._changes.change_any()).row
        self.balancer.on_endpoints_updated(self.now, UpdateKind.DELTA, [row])

    def whole(self) -> None:
        """The whole list is told."""
        self.now += 1.0
        self.balancer.on_endpoints_updated(
            self.now, UpdateKind.SNAPSHOT, [endpoint.row for endpoint in self.listed]
        )

    def call(self) -> None:
        """One request at the target's mean rate, and its answer."""
        self.now += 1.0 / 154.0
        self._calls += 1
        rid = str(self._calls)
        sent = self.balancer.on_request(self.now, rid, self._calls % 2)
        if any(isinstance(action, StartAttempt) for action in sent):
            self.balancer.on_attempt_finished(self.now + LATENCY, rid, 0, Outcome.SUCCESS, LATENCY, True)


def module(options: RunOptions) -> tuple[list[Point], str, list[str]]:
    """Seconds of the module and of the reader against rows: a change, a whole list, a decision."""
    spend = 0.05 if options.quick else 0.3
    points, read = [], reader()
    for rows in _rows(options):
        fleet = topology.build(options.seed, rows)
        step = _Stepping(fleet, FULL)
        line = Registry(fleet.entries).state.whole(None)
        points.append(
            {
                "rows": rows,
                "change": mean_processor_time(step.change, spend),
                "whole": mean_processor_time(step.whole, spend),
                "read": mean_processor_time(lambda line=line: read.endpoints(orjson.loads(line)), spend),  # type: ignore[misc]
                "decision": mean_processor_time(step.call, spend, 100),
                "whole_bytes": len(line),
            }
        )
    return points, "rows", ["change", "whole", "read", "decision", "whole_bytes"]


def fleet_size(options: RunOptions) -> tuple[list[Point], str, list[str]]:
    """Seconds of the module against the fleet's size in the settings, at 910 rows."""
    spend = 0.05 if options.quick else 0.3
    fleet = topology.build(options.seed)
    points = []
    for proxies in FLEETS:
        step = _Stepping(fleet, proxies)
        points.append(
            {
                "proxies": proxies,
                "change": mean_processor_time(step.change, spend),
                "whole": mean_processor_time(step.whole, spend),
                "decision": mean_processor_time(step.call, spend, 100),
            }
        )
    return points, "proxies", ["change", "whole", "decision"]


def _rows(options: RunOptions) -> tuple[int, ...]:
    return ROWS[:4] if options.quick else ROWS


# ---- from the socket to the module, in a process of its own ----------------------------------


class _Rig:
    """A registry and a process of hollow proxies that watch it."""

    def __init__(self, options: RunOptions, rows: int, proxies: int) -> None:
        self.fleet = topology.build(options.seed, rows)
        self.proxies = proxies
        self._index, self._latest = 1, dict[str, int]()
        self._changes = EndpointChanges(self.fleet.entries, np.random.default_rng(options.seed))
        self.registry = Child(Registry, self.fleet.entries)
        self.host = Child(Host, options.seed, rows)
        port = self.registry.call("open", "all")
        self.added = self.host.call("add", [(place, port) for place in range(proxies)], FULL)
        self.host.call("freeze")

    def change(self) -> None:
        """One row changes at the registry."""
        self._index += 1
        entry = self._changes.change_any()
        self.registry.call("change", self._index, [entry])
        self._latest[entry["name"]] = self._index

    def settle(self) -> None:
        """Wait until all is taken in."""
        if not self.host.call("caught_up", self._latest, WITHIN):
            raise RuntimeError(f"a change was not taken in within {WITHIN:g} s")

    def reading(self) -> tuple[float, float]:
        """Processor time of the hollow proxies' process and bytes told, so far."""
        return self.host.call("spent").processor, self.registry.call("door", "all")["sent"]

    def __enter__(self) -> _Rig:
        return self

    def __exit__(self, *_: object) -> None:
        self.host.close()
        self.registry.close()


def path(options: RunOptions) -> tuple[list[Point], str, list[str]]:
    """For a proxy, from socket to module, against rows: seconds and bytes of a change and of a whole list."""
    count, wholes = (6, 2) if options.quick else (30, 6)
    points = []
    for rows in _rows(options):
        with _Rig(options, rows, PROXIES) as rig:
            gap = max(0.01, 8e-6 * rows * PROXIES)  # each change alone, not several in one read
            before, sent = rig.reading()
            for _ in range(count):
                rig.change()
                time.sleep(gap)
            rig.settle()
            after, sent_after = rig.reading()
            change, change_bytes = (after - before) / count, (sent_after - sent) / count
            for number in range(wholes):
                rig.registry.call("drop", ["all"], True)
                if not rig.host.call("had_wholes", number + 2, WITHIN):
                    raise RuntimeError(f"a whole list was not taken in within {WITHIN:g} s")
            last, sent_last = rig.reading()
            points.append(
                {
                    "rows": rows,
                    "change": change / PROXIES,
                    "change_bytes": change_bytes / PROXIES,
                    "whole": (last - after) / wholes / PROXIES,
                    "whole_bytes": (sent_last - sent_after) / wholes / PROXIES,
                    "memory_mb": rig.added["memory"] / PROXIES / MB,
                }
            )
    return points, "rows", ["change", "whole", "change_bytes", "whole_bytes", "memory_mb"]


def changes(options: RunOptions) -> tuple[list[Point], str, list[str]]:
    """For a proxy that sees 910 rows, against changes a second: processor share, bytes a second, memory."""
    seconds, proxies = (0.6, 2) if options.quick else (4.0, 4)
    points = []
    with _Rig(options, FULL, proxies) as rig:
        for rate in CHANGE_RATES if options.quick else (0.0, *CHANGE_RATES):
            (before, sent), begun = rig.reading(), time.monotonic()
            if rate:
                for _ in evenly_spaced(rate, seconds):
                    rig.change()
                rig.settle()
            else:
                time.sleep(seconds)  # empty lines alone
            (after, sent_after), spent = rig.reading(), time.monotonic() - begun
            points.append(
                {
                    "changes": rate,
                    "processor": (after - before) / spent / proxies,
                    "bytes": (sent_after - sent) / spent / proxies,
                    "memory_mb": rig.host.call("spent").memory / MB,
                }
            )
            # The rate that was reached, not the one wanted: settling takes time too.
            points[-1]["changes"] = max(1, round(rate * seconds)) / spent if rate else 0.0
    return points, "changes", ["processor", "bytes", "memory_mb"]


def calls(options: RunOptions) -> tuple[list[Point], str, list[str]]:
    """For a proxy that sees 910 rows, against calls a second fed to the module: processor share, memory.

    What is left at no calls is the feeding itself, 50 times a second; sockets and HTTP are not in it.
    """
    seconds = 0.6 if options.quick else 3.0
    points = []
    with _Rig(options, FULL, 1) as rig:
        for rate in CALL_RATES:
            rig.host.call("calls", rate)
            (before, _), begun = rig.reading(), time.monotonic()
            time.sleep(seconds)
            (after, _), spent = rig.reading(), time.monotonic() - begun
            points.append(
                {
                    "calls": rate,
                    "processor": (after - before) / spent,
                    "memory_mb": rig.host.call("spent").memory / MB,
                }
            )
    return points, "calls", ["processor", "memory_mb"]


# ---- discovery's stand-in --------------------------------------------------------------------


def _registry_point(
    registry: Child, changed: EndpointChanges, index: int, rate: float, seconds: float
) -> Point:
    """What the registry spends while changes come at a rate, the first as version index + 1."""
    before, begun = registry.call("spent"), time.monotonic()
    for number in evenly_spaced(rate, seconds):
        registry.call("change", index + number + 1, [changed.change_any()])
    after, spent = registry.call("spent"), time.monotonic() - begun
    return {
        "watches": after["open"],
        "changes": rate,
        "memory_mb": registry.usage().memory / MB,
        "processor": (after["processor"] - before["processor"]) / spent,
        "bytes": (after["sent"] - before["sent"]) / spent,
    }


def _registry_points(options: RunOptions, loads: Sequence[tuple[int, float]]) -> list[Point]:
    """One point for each (watches, changes a second); watches ascend."""
    seconds = 0.6 if options.quick else 2.5
    fleet = topology.build(options.seed)
    changed = EndpointChanges(fleet.entries, np.random.default_rng(options.seed))
    points: list[Point] = []
    with Child(Registry, fleet.entries) as registry, Child(Sinks) as sinks:
        port, index, opened = registry.call("open", "all"), 1, 0
        for watches, rate in loads:
            sinks.call("add", port, watches - opened)
            opened = watches
            time.sleep(0.2)  # the lists of the new ones are on their way
            points.append(_registry_point(registry, changed, index, rate, seconds))
            index += round(rate * seconds) + 1
    return points


def registry_watches(options: RunOptions) -> tuple[list[Point], str, list[str]]:
    """The registry's processor share, bytes a second and memory against watches, at 5 changes a second."""
    points = _registry_points(options, [(watches, 5.0) for watches in WATCHES])
    return points, "watches", ["processor", "bytes", "memory_mb"]


def registry_changes(options: RunOptions) -> tuple[list[Point], str, list[str]]:
    """The registry's processor share and bytes a second against changes a second, at 303 watches."""
    points = _registry_points(options, [(303, rate) for rate in CHANGE_RATES])
    return points, "changes", ["processor", "bytes"]
