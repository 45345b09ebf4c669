"""The size on one machine: 910 hollow proxies at three control machines, through changes and failures.

A proxy of a real fleet has a core of its own; here many share one. So an age holds the wait for the others of
the same process too, and events that this machine can't carry at all proxies are told to fewer (`Plan`).
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any

import numpy as np
import psutil
from hdrh.histogram import HdrHistogram

from emulator import topology
from emulator.child import Child, call_all
from emulator.hollow import Host, ages
from emulator.meter import MB, WORST_OVER, Series
from emulator.registry import Registry
from emulator.result import write_result
from emulator.runs.common import (
    CHANGES_PER_DAY,
    SECONDS_PER_DAY,
    RunOptions,
    RunResult,
    free_ports,
    report_progress,
)
from emulator.runs.endpoint_changes import EndpointChanges
from emulator.runs.pacing import poisson_arrivals

MACHINES = 3  # for control
HALVES = 2  # parts of a machine's watches, one for each of the other two when it is lost
HOSTS_MOST = 6  # processes of hollow proxies...
BOTH = 30  # ...from so many proxies on
SAMPLE = 0.25  # seconds between two readings of processor time
TAKE_OVER = 0.3  # seconds after which the other two serve a lost machine's addresses
MEMORY_PART = 0.5  # of the machine's, beyond which a run ends
REPLACED = 110
MEANWHILE = 5  # changes while watches are away
WITHIN = 60.0  # seconds that a change may take to be taken in everywhere before that counts as missing
ZONE, FAR = "b", 1  # the zone that is lost; the region that is cut from the control machines


@dataclass(slots=True, frozen=True)
class Plan:
    """So many proxies, what they see, how much faster than real changes come, and what they live through.

    `narrow`: a proxy sees the rows of the services that its own calls, else all rows.
    """

    name: str
    proxies: int
    narrow: bool
    speed: float
    events: tuple[str, ...]
    seconds: float  # of changes at the rate
    cut: float  # seconds that regions are without each other
    rows: int = topology.BACKENDS


FAILURES = ("zone_lost", "zone_back", "machine_lost", "log_lost", "regions_cut")
BY_ROWS = ("replaced", "zone_lost_by_rows", "zone_back_by_rows")
# All rows at all proxies cost this machine some 3 s of processor time a change: so slower, and in one delta.
PLANS = (
    Plan("all_rows", 910, False, 15.0, ("changes", *FAILURES), 15.0, 8.0),
    Plan("all_rows_by_row", 48, False, 100.0, ("changes", *BY_ROWS), 12.0, 0.0),
    Plan("next_rows", 910, True, 100.0, ("changes", *BY_ROWS, *FAILURES), 15.0, 8.0),
)
QUICK = (
    Plan("all_rows", 12, False, 100.0, ("changes", "zone_lost_by_rows", "zone_back", "log_lost"), 1.5, 0.0),
    Plan("next_rows", 240, True, 100.0, ("changes", "replaced", "machine_lost"), 1.5, 0.0),
)


@dataclass(slots=True)
class _Door:
    """A port, who serves it now, and who stands before it."""

    name: str
    port: int
    machine: int  # that serves it now
    region: int
    half: int
    view: list[str] | None
    places: list[int] = field(default_factory=list)


class _Sampler(threading.Thread):
    """Reads the children's processor time from outside, whatever they are at."""

    def __init__(self, children: Iterable[Child]) -> None:
        super().__init__(daemon=True)
        self._children = list(children)
        self._ended = threading.Event()
        self.series = [Series() for _ in self._children]
        self.memory = [0] * len(self._children)

    def run(self) -> None:
        """Until `end`."""
        while True:
            ended = self._ended.is_set()
            for place, child in enumerate(self._children):
                usage = child.usage()
                self.series[place].add(time.monotonic(), usage.processor)
                self.memory[place] = max(self.memory[place], usage.memory)
            if ended:
                return
            self._ended.wait(SAMPLE)

    def end(self) -> None:
        """Take a last reading and stop."""
        self._ended.set()
        self.join()


