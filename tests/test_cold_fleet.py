"""Cold servers under the sum of a whole fleet: many instances side by side on one clock.

Each instance spares a cold server alone and knows nothing of the others, and a server falls under what all
of them send. The checker counts, for every cold server and every span of `fall_after`, the calls of those
instances that had been told of its start. No sockets and no sleeps; all chance comes from the seed.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import accumulate
from math import sqrt
from random import Random
from typing import Any

import pytest

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import Action, CancelAttempt, Outcome, Reject, SetTimer, StartAttempt
from balancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass, Rules, Settings
from balancer.slow_start import SlowStart

EARLY = Rules(warmup_initial_capacity=0.32, warmup_duration=9.0, overload_multiple=3.0, overload_interval=2.0)
LATE = Rules(warmup_initial_capacity=0.16, warmup_duration=23.0, overload_multiple=2.5, overload_interval=1.0)
CLASSES = (
    RequestClass("view", 1.0, 4.0, Idempotency.IDEMPOTENT, priority_weight=1.0, late_weight=0.3),
    RequestClass("book", 1.0, 4.0, Idempotency.NON_IDEMPOTENT, priority_weight=4.0),
    RequestClass("keyed", 1.0, 4.0, Idempotency.KEYED, DeduplicationScope.CELL, 2.0, 2.0),
)
LIMITS = Limits(cancel=True, hedging=True, max_attempts=3, retry_after=True)
ZONES = 3
CAPACITY = 7.0  # requests of mean work a second, for each unit of a server's size
HELD = 38  # attempts that a server holds at most
BEGIN = 100.0
STARTS = BEGIN + 8.0  # when the cold servers come up: by then instances know their usual traffic
ENDS = STARTS + 4.0
DOWN = 1.0  # seconds for which a server that restarts is gone


@dataclass(frozen=True)
class Case:
    """One day of a fleet: how many instances, who is told when, which servers start cold, what traffic."""

    instances: int
    told: str = "at once"
    cold: str = "fifth"
    rules: Rules = EARLY
    tier: int = 0
    servers: int = 15
    load: float = 0.65  # of all capacity, before the servers start anew
    burst: float = 1.5  # the traffic from two seconds after the start on, as a multiple of that before
    skewed: float = 1.0  # the traffic of one in ten instances, as a multiple of the others'...
    neighbours: bool = False  # ...and whether their subsets meet
    joins: bool = False  # whether the cold servers are new ones rather than old ones that restart


@dataclass(eq=False)
class Node:
    """One server: it works on one attempt at a time."""

    row: Endpoint
    rules: Rules
    free_at: float = 0.0
    held: int = 0
    told: list[float] = field(default_factory=list)  # when calls came of instances that knew of its start...
    calls: list[float] = field(default_factory=list)  # ...and when any came

    def capacity(self, now: float) -> float:
        """What it can do now, in requests of mean work a second."""
        age, rules = now - self.row.started, self.rules
        ramp = rules.warmup_initial_capacity + (1.0 - rules.warmup_initial_capacity) * min(
            1.0, age / rules.warmup_duration
        )
        return CAPACITY * self.row.size * (ramp if self.row.started else 1.0)

    def ends(self, now: float, work: float) -> float:
        """When it will have done this work, taken on now."""
        self.free_at = max(self.free_at, now) + work / self.capacity(now)
        return self.free_at


@dataclass(eq=False)
class Process:
    """One balancer of the fleet: a restart replaces the balancer, and all that the old one knew is lost."""

    me: int
    balancer: Balancer
    life: int = 0


class Fleet:
    """Plays a case; `assert_budgets` is the checker."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = Random(seed)
        self.now = BEGIN
        self.events: list[tuple[float, int, str, Any]] = []
        self.count = 0
        self.answered = self.offered = 0
        sizes = (1.0, 1.0, 2.0)
        rows = [
            Endpoint(1000 + 7 * i, EndpointStatus.UP, i % ZONES, i // 5, sizes[i // ZONES % 3])
            for i in range(case.servers)
        ]
        self.nodes = {row.id: Node(row, case.rules) for row in rows}
        self.changed = self.choose(rows)
        if case.joins:
            rows = [row for row in rows if row.id not in self.changed]
        self.fleet = [self.process(me, rows) for me in range(case.instances)]
        hot = set(self.rng.sample(range(case.instances), case.instances // 10))
        if case.neighbours:
            hot = set(range(case.instances // 10))
        self.weights = list(accumulate(case.skewed if me in hot else 1.0 for me in range(case.instances)))
        self.total = CAPACITY * sum(row.size for row in rows)

    def choose(self, rows: list[Endpoint]) -> set[int]:
        """The servers that start cold."""
        if self.case.cold == "zone":
            return {row.id for row in rows if row.zone == 1}
        part = {"fifth": 0.2, "six in ten": 0.6, "all": 1.0}[self.case.cold]
        return {row.id for row in self.rng.sample(rows, round(part * len(rows)))}

    def process(self, me: int, rows: list[Endpoint]) -> Process:
        case = self.case
        config = Settings(
            classes=CLASSES,
            fleet_size=case.instances,
            ordinal=me,
            tier=case.tier,
            tier_count=2,
            zone=me % ZONES,
            zone_count=ZONES,
            limits=LIMITS,
            rules=case.rules,
        )
        balancer = Balancer(config, self.rng.getrandbits(32))
        balancer.on_endpoints_updated(self.now, UpdateKind.SNAPSHOT, rows)
        balancer.start(self.now)
        return Process(me, balancer)

    def at(self, when: float, what: str, data: Any = None) -> None:
        self.count += 1
        heappush(self.events, (when, self.count, what, data))

    def play(self) -> None:
        case, rng = self.case, self.rng
        if not case.joins:
            self.at(STARTS - DOWN, "down")
        self.at(STARTS, "up")
        for process in self.fleet:
            late = 3.0 * rng.random() if case.told == "one after another" else 0.0
            if not case.joins and not late:  # who is told late never heard that it was gone, and sends on
                self.at(STARTS - DOWN, "tell", (process, process.life))
            self.at(STARTS + late, "tell", (process, process.life))
        if case.told == "some restart":
            for process in rng.sample(self.fleet, max(1, len(self.fleet) // 10)):
                self.at(STARTS + 1.0 + 2.0 * rng.random(), "restart", process)
        self.at(BEGIN, "arrival")
        while self.events and self.events[0][0] < ENDS:
            self.now, _, what, data = heappop(self.events)
            getattr(self, what)(data)

    # ---- events --------------------------------------------------------------------------

    def down(self, _: None) -> None:
        for key in self.changed:
            self.nodes[key].row = replace(self.nodes[key].row, status=EndpointStatus.GONE)

    def up(self, _: None) -> None:
        for key in self.changed:
            row = replace(self.nodes[key].row, status=EndpointStatus.UP, started=self.now)
            self.nodes[key] = Node(row, self.case.rules)

    def tell(self, to: tuple[Process, int]) -> None:
        process, life = to
        if process.life == life:
            rows = [self.nodes[key].row for key in self.changed]
            process.balancer.on_endpoints_updated(self.now, UpdateKind.DELTA, rows)

    def restart(self, process: Process) -> None:
        process.balancer = self.process(process.me, [n.row for n in self.nodes.values()]).balancer
        process.life += 1

    def arrival(self, _: None) -> None:
        case = self.case
        rate = case.load * self.total
        if self.now > STARTS + 2.0:
            rate *= case.burst
        self.at(self.now + self.rng.expovariate(rate), "arrival")
        [process] = self.rng.choices(self.fleet, cum_weights=self.weights)
        self.offered += 1
        self.ask((process, self.rng.choices((0, 1, 2), (6, 2, 2))[0], self.now + 4.0, 0))

    def ask(self, of: tuple[Process, int, float, int]) -> None:
        """A try of a client: one that is refused comes again, twice at most."""
        process, kind, deadline, tries = of
        self.count += 1
        rid = f"r{self.count}"
        for action in process.balancer.on_request(self.now, rid, kind, 0, deadline):
            if isinstance(action, Reject) and tries < 2:
                self.at(self.now + 0.2 + 0.6 * self.rng.random(), "ask", (process, kind, deadline, tries + 1))
            self.carry_out(process, action)

    def carry_out(self, process: Process, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self.send(process, action)
        elif isinstance(action, SetTimer):
            self.at(action.at, "timer", (process, process.life, action.token))
        elif isinstance(action, CancelAttempt):
            self.at(
                self.now,
                "end",
                (process, process.life, action.request, action.attempt, Outcome.CANCELLED, self.now, None),
            )

    def timer(self, of: tuple[Process, int, int]) -> None:
        process, life, token = of
        if process.life == life:
            for action in process.balancer.on_timer(self.now, token):
                self.carry_out(process, action)

    def send(self, process: Process, action: StartAttempt) -> None:
        node = self.nodes[action.endpoint]
        number = len(process.balancer.requests[action.request].attempts) - 1
        timeout = action.timeout or 4.0
        came: tuple[Node | None, Outcome, float] = (None, Outcome.UNREACHABLE, 0.002)
        if node.row.status is EndpointStatus.UP:
            known = process.balancer.endpoints.states[action.endpoint].endpoint
            node.calls.append(self.now)
            if known.started == node.row.started:
                node.told.append(self.now)
            if node.held >= HELD:
                came = None, Outcome.OVERLOADED, 0.002
            else:
                node.held += 1
                took = node.ends(self.now, 0.5 + self.rng.random()) - self.now
                came = node, Outcome.SUCCESS, took
                if took > timeout:
                    self.at(self.now + took, "leave", node)
                    came = None, Outcome.TIMEOUT, timeout
        whose, how, took = came
        self.at(self.now + took, "end", (process, process.life, action.request, number, how, self.now, whose))

    def leave(self, node: Node) -> None:
        node.held -= 1

    def end(self, of: tuple[Process, int, str, int, Outcome, float, Node | None]) -> None:
        process, life, rid, number, how, sent, node = of
        if node is not None:
            node.held -= 1
        if process.life != life:
            return
        self.answered += how is Outcome.SUCCESS
        for action in process.balancer.on_attempt_finished(self.now, rid, number, how, self.now - sent):
            self.carry_out(process, action)

    # ---- the checker ---------------------------------------------------------------------

    def spans(self) -> list[tuple[float, int, int]]:
        """What each cold server got, for all spans that end with a call: bound, told calls, all calls.

        The capacity is that at the span's begin, the least in it.
        """
        rules, found = self.case.rules, []
        for key in sorted(self.changed):
            node = self.nodes[key]
            for till in node.calls:
                since = till - rules.overload_interval
                allowed = rules.overload_multiple * rules.overload_interval
                allowed *= node.capacity(max(since, node.row.started))
                told, calls = (bisect_right(x, till) - bisect_left(x, since) for x in (node.told, node.calls))
                found.append((allowed + 2.0 * sqrt(allowed) + 2.0, told, calls))
        return found

    def assert_budgets(self) -> None:
        for bound, told, calls in self.spans():
            assert told <= bound, f"{told} calls of told instances within a span, {bound:.1f} allowed"
            assert calls <= bound or told <= 2.0 / 3.0 * calls, f"{told} of {calls} told, {bound:.1f} allowed"


def play(case: Case, seed: int) -> Fleet:
    fleet = Fleet(case, seed)
    fleet.play()
    return fleet


def assert_holds(case: Case) -> None:
    """Three seeds; the budgets hold, and they do not hold because nothing is sent."""
    told = 0
    for seed in range(3):
        fleet = play(case, seed)
        fleet.assert_budgets()
        told += sum(len(fleet.nodes[key].told) for key in fleet.changed)
        assert fleet.answered >= 0.4 * fleet.offered, "a fleet that serves little keeps any budget"
    assert told, "no call for any cold server"


INSTANCES = pytest.mark.parametrize("instances", [20, 30, 200])


@INSTANCES
@pytest.mark.parametrize("cold", ["fifth", "six in ten", "zone"])
@pytest.mark.parametrize("told", ["at once", "one after another", "some restart"])
def test_the_sum_of_a_fleet_keeps_the_budget(instances: int, cold: str, told: str) -> None:
    rules = EARLY if cold == "six in ten" else LATE
    assert_holds(Case(instances, told, cold, rules, tier=int(cold != "fifth")))


@INSTANCES
@pytest.mark.parametrize(("cold", "rules", "tier"), [("six in ten", EARLY, 1), ("zone", LATE, 1)])
@pytest.mark.parametrize("neighbours", [False, True])
def test_the_sum_holds_where_a_few_have_most_of_the_traffic(
    instances: int, cold: str, rules: Rules, tier: int, neighbours: bool
) -> None:
    assert_holds(Case(instances, "at once", cold, rules, tier, skewed=6.0, neighbours=neighbours))


@INSTANCES
def test_the_sum_holds_where_new_servers_join(instances: int) -> None:
    assert_holds(Case(instances, "one after another", "fifth", LATE, joins=True))


@INSTANCES
@pytest.mark.parametrize(("rules", "tier"), [(EARLY, 1), (LATE, 0)])
def test_the_sum_holds_where_all_are_cold_and_the_refused_come_back(
    instances: int, rules: Rules, tier: int
) -> None:
    """With no warm peer the budget goes by what is offered: who comes back must not be counted again."""
    case = Case(instances, "at once", "all", rules, tier, servers=30, skewed=6.0, neighbours=True)
    for seed in range(3):
        play(case, seed).assert_budgets()


@pytest.mark.parametrize("told", ["at once", "one after another", "some restart"])
def test_a_fleet_that_ignores_cold_starts_is_caught(monkeypatch: pytest.MonkeyPatch, told: str) -> None:
    monkeypatch.setattr(SlowStart, "defers", lambda _self, _now, _state, _pool, _pools: False)
    with pytest.raises(AssertionError, match="allowed"):
        assert_holds(Case(200, told, "six in ten", LATE, 1, skewed=6.0, neighbours=True))


def test_the_checker_counts_told_calls_alone() -> None:
    fleet = Fleet(Case(20), 0)
    fleet.now = STARTS
    fleet.up(None)
    node = fleet.nodes[min(fleet.changed)]
    node.calls = [STARTS + 0.01 * n for n in range(100)]
    fleet.assert_budgets()  # nobody knew of the start
    node.told = node.calls[:60]
    with pytest.raises(AssertionError, match="allowed"):
        fleet.assert_budgets()
