"""Simulates a fleet of proxies whose endpoints restart and warm up.

Each proxy limits its attempts at a warming endpoint without knowing those of the others, but an endpoint is
overloaded by the attempts of all proxies together. `Fleet.assert_budgets` checks, for each warming endpoint
and each overload interval, the number of attempts from proxies that have been notified of its start. The
simulation has its own clock and opens no sockets; the seed determines all random numbers.
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

FAST_WARMUP = Rules(
    warmup_initial_capacity=0.32, warmup_duration=9.0, overload_multiple=3.0, overload_interval=2.0
)
SLOW_WARMUP = Rules(
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
CAPACITY = 7.0  # requests of mean work per second, for each unit of an endpoint's size
MAX_IN_FLIGHT = 38  # attempts that an endpoint accepts at a time
DEADLINE = 4.0  # seconds that a client gives each request
CLIENT_RETRIES = 2  # retries of a rejected request
REJECTION_LATENCY = 0.002  # seconds in which an endpoint that is down or full rejects an attempt
BEGIN_TIME = 100.0  # seconds on the fleet's clock
#: When the warming endpoints start: the proxies have measured their traffic by then.
START_TIME = BEGIN_TIME + 8.0
END_TIME = START_TIME + 4.0
DOWNTIME = 1.0  # seconds for which a restarting endpoint is removed from the list
BURST_DELAY = 2.0  # seconds from the start of the endpoints to the burst


@dataclass(frozen=True)
class Case:
    """The parameters of a simulation.

    Attributes:
        proxy_count: The number of proxies.
        notification: When the proxies are notified of the start of endpoints: "simultaneous", "staggered", or
            "some_proxies_restart" if some of them also restart afterwards.
        warming: Which endpoints start: "one_fifth", "six_tenths", "all", or "one_zone".
        rules: How endpoints warm up.
        tier: The tier of the proxies.
        endpoint_count: The number of endpoints.
        load_fraction: The traffic before the endpoints start, as a fraction of the capacity.
        burst_multiple: The traffic after BURST_DELAY, as a multiple of that before.
        hot_proxy_multiple: The traffic of each of the hot proxies (one in ten), as a multiple of the others'.
        hot_proxies_adjacent: Whether the hot proxies have successive ordinals, so that their subsets overlap.
        endpoints_are_new: Whether the warming endpoints are new; otherwise they restart.
    """

    proxy_count: int
    notification: str = "simultaneous"
    warming: str = "one_fifth"
    rules: Rules = FAST_WARMUP
    tier: int = 0
    endpoint_count: int = 15
    load_fraction: float = 0.65
    burst_multiple: float = 1.5
    hot_proxy_multiple: float = 1.0
    hot_proxies_adjacent: bool = False
    endpoints_are_new: bool = False


@dataclass(eq=False)
class SimulatedEndpoint:
    """An endpoint that works on one attempt at a time.

    Attributes:
        listed: Its entry in the endpoint list.
        rules: How it warms up.
        free_at: When it will have done all work that it has accepted, in seconds.
        in_flight: The number of attempts that it has accepted and not finished.
        informed_attempt_times: When it got attempts from proxies that had been notified of its start.
        attempt_times: When it got attempts from any proxy.
    """

    listed: Endpoint
    rules: Rules
    free_at: float = 0.0
    in_flight: int = 0
    informed_attempt_times: list[float] = field(default_factory=list)
    attempt_times: list[float] = field(default_factory=list)

    def capacity(self, now: float) -> float:
        """Return its present capacity, in requests of mean work per second."""
        age, rules = now - self.listed.started, self.rules
        progress = min(1.0, age / rules.warmup_duration)
        fraction = rules.warmup_initial_capacity + (1.0 - rules.warmup_initial_capacity) * progress
        return CAPACITY * self.listed.size * (fraction if self.listed.started else 1.0)

    def accept_work(self, now: float, work: float) -> float:
        """Accept work, and return when it will be done."""
        self.free_at = max(self.free_at, now) + work / self.capacity(now)
        return self.free_at


@dataclass(eq=False)
class SimulatedProxy:
    """A proxy of the fleet; a restart replaces its balancer, which loses all measurements."""

    ordinal: int
    balancer: Balancer
    incarnation: int = 0


class ClientRequest(NamedTuple):
    """A request of a client; each retry of a rejected request is a new one."""

    proxy: SimulatedProxy
    class_index: int
    deadline: float
    retries: int


class IntervalLoad(NamedTuple):
    """The attempts that a warming endpoint got in one overload interval."""

    allowed: float
    informed_attempts: int
    attempts: int


class Fleet:
    """Simulates a case; `assert_budgets` checks the result."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = Random(seed)
        self.now = BEGIN_TIME
        self.responded = self.offered = 0  # successful attempts, requests of clients
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._last_id = 0  # of events and requests
        sizes = (1.0, 1.0, 2.0)
        listed = [
            Endpoint(1000 + 7 * i, EndpointStatus.UP, i % ZONES, i // 5, sizes[i // ZONES % 3])
            for i in range(case.endpoint_count)
        ]
        self.endpoints = {endpoint.id: SimulatedEndpoint(endpoint, case.rules) for endpoint in listed}
        self.warming = self._choose_warming(listed)
        if case.endpoints_are_new:
            listed = [endpoint for endpoint in listed if endpoint.id not in self.warming]
        ordinals = range(case.proxy_count)
        self.proxies = [SimulatedProxy(ordinal, self._new_balancer(ordinal, listed)) for ordinal in ordinals]
        hot = set(self.rng.sample(ordinals, case.proxy_count // 10))
        if case.hot_proxies_adjacent:
            hot = set(range(case.proxy_count // 10))
        traffic = (case.hot_proxy_multiple if ordinal in hot else 1.0 for ordinal in ordinals)
        self._cumulative_traffic = list(accumulate(traffic))
        self._capacity = CAPACITY * sum(endpoint.size for endpoint in listed)

    def _choose_warming(self, listed: list[Endpoint]) -> set[int]:
        """Return the ids of the endpoints that start during the simulation."""
        if self.case.warming == "one_zone":
            return {endpoint.id for endpoint in listed if endpoint.zone == 1}
        fraction = {"one_fifth": 0.2, "six_tenths": 0.6, "all": 1.0}[self.case.warming]
        return {endpoint.id for endpoint in self.rng.sample(listed, round(fraction * len(listed)))}

    def _new_balancer(self, ordinal: int, listed: list[Endpoint]) -> Balancer:
        case = self.case
        settings = Settings(
            classes=CLASSES,
            fleet_size=case.proxy_count,
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
        self._last_id += 1
        heappush(self._events, (at, self._last_id, event))

    def run(self) -> None:
        """Simulate the case to its end."""
        case, rng = self.case, self.rng
        if not case.endpoints_are_new:
            self._schedule(START_TIME - DOWNTIME, self._stop_endpoints)
        self._schedule(START_TIME, self.start_endpoints)
        for proxy in self.proxies:
            delay = 3.0 * rng.random() if case.notification == "staggered" else 0.0
            notify = partial(self._notify, proxy, proxy.incarnation)
            # A proxy that is notified late was not notified of the removal either, and continues to send.
            if not case.endpoints_are_new and not delay:
                self._schedule(START_TIME - DOWNTIME, notify)
            self._schedule(START_TIME + delay, notify)
        if case.notification == "some_proxies_restart":
            for proxy in rng.sample(self.proxies, max(1, len(self.proxies) // 10)):
                self._schedule(START_TIME + 1.0 + 2.0 * rng.random(), partial(self._restart, proxy))
        self._schedule(BEGIN_TIME, self._arrive)
        while self._events and self._events[0][0] < END_TIME:
            self.now, _, event = heappop(self._events)
            event()

    # ---- events --------------------------------------------------------------------------

    def _stop_endpoints(self) -> None:
        for endpoint_id in self.warming:
            endpoint = self.endpoints[endpoint_id]
            endpoint.listed = replace(endpoint.listed, status=EndpointStatus.REMOVED)

    def start_endpoints(self) -> None:
        """Start the warming endpoints, each with a new process."""
        for endpoint_id in self.warming:
            listed = self.endpoints[endpoint_id].listed
            listed = replace(listed, status=EndpointStatus.UP, started=self.now)
            self.endpoints[endpoint_id] = SimulatedEndpoint(listed, self.case.rules)

    def _notify(self, proxy: SimulatedProxy, incarnation: int) -> None:
        """Notify a proxy of the present entries of the warming endpoints."""
        if proxy.incarnation == incarnation:
            listed = [self.endpoints[endpoint_id].listed for endpoint_id in self.warming]
            proxy.balancer.on_endpoints_updated(self.now, UpdateKind.DELTA, listed)

    def _restart(self, proxy: SimulatedProxy) -> None:
        listed = [endpoint.listed for endpoint in self.endpoints.values()]
        proxy.balancer = self._new_balancer(proxy.ordinal, listed)
        proxy.incarnation += 1

    def _arrive(self) -> None:
        """Send a new request, and schedule the next one."""
        case = self.case
        rate = case.load_fraction * self._capacity
        if self.now > START_TIME + BURST_DELAY:
            rate *= case.burst_multiple
        self._schedule(self.now + self.rng.expovariate(rate), self._arrive)
        [proxy] = self.rng.choices(self.proxies, cum_weights=self._cumulative_traffic)
        self.offered += 1
        class_index = self.rng.choices(range(len(CLASSES)), CLASS_WEIGHTS)[0]
        self._request(ClientRequest(proxy, class_index, self.now + DEADLINE, 0))

    def _request(self, request: ClientRequest) -> None:
        self._last_id += 1
        balancer = request.proxy.balancer
        for action in balancer.on_request(
            self.now,
            IncomingRequest(f"r{self._last_id}", class_index=request.class_index, deadline=request.deadline),
        ):
            if isinstance(action, Reject) and request.retries < CLIENT_RETRIES:
                retry = request._replace(retries=request.retries + 1)
                self._schedule(self.now + 0.2 + 0.6 * self.rng.random(), partial(self._request, retry))
            self._carry_out(request.proxy, action)

    def _carry_out(self, proxy: SimulatedProxy, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._start_attempt(proxy, action)
        elif isinstance(action, SetTimer):
            fire = partial(self._fire_timer, proxy, proxy.incarnation, action.token)
            self._schedule(action.at, fire)
        elif isinstance(action, CancelAttempt):
            self._finish_at(self.now, proxy, action.request, action.attempt, Outcome.CANCELLED, endpoint=None)

    def _fire_timer(self, proxy: SimulatedProxy, incarnation: int, token: int) -> None:
        if proxy.incarnation == incarnation:
            for action in proxy.balancer.on_timer(self.now, token):
                self._carry_out(proxy, action)

    def _start_attempt(self, proxy: SimulatedProxy, action: StartAttempt) -> None:
        endpoint: SimulatedEndpoint | None = self.endpoints[action.endpoint]
        assert endpoint is not None
        number = len(proxy.balancer.requests[action.request].attempts) - 1
        timeout = action.timeout or DEADLINE
        outcome, latency = Outcome.UNREACHABLE, REJECTION_LATENCY
        work_ends_with_attempt = False
        if endpoint.listed.status is EndpointStatus.UP:
            known_entry = proxy.balancer.endpoints.states[action.endpoint].endpoint
            endpoint.attempt_times.append(self.now)
            if known_entry.started == endpoint.listed.started:
                endpoint.informed_attempt_times.append(self.now)
            if endpoint.in_flight >= MAX_IN_FLIGHT:
                outcome = Outcome.OVERLOADED
            else:
                endpoint.in_flight += 1
                latency = endpoint.accept_work(self.now, 0.5 + self.rng.random()) - self.now
                outcome, work_ends_with_attempt = Outcome.SUCCESS, True
                if latency > timeout:  # the endpoint continues to work after the attempt has timed out
                    self._schedule(self.now + latency, partial(self._finish_work, endpoint))
                    outcome, latency, work_ends_with_attempt = Outcome.TIMEOUT, timeout, False
        self._finish_at(
            self.now + latency,
            proxy,
            action.request,
            number,
            outcome,
            endpoint if work_ends_with_attempt else None,
        )

    def _finish_work(self, endpoint: SimulatedEndpoint) -> None:
        endpoint.in_flight -= 1

    def _finish_at(
        self,
        at: float,
        proxy: SimulatedProxy,
        request_id: str,
        number: int,
        outcome: Outcome,
        endpoint: SimulatedEndpoint | None,
    ) -> None:
        """Schedule the end of an attempt that starts now, and of the work on it if `endpoint` is given."""
        incarnation, started_at = proxy.incarnation, self.now

        def finish() -> None:
            if endpoint is not None:
                self._finish_work(endpoint)
            if proxy.incarnation != incarnation:
                return
            self.responded += outcome is Outcome.SUCCESS
            latency = self.now - started_at
            for action in proxy.balancer.on_attempt_finished(self.now, request_id, number, outcome, latency):
                self._carry_out(proxy, action)

        self._schedule(at, finish)

    # ---- checks --------------------------------------------------------------------------

    def interval_loads(self) -> list[IntervalLoad]:
        """Return the load of each warming endpoint, for each overload interval that ends with an attempt.

        The budget follows from the capacity at the start of the interval, which is the lowest in it. The
        rule tolerates an excess of twice the square root of the budget, plus 2, as random variation.
        """
        rules, loads = self.case.rules, []
        for endpoint_id in sorted(self.warming):
            endpoint = self.endpoints[endpoint_id]
            for end in endpoint.attempt_times:
                start = end - rules.overload_interval
                budget = rules.overload_multiple * rules.overload_interval
                budget *= endpoint.capacity(max(start, endpoint.listed.started))
                informed, attempts = (
                    bisect_right(times, end) - bisect_left(times, start)
                    for times in (endpoint.informed_attempt_times, endpoint.attempt_times)
                )
                loads.append(IntervalLoad(budget + 2.0 * sqrt(budget) + 2.0, informed, attempts))
        return loads

    def assert_budgets(self) -> None:
        """Fail if informed proxies overloaded an endpoint, or sent over two thirds of an overload."""
        for allowed, informed, attempts in self.interval_loads():
            assert informed <= allowed, f"{informed} informed attempts in an interval, {allowed:.1f} allowed"
            assert attempts <= allowed or informed <= 2.0 / 3.0 * attempts, (
                f"{informed} of {attempts} attempts are informed, {allowed:.1f} allowed"
            )


def simulate(case: Case, seed: int) -> Fleet:
    """Simulate a case and return the fleet at its end."""
    fleet = Fleet(case, seed)
    fleet.run()
    return fleet


def assert_budgets_hold(case: Case) -> None:
    """Simulate a case with three seeds: budgets must hold although requests are served."""
    informed_attempts = 0
    for seed in range(3):
        fleet = simulate(case, seed)
        fleet.assert_budgets()
        informed_attempts += sum(
            len(fleet.endpoints[endpoint_id].informed_attempt_times) for endpoint_id in fleet.warming
        )
        assert fleet.responded >= 0.4 * fleet.offered, "too few requests served to check the budgets"
    assert informed_attempts, "no informed attempt at any warming endpoint"