class Fleet:
    """One plan's processes: control machines, hollow proxies, and what is told to them."""

    def __init__(self, plan: Plan, seed: int, stack: ExitStack) -> None:
        self.plan, self._seed = plan, seed
        self._rng = np.random.default_rng(seed)
        self._topology = topology.build(seed, plan.rows)
        self.changes = EndpointChanges(self._topology.entries, self._rng)
        self._index = 1
        self._stamps: dict[int, tuple[float, frozenset[str]]] = {}
        self._latest: dict[str, int] = {}
        entries = self._topology.entries
        self._machines = [stack.enter_context(Child(Registry, entries)) for _ in range(MACHINES)]
        self._alive = set(range(MACHINES))
        hosts = HOSTS_MOST if (os.cpu_count() or 1) >= 8 and plan.proxies >= BOTH else MACHINES
        self._hosts = [stack.enter_context(Child(Host, seed, plan.rows)) for _ in range(hosts)]
        self._doors: list[_Door] = []
        self.started = self._start()

    # ---- who stands where --------------------------------------------------------------------

    def _start(self) -> dict[str, Any]:
        """Deal the proxies to doors and processes, and wait until they hold their lists."""
        places = [int(p) for p in self._rng.permutation(self.plan.rows)[: self.plan.proxies]]
        doors: dict[str, _Door] = {}
        dealt: list[list[tuple[int, str]]] = [[] for _ in self._hosts]
        for number, place in enumerate(places):
            door = self._door(doors, number, place)
            door.places.append(place)
            # A process holds proxies of one control machine alone: what that one's loss costs shows in it.
            machine, others = number % MACHINES, len(self._hosts) // MACHINES
            dealt[machine + MACHINES * (number // MACHINES % others)].append((place, door.name))
        self._doors = list(doors.values())
        for door, port in zip(self._doors, free_ports(len(doors), self._rng), strict=True):
            door.port = port
        for machine in range(MACHINES):
            self._open([door for door in self._doors if door.machine == machine])
        ports = {door.name: door.port for door in self._doors}
        self._held = [len(each) for each in dealt]
        for host, each in zip(self._hosts, dealt, strict=True):
            host.send(
                "add", [(place, ports[name]) for place, name in each], self.plan.proxies, self.plan.narrow
            )
        added = [host.result() for host in self._hosts]
        call_all(self._hosts, "freeze")
        return {
            "memory_mb": sum(a["memory"] for a in added) / len(places) / MB,
            "processor": sum(a["processor"] for a in added) / len(places),
            "processes": len(self._hosts),
            "resident_mb": sum(a["resident"] for a in added) / MB,
        }

    def _door(self, doors: dict[str, _Door], number: int, place: int) -> _Door:
        machine, half = number % MACHINES, number // (2 * MACHINES) % HALVES
        region = topology.REGION_OF[self._topology.entries[place]["zone"]]
        name, view = f"{machine}.{region}.{half}", None
        if self.plan.narrow:
            service = self._topology.service_of[place]
            name += f".{service}"
            view = [self._topology.entries[row]["name"] for row in self._topology.next_rows(service)]
        return doors.setdefault(name, _Door(name, 0, machine, region, half, view))

    def _open(self, doors: list[_Door]) -> None:
        for machine in range(MACHINES):
            theirs = [(door.name, door.port, door.view) for door in doors if door.machine == machine]
            if theirs:
                self._machines[machine].call("open_all", theirs)

    def _at_doors(self, method: str, doors: Iterable[_Door]) -> None:
        wanted = list(doors)
        for machine in self._alive:
            names = [door.name for door in wanted if door.machine == machine]
            self._machines[machine].call(method, names)

    # ---- what happens --------------------------------------------------------------------------

    def tell(self, entries: list[topology.Entry]) -> None:
        """One version: the same at every control machine that is left."""
        self._index += 1
        names = frozenset(entry["name"] for entry in entries)
        self._stamps[self._index] = (time.monotonic(), names)
        self._latest.update(dict.fromkeys(names, self._index))
        call_all([self._machines[m] for m in sorted(self._alive)], "change", self._index, entries)

    def changes_at_rate(self) -> None:
        """Single rows change at random moments."""
        for _ in poisson_arrivals(
            self._rng, self.plan.speed * CHANGES_PER_DAY / SECONDS_PER_DAY, self.plan.seconds
        ):
            self.tell([self.changes.change_any()])

    def replaced(self) -> None:
        """110 backends go and come back cold on other machines, told row by row, at once."""
        for place in self._rng.permutation(self.plan.rows)[:REPLACED]:
            self.tell([self.changes.terminate(int(place))])
            self.tell([self.changes.replace(int(place))])

    def zone_lost(self) -> None:
        """All of a zone in one delta."""
        self.tell([self.changes.terminate(place) for place in self._topology.zone(ZONE)])

    def zone_back(self) -> None:
        """All of it back cold in one delta."""
        self.tell([self.changes.restart(place) for place in self._topology.zone(ZONE)])

    def zone_lost_by_rows(self) -> None:
        """All of a zone, row by row at once."""
        for place in self._topology.zone(ZONE):
            self.tell([self.changes.terminate(place)])

    def zone_back_by_rows(self) -> None:
        """All of it back cold, row by row at once."""
        for place in self._topology.zone(ZONE):
            self.tell([self.changes.restart(place)])

    def machine_lost(self) -> None:
        """One control machine: its watches come to the other two, which resume them; a change follows."""
        lost = [door for door in self._doors if door.machine == 0]
        self._machines[0].call("shut", [door.name for door in lost])
        self._alive.discard(0)
        for door in lost:
            door.machine = 1 + door.half
        self._meanwhile()
        time.sleep(TAKE_OVER)
        self._open(lost)

    def log_lost(self) -> None:
        """A control machine starts anew without its log: its watches come back at once for the whole list."""
        names = [door.name for door in self._doors if door.machine == 1]
        self._machines[1].call("drop", names, True)
        self._meanwhile()

    def _meanwhile(self) -> None:
        """Changes that nobody who is cut off has heard of."""
        for _ in range(MEANWHILE):
            self.tell([self.changes.change_any()])

    def regions_cut(self) -> None:
        """One region hears nothing while changes go on, then all of them."""
        far = [door for door in self._doors if door.region == FAR]
        self._at_doors("silence", far)
        for _ in poisson_arrivals(
            self._rng, self.plan.speed * CHANGES_PER_DAY / SECONDS_PER_DAY, self.plan.cut
        ):
            self.tell([self.changes.change_any()])
        self._at_doors("heal", far)

    # ---- what it costs -------------------------------------------------------------------------

    def _sent(self) -> list[dict[str, Any]]:
        return call_all(self._machines, "spent")

    def measure(self, act: Callable[[], None]) -> dict[str, Any]:
        """Let an event happen, wait until it is taken in everywhere, and say what it cost."""
        self._stamps = {}
        before, begun = self._sent(), time.monotonic()
        sampler = _Sampler([*self._hosts, *self._machines])
        sampler.start()
        act()
        acted = time.monotonic()
        whole = all(call_all(self._hosts, "caught_up", self._latest, WITHIN))
        ended = time.monotonic()
        sampler.end()
        if sum(sampler.memory) > MEMORY_PART * psutil.virtual_memory().total:
            raise RuntimeError(f"the processes take {sum(sampler.memory) / MB:.0f} MB")
        spent = ended - begun
        hosts = sampler.series[: len(self._hosts)]
        lists = call_all(self._hosts, "worst_lists", begun, ended)
        after = self._sent()
        sent = sum(a["sent"] for a in after) - sum(b["sent"] for b in before)
        return {
            "seconds": spent,
            "taken_in_after": ended - acted,
            "versions": len(self._stamps),
            "whole": whole,
            "age": self._ages(),
            "proxy": {
                "processor_mean": 100.0 * sum(s.growth() for s in hosts) / self.plan.proxies / spent,
                "processor_worst": 100.0 * max(s.worst() / n for s, n in zip(hosts, self._held, strict=True)),
                "lists_worst": 100.0 * max(lists) / WORST_OVER,
                "processor_each": sum(s.growth() for s in hosts)
                / self.plan.proxies
                / max(1, len(self._stamps)),
                "bytes_mean": sent / self.plan.proxies / spent,
                # Of the control machine that told each of its watches the most.
                "bytes_worst": max(
                    (a["sent"] - b["sent"]) / max(1, a["open"]) for a, b in zip(after, before, strict=True)
                )
                / max(WORST_OVER, spent),
                "bytes_each": sent / self.plan.proxies / max(1, len(self._stamps)),
            },
            "resident_mb": sum(sampler.memory) / MB,
            "machines": [
                {
                    "processor": a["processor"] - b["processor"],
                    "sent": a["sent"] - b["sent"],
                    "watches": a["open"],
                    "begun": a["watches"] - b["watches"],
                    "wholes": a["wholes"] - b["wholes"],
                    "worst": 100.0 * sampler.series[len(hosts) + number].worst(),
                }
                for number, (a, b) in enumerate(zip(after, before, strict=True))
            ],
        }

    def _ages(self) -> dict[str, Any]:
        """Ages in seconds of this event's versions: at all proxies, and at the last of each version."""
        found = call_all(self._hosts, "ages_of", self._stamps)
        everywhere, at_last, last = ages(), ages(), dict.fromkeys(self._stamps, 0.0)
        for encoded, oldest, _ in found:
            everywhere.decode_and_add(encoded)
            for version, age in oldest.items():
                last[version] = max(last[version], age)
        for age in last.values():
            if age > 0.0:  # a change that concerns no proxy has no last one
                at_last.record_value(max(1, round(age * 1e6)))
        return {
            "all": _summary(everywhere),
            "last": _summary(at_last),
            "missing": sum(missing for _, _, missing in found),
        }


def _summary(histogram: HdrHistogram) -> dict[str, Any]:
    """Seconds, and the histogram itself (HDR, microseconds)."""
    if not histogram.get_total_count():
        return {"count": 0}
    return {
        "count": histogram.get_total_count(),
        "median": histogram.get_value_at_percentile(50.0) / 1e6,
        "p99": histogram.get_value_at_percentile(99.0) / 1e6,
        "worst": histogram.get_max_value() / 1e6,
        "hdr": histogram.encode().decode(),
    }


def run(options: RunOptions) -> RunResult:
    """All plans, one after the other; writes fleet.json."""
    begun = time.monotonic()
    plans: dict[str, Any] = {}
    for plan in QUICK if options.quick else PLANS:
        with ExitStack() as stack:
            fleet = Fleet(plan, options.seed, stack)
            report_progress("fleet", f"{plan.name}: {plan.proxies} proxies hold their lists")
            events: dict[str, Any] = {}
            for name in plan.events:
                act = fleet.changes_at_rate if name == "changes" else getattr(fleet, name)
                events[name] = found = fleet.measure(act)
                proxy, last = found["proxy"], found["age"]["last"]
                report_progress(
                    "fleet",
                    f"{plan.name}: {name}: age at the last {last.get('worst', 0.0):.3f} s; proxy's "
                    f"worst 10 s: {proxy['processor_worst']:.2f} % of a core, {proxy['bytes_worst']:.0f} B/s",
                )
            plans[plan.name] = {
                "proxies": plan.proxies,
                "narrow": plan.narrow,
                "speed": plan.speed,
                "rows": plan.rows,
                "start": fleet.started,
                "events": events,
            }
    figures = figures_of(plans)
    body = {"quick": options.quick, "plans": plans, "figures": figures, "duration": time.monotonic() - begun}
    return RunResult(figures, write_result(options.result_name("fleet"), options.seed, body, options.out))


def figures_of(plans: dict[str, Any]) -> dict[str, float]:
    """The budgets' figures: the worst of all plans and events, ages of ordinary changes alone."""
    events = [event for plan in plans.values() for event in plan["events"].values()]
    return {
        # A process's mean over its proxies, or what lists alone cost the proxy that had most to do.
        "processor_worst": max(
            max(event["proxy"]["processor_worst"], event["proxy"]["lists_worst"]) for event in events
        ),
        "bytes_worst": max(event["proxy"]["bytes_worst"] for event in events),
        "change_age": max(
            plan["events"]["changes"]["age"]["last"].get("worst", 0.0) for plan in plans.values()
        ),
    }
