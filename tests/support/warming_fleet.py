"""Simulates a fleet of balancers over endpoints that warm up, all on one clock.

Each instance defers calls to a warming endpoint by itself and knows nothing of the others, but an endpoint
is overloaded by what all of them send. `Fleet.assert_budgets` counts, for every warming endpoint and every
overload interval, the calls of those instances that knew of its start. There are no sockets and no sleeps;
all chance comes from the seed.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import accumulate
from math import sqrt
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import Action, CancelAttempt, IncomingRequest, Outcome, Reject, SetTimer, StartAttempt
from balancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass, Rules, Settings

if TYPE_CHECKING:
    from collections.abc import Callable

EARLY_OVERLOAD = Rules(
    warmup_initial_capacity=0.32, warmup_duration=9.0, overload_multiple=3.0, overload_interval=2.0
)
LATE_OVERLOAD = Rules(
    warmup_initial_capacity=0.16, warmup_duration=23.0, overload_multiple=2.5, overload_interval=1.0
)
CLASSES = (
    RequestClass("view", 1.0, 4.0, Idempotency.IDEMPOTENT, priority_weight=1.0, late_weight=0.3),
    RequestClass("book", 1.0, 4.0, Idempotency.NON_IDEMPOTENT, priority_weight=4.0),
    RequestClass("keyed", 1.0, 4.0, Idempotency.KEYED, DeduplicationScope.CELL, 2.0, 2.0),
)
CLASS_WEIGHTS = (6, 2, 2)  # of the traffic
LIMITS = Limits(cancel=True, hedging=True, max_attempts=3, retry_after=True)
ZONES = 3
CAPACITY = 7.0  # requests of mean work a second, for each unit of an endpoint's size
MAX_IN_FLIGHT = 38  # attempts that an endpoint takes at once
DEADLINE = 4.0  # seconds that a client gives each request
CLIENT_RETRIES = 2  # of a rejected request
FAST_FAILURE = 0.002  # seconds until an endpoint that is down or full has rejected an attempt
BEGIN = 100.0  # seconds on the fleet's clock
START_TIME = BEGIN + 8.0  # when the warming endpoints start: by then instances know their usual traffic
END = START_TIME + 4.0
DOWNTIME = 1.0  # seconds for which an endpoint that restarts is removed
BURST_DELAY = 2.0  # seconds from the start to the burst


@dataclass(frozen=True)
class Case:
    """What happens to a fleet.

    Attributes:
        instances: How many balancers there are.
        delivery: When they learn of the start: "at once", "one after another", or "some restart" meanwhile.
        warming: Which endpoints start: a "fifth", "six in ten", "all", or those of a "zone".
        rules: How endpoints warm up.
        tier: The tier that the balancers send to.
        endpoints: How many endpoints there are.
        load: The traffic before the endpoints start, as a part of all capacity.
        burst: The traffic some time after the start, as a multiple of that before.
        skew: The traffic of one in ten instances, as a multiple of that of the others.
        neighbours: Whether the subsets of these instances overlap.
        joins: Whether the warming endpoints are new ones, not old ones that restart.
    """

    instances: int
    delivery: str = "at once"
    warming: str = "fifth"
    rules: Rules = EARLY_OVERLOAD
    tier: int = 0
    endpoints: int = 15
    load: float = 0.65
    burst: float = 1.5
    skew: float = 1.0
    neighbours: bool = False
    joins: bool = False


@dataclass(eq=False)
class SimulatedEndpoint:
    """One endpoint, which works on one attempt at a time.

    Attributes:
        listed: Its entry in the endpoint list.
        rules: How it warms up.
        free_at: When it will have done all work that it has accepted, in seconds.
        in_flight: The attempts that it has accepted and not finished.
        informed_calls: When instances called it that knew of its start.
        calls: When any instance called it.
    """

    listed: Endpoint
    rules: Rules
    free_at: float = 0.0
    in_flight: int = 0
    informed_calls: list[float] = field(default_factory=list)
    calls: list[float] = field(default_factory=list)

    def capacity(self, now: float) -> float:
        """Return what it can do now, in requests of mean work a second."""
        age, rules = now - self.listed.started, self.rules
        progress = min(1.0, age / rules.warmup_duration)
        warm = rules.warmup_initial_capacity + (1.0 - rules.warmup_initial_capacity) * progress
        return CAPACITY * self.listed.size * (warm if self.listed.started else 1.0)

    def finish_time(self, now: float, work: float) -> float:
        """Return when it will have done this work, accepted now."""
        self.free_at = max(self.free_at, now) + work / self.capacity(now)
        return self.free_at


@dataclass(eq=False)
class Instance:
    """One balancer of the fleet; a restart replaces it, and everything that it had learned is lost."""

    ordinal: int
    balancer: Balancer
    incarnation: int = 0


class ClientRequest(NamedTuple):
    """One request of a client; a retry of a rejected request is another one."""

    instance: Instance
    class_index: int
    deadline: float
    retries: int


class Span(NamedTuple):
    """The calls that one warming endpoint got in one overload interval."""

    allowed: float
    informed_calls: int
    calls: int


class Fleet:
    """Simulates a case; `assert_budgets` is the checker."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = Random(seed)
        self.now = BEGIN
        self.responded = self.offered = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0  # of events and requests
        sizes = (1.0, 1.0, 2.0)
        listed = [
            Endpoint(1000 + 7 * i, EndpointStatus.UP, i % ZONES, i // 5, sizes[i // ZONES % 3])
            for i in range(case.endpoints)
        ]
        self.endpoints = {endpoint.id: SimulatedEndpoint(endpoint, case.rules) for endpoint in listed}
        self.warming = self._choose_warming(listed)
        if case.joins:
            listed = [endpoint for endpoint in listed if endpoint.id not in self.warming]
        self.instances = [Instance(n, self._new_balancer(n, listed)) for n in range(case.instances)]
        hot = set(self.rng.sample(range(case.instances), case.instances // 10))
        if case.neighbours:
            hot = set(range(case.instances // 10))
        self._traffic = list(accumulate(case.skew if n in hot else 1.0 for n in range(case.instances)))
        self._capacity = CAPACITY * sum(endpoint.size for endpoint in listed)

    def _choose_warming(self, listed: list[Endpoint]) -> set[int]:
        """Return the ids of the endpoints that start during the simulation."""
        if self.case.warming == "zone":
            return {endpoint.id for endpoint in listed if endpoint.zone == 1}
        part = {"fifth": 0.2, "six in ten": 0.6, "all": 1.0}[self.case.warming]
        return {endpoint.id for endpoint in self.rng.sample(listed, round(part * len(listed)))}

    def _new_balancer(self, ordinal: int, listed: list[Endpoint]) -> Balancer:
        case = self.case
        settings = Settings(
            classes=CLASSES,
            fleet_size=case.instances,
            ordinal=ordinal,
            tier=case.tier,
            tier_count=2,
            zone=ordinal % ZONES,
            zone_count=ZONES,
            limits=LIMITS,
            rules=case.rules,
        )
        balancer = Balancer(settings, self.rng.getrandbits(32))
        balancer.on_endpoints_updated(self.now, UpdateKind.SNAPSHOT, listed)
        balancer.start(self.now)
        return balancer

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (at, self._count, event))

    def play(self) -> None:
        """Simulate the case to its end."""
        case, rng = self.case, self.rng
        if not case.joins:
            self._schedule(START_TIME - DOWNTIME, self._stop_endpoints)
        self._schedule(START_TIME, self.start_endpoints)
        for instance in self.instances:
            delay = 3.0 * rng.random() if case.delivery == "one after another" else 0.0
            deliver = partial(self._deliver, instance, instance.incarnation)
            if (
                not case.joins and not delay
            ):  # an instance that learns late never knew of the removal, and goes on sending
                self._schedule(START_TIME - DOWNTIME, deliver)
            self._schedule(START_TIME + delay, deliver)
        if case.delivery == "some restart":
            for instance in rng.sample(self.instances, max(1, len(self.instances) // 10)):
                self._schedule(START_TIME + 1.0 + 2.0 * rng.random(), partial(self._restart, instance))
        self._schedule(BEGIN, self._arrive)
        while self._events and self._events[0][0] < END:
            self.now, _, event = heappop(self._events)
            event()

    # ---- events --------------------------------------------------------------------------

    def _stop_endpoints(self) -> None:
        for endpoint_id in self.warming:
            endpoint = self.endpoints[endpoint_id]
            endpoint.listed = replace(endpoint.listed, status=EndpointStatus.REMOVED)

    def start_endpoints(self) -> None:
        """Start the warming endpoints, at full size and with a new process."""
        for endpoint_id in self.warming:
            listed = self.endpoints[endpoint_id].listed
            listed = replace(listed, status=EndpointStatus.UP, started=self.now)
            self.endpoints[endpoint_id] = SimulatedEndpoint(listed, self.case.rules)

    def _deliver(self, instance: Instance, incarnation: int) -> None:
        """Notify an instance of the warming endpoints as they are now."""
        if instance.incarnation == incarnation:
            listed = [self.endpoints[endpoint_id].listed for endpoint_id in self.warming]
            instance.balancer.on_endpoints_updated(self.now, UpdateKind.DELTA, listed)

    def _restart(self, instance: Instance) -> None:
        listed = [endpoint.listed for endpoint in self.endpoints.values()]
        instance.balancer = self._new_balancer(instance.ordinal, listed)
        instance.incarnation += 1

    def _arrive(self) -> None:
        """Send a new request, and schedule the next one."""
        case = self.case
        rate = case.load * self._capacity
        if self.now > START_TIME + BURST_DELAY:
            rate *= case.burst
        self._schedule(self.now + self.rng.expovariate(rate), self._arrive)
        [instance] = self.rng.choices(self.instances, cum_weights=self._traffic)
        self.offered += 1
        class_index = self.rng.choices(range(len(CLASSES)), CLASS_WEIGHTS)[0]
        self._request(ClientRequest(instance, class_index, self.now + DEADLINE, 0))

    def _request(self, request: ClientRequest) -> None:
        self._count += 1
        balancer = request.instance.balancer
        for action in balancer.on_request(
            self.now,
            IncomingRequest(f"r{self._count}", class_index=request.class_index, deadline=request.deadline),
        ):
            if isinstance(action, Reject) and request.retries < CLIENT_RETRIES:
                again = request._replace(retries=request.retries + 1)
                self._schedule(self.now + 0.2 + 0.6 * self.rng.random(), partial(self._request, again))
            self._carry_out(request.instance, action)

    def _carry_out(self, instance: Instance, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._start_attempt(instance, action)
        elif isinstance(action, SetTimer):
            fire = partial(self._fire_timer, instance, instance.incarnation, action.token)
            self._schedule(action.at, fire)
        elif isinstance(action, CancelAttempt):
            self._finish_at(
                self.now, instance, action.request, action.attempt, Outcome.CANCELLED, endpoint=None
            )

    def _fire_timer(self, instance: Instance, incarnation: int, token: int) -> None:
        if instance.incarnation == incarnation:
            for action in instance.balancer.on_timer(self.now, token):
                self._carry_out(instance, action)

    def _start_attempt(self, instance: Instance, action: StartAttempt) -> None:
        endpoint: SimulatedEndpoint | None = self.endpoints[action.endpoint]
        assert endpoint is not None
        number = len(instance.balancer.requests[action.request].attempts) - 1
        timeout = action.timeout or DEADLINE
        outcome, latency = Outcome.UNREACHABLE, FAST_FAILURE
        works_on_it = False
        if endpoint.listed.status is EndpointStatus.UP:
            known = instance.balancer.endpoints.states[action.endpoint].endpoint
            endpoint.calls.append(self.now)
            if known.started == endpoint.listed.started:
                endpoint.informed_calls.append(self.now)
            if endpoint.in_flight >= MAX_IN_FLIGHT:
                outcome = Outcome.OVERLOADED
            else:
                endpoint.in_flight += 1
                latency = endpoint.finish_time(self.now, 0.5 + self.rng.random()) - self.now
                outcome, works_on_it = Outcome.SUCCESS, True
                if latency > timeout:  # the endpoint goes on working after the attempt has ended
                    self._schedule(self.now + latency, partial(self._leave, endpoint))
                    outcome, latency, works_on_it = Outcome.TIMEOUT, timeout, False
        self._finish_at(
            self.now + latency, instance, action.request, number, outcome, endpoint if works_on_it else None
        )

    def _leave(self, endpoint: SimulatedEndpoint) -> None:
        endpoint.in_flight -= 1

    def _finish_at(
        self,
        at: float,
        instance: Instance,
        request_id: str,
        number: int,
        outcome: Outcome,
        endpoint: SimulatedEndpoint | None,
    ) -> None:
        """Schedule the end of an attempt that starts now, and of the work on it if `endpoint` is given."""
        incarnation, started_at = instance.incarnation, self.now

        def finish() -> None:
            if endpoint is not None:
                self._leave(endpoint)
            if instance.incarnation != incarnation:
                return
            self.responded += outcome is Outcome.SUCCESS
            latency = self.now - started_at
            for action in instance.balancer.on_attempt_finished(
                self.now, request_id, number, outcome, latency
            ):
                self._carry_out(instance, action)

        self._schedule(at, finish)

    # ---- the checker ---------------------------------------------------------------------

    def spans(self) -> list[Span]:
        """Return what each warming endpoint got, for all overload intervals that end with a call.

        The capacity is that at the start of the interval, the lowest in it. An excess of up to twice the
        root of the budget, plus 2, is the slack that the rule leaves for chance (STANDING).
        """
        rules, found = self.case.rules, []
        for endpoint_id in sorted(self.warming):
            endpoint = self.endpoints[endpoint_id]
            for till in endpoint.calls:
                since = till - rules.overload_interval
                budget = rules.overload_multiple * rules.overload_interval
                budget *= endpoint.capacity(max(since, endpoint.listed.started))
                informed, calls = (
                    bisect_right(times, till) - bisect_left(times, since)
                    for times in (endpoint.informed_calls, endpoint.calls)
                )
                found.append(Span(budget + 2.0 * sqrt(budget) + 2.0, informed, calls))
        return found

    def assert_budgets(self) -> None:
        """Fail where the informed instances overloaded an endpoint, alone or with the others."""
        for allowed, informed, calls in self.spans():
            assert informed <= allowed, f"{informed} informed calls within a span, {allowed:.1f} allowed"
            assert calls <= allowed or informed <= 2.0 / 3.0 * calls, (
                f"{informed} of {calls} calls informed, {allowed:.1f} allowed"
            )


def play(case: Case, seed: int) -> Fleet:
    """Simulate a case and return the fleet at its end."""
    fleet = Fleet(case, seed)
    fleet.play()
    return fleet


def assert_holds(case: Case) -> None:
    """Simulate three seeds: the budgets hold, and not because nothing is sent."""
    informed = 0
    for seed in range(3):
        fleet = play(case, seed)
        fleet.assert_budgets()
        informed += sum(len(fleet.endpoints[endpoint_id].informed_calls) for endpoint_id in fleet.warming)
        assert fleet.responded >= 0.4 * fleet.offered, "a fleet that serves little keeps any budget"
    assert informed, "no call for any warming endpoint"
