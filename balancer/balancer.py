"""The balancer of one instance: the way of a request, from its arrival to its final answer.

Interface: balancer/settings.py, endpoints.py, events.py. Here is the order of the steps; each has a module of
its own. Sans-I/O: methods take the time, and return the actions to carry out; the seed gives all randomness.
"""

from collections.abc import Sequence
from dataclasses import replace
from random import Random

from balancer.admission_control import AdmissionControl
from balancer.attempts import RequestState
from balancer.circuit_breaker import CircuitBreaker
from balancer.client_timeouts import ClientTimeouts
from balancer.discovery_polling import POLL_TOKEN, DiscoveryPolling
from balancer.endpoint_list import EndpointList
from balancer.endpoint_selection import EndpointSelection
from balancer.endpoint_state import AttemptState, EndpointState
from balancer.endpoints import Endpoint, UpdateKind
from balancer.errors import InvalidValueError
from balancer.events import (
    NEVER_RAN,
    Action,
    Fail,
    IncomingRequest,
    MisplacedAttempt,
    Outcome,
    Reject,
    RejectReason,
    RequestId,
    SendRejection,
    StartAttempt,
)
from balancer.hedging import Hedging
from balancer.latency_statistics import LatencyStatistics
from balancer.pool_assignment import PoolAssignment
from balancer.retry_budget import RetryBudgets
from balancer.send_rejection import send_rejection
from balancer.settings import Settings, narrow_class, narrow_limits
from balancer.slow_start import SlowStart
from balancer.subsetting import Subsetting, ready_ring
from balancer.tenant_quota import TenantQuotas

#: Outcomes that speak of more work than the endpoints can do.
OVERLOAD_OUTCOMES = frozenset({Outcome.OVERLOADED, Outcome.TIMEOUT, Outcome.UNREACHABLE})


class Balancer:
    """One instance: a method for each event, each returning the actions to carry out in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.rng = Random(seed)
        self.requests: dict[RequestId, RequestState] = {}
        self.statistics = LatencyStatistics()
        self.client_timeouts = ClientTimeouts()
        self.tenant_quotas = TenantQuotas()
        self.admission = AdmissionControl(self.rng, self.statistics)
        self.retry_budgets = RetryBudgets()
        self.hedging = Hedging(self.statistics, settings)
        self.polling = DiscoveryPolling(self.rng, settings)
        self.slow_start = SlowStart(self.rng, settings.rules)
        self.subsetting = Subsetting(self.statistics, self.slow_start, settings)
        self.assignment = PoolAssignment()
        self.selection = EndpointSelection(self.rng, self.statistics, self.slow_start, self.assignment)
        self.endpoints = EndpointList(self.slow_start)
        self.settings = replace(settings, classes=(), tenants=())
        self._configure(0.0, settings)

    def start(self, now: float) -> list[Action]:
        """Begin to poll discovery, if it has to be; call once, after the first list was given."""
        return self.polling.start(now)

    def on_endpoints_updated(self, now: float, kind: UpdateKind, rows: Sequence[Endpoint]) -> list[Action]:
        """Take in an endpoint list, a change to it, or the failure of a poll."""
        if kind is UpdateKind.FAILED:
            return self.polling.on_failure(now)
        if kind is not UpdateKind.CACHED:
            self.polling.backoff = 1.0
        self.endpoints.update(now, kind, rows)
        self._rebuild_pools(now)
        return []

    def _rebuild_pools(self, now: float) -> None:
        """Rebuild the lists of ready endpoints; those that drain or are gone leave them at once."""
        ready = ready_ring(self.endpoints.states)
        for pool in self.assignment.pools:
            pool.set_ready(ready)
        self.subsetting.resize(now, self.assignment.pools)

    def on_request(self, now: float, incoming: IncomingRequest) -> list[Action]:
        """Take a new request; from here on exactly one final answer is pending."""
        request_id, class_index, deadline = incoming.request_id, incoming.class_index, incoming.deadline
        self.settings.check_request(incoming)
        if request_id in self.requests:
            raise InvalidValueError(field="request_id", problem=f"{request_id!r} is open already")
        request_class, limits = self.settings.classes[class_index], self.settings.limits
        if deadline is None:
            deadline = now + request_class.deadline
        until = self.client_timeouts.useful_until(now, class_index, deadline, is_retry=incoming.is_retry)
        pool, budget = self.assignment.by_class[class_index], self.admission.wait_budgets[class_index]
        request = RequestState(request_id, class_index, request_class, limits, pool, budget, deadline, until)
        request.cost = incoming.cost or 1.0
        self.requests[request_id] = request
        self.retry_budgets.record_request(now)
        pool.record_request(now)
        if now >= self.subsetting.resize_at:
            self.subsetting.resize(now, self.assignment.pools)
        rejection = self._rejection(now, request, incoming.tenant)
        if rejection is not None:
            return self._answer(now, request, rejection)
        # All endpoints but the warming ones stand in for a dead subset: other subsets share the budget.
        actions = self._dispatch(now, request, pool.subset) or self._dispatch(now, request, pool.ready)
        return actions or self._answer(now, request, RejectReason.NO_ENDPOINT)

    def _rejection(self, now: float, request: RequestState, tenant: int) -> RejectReason | None:
        """Return why not to admit a request: heavy work, or with little time left, may not end in time."""
        in_time = now + self.statistics.min_latency(request.cost) < request.useful_until
        if not in_time:
            self.statistics.record_rejection()
        within_quota = self.tenant_quotas.take_token(now, tenant)
        if not in_time:
            return RejectReason.NO_TIME
        return self.admission.rejection(now, request.pool, request.class_index, is_within_quota=within_quota)

    def _dispatch(self, now: float, request: RequestState, endpoints: list[EndpointState]) -> list[Action]:
        """Start an attempt at the best candidate whose breaker lets it through; no actions if none does."""
        objective = request.request_class.latency_objective
        for target in self.selection.rank(now, request, endpoints):
            if target.breaker is None:
                target.breaker = CircuitBreaker()
            if not target.breaker.rejects(now, objective, self.rng):
                break
        else:
            return []
        if target.warmup_tokens > 0.0:
            target.warmup_tokens -= 1.0
        if request.attempts:
            self.retry_budgets.next_attempt(request.open_attempts).record_retry(now)
        attempt = AttemptState(target, target.endpoint, now)
        target.in_flight[attempt] = None
        pool = request.pool
        pool.sent_rate.add(now)
        pool.warm_rate.add(now, is_warm=pool.warm_fraction >= 1.0)
        request.attempts.append(attempt)
        request.open_attempts += 1
        timeout = request.useful_until - now if request.useful_until < request.deadline else 0.0
        hedge = self.hedging.schedule(now, request, attempt) if request.open_attempts == 1 else []
        return [StartAttempt(request.id, target.endpoint.id, timeout), *hedge]

    def send_rejection(
        self, now: float, request_id: RequestId, number: int, *, client_disconnected: bool = False
    ) -> SendRejection | None:
        """Return why an attempt may not be written to its endpoint now; None if it may.

        Call this just before the first byte, after whatever the attempt had to wait for, and report a refused
        attempt as finished with `Outcome.NOT_SENT`.
        """
        if client_disconnected:
            return SendRejection.CLIENT_DISCONNECTED
        request = self.requests.get(request_id)
        return SendRejection.REQUEST_ENDED if request is None else send_rejection(now, request, number)

    def on_response_started(self, _now: float, request_id: RequestId, number: int) -> list[Action]:
        """Bind a request of a streamed class to the attempt whose response has begun."""
        request = self.requests.get(request_id)
        if request is None or request.answered:
            return []
        request.response_started = True
        return request.cancel_open_attempts(number)

    def on_timer(self, now: float, token: int) -> list[Action]:
        """Poll discovery or hedge a request, as the timer fires; stale timers are ignored."""
        if token == POLL_TOKEN:
            return self.polling.on_timer()
        request = self.hedging.due(token)
        return [] if request is None else self._retry(now, request)

    def on_attempt_finished(
        self,
        now: float,
        request_id: RequestId,
        number: int,
        outcome: Outcome,
        latency: float,
        *,
        last: bool = False,
    ) -> list[Action]:
        """Learn from an attempt that ended, then retry, answer or wait; `last`: its outcome is the answer."""
        request = self.requests.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return []
        attempt = request.attempts[number]
        if not attempt.is_open:
            return []
        self._close_attempt(now, request, attempt, outcome, latency)
        if request.answered:
            if not request.open_attempts:
                self.requests.pop(request_id, None)
            return []
        if last or outcome is Outcome.SUCCESS:
            request.pool.served_rate.add(now)
            request.pool.breaker.record_accepted(now)
            return self._finish(request)
        return [] if request.open_attempts else self._retry(now, request) or self._answer(now, request)

    def _close_attempt(
        self, now: float, request: RequestState, attempt: AttemptState, outcome: Outcome, latency: float
    ) -> None:
        attempt.is_open = False
        attempt.may_have_run = outcome not in NEVER_RAN
        # An error that took longer than the wait budget speaks of a timeout further down.
        attempt.overloaded = outcome in OVERLOAD_OUTCOMES or latency > request.wait_budget
        request.open_attempts -= 1
        objective, tier_latency = request.request_class.latency_objective, self.statistics.tier_latency
        learned = attempt.target.finish_attempt(now, attempt, outcome, latency, objective, tier_latency)
        if outcome is Outcome.SUCCESS:
            if learned:
                self.statistics.record_attempt(latency)
            if request.class_index >= 0:
                self.statistics.record_answer(request.class_index, latency, request.cost)

    def _retry(self, now: float, request: RequestState) -> list[Action]:
        """Start a further attempt within the rules and the retry budget; no actions if none is started."""
        if request.answered or request.response_started or now >= request.useful_until:
            return []
        within_budget = self.retry_budgets.next_attempt(request.open_attempts).allows(now)
        if not within_budget or len(request.attempts) >= request.limits.max_attempts:
            return []
        return self._dispatch(now, request, request.retry_endpoints(now))

    def on_client_disconnected(self, _now: float, request_id: RequestId) -> list[Action]:
        """Finish the request of a client that has gone; no answer is pending any more."""
        request = self.requests.get(request_id)
        return [] if request is None or request.answered else self._finish(request)

    def _answer(
        self, now: float, request: RequestState, reason: RejectReason = RejectReason.ATTEMPTS_FAILED
    ) -> list[Action]:
        """Give the final answer: rejected where it may be repeated without harm, else failed."""
        # Admission goes by failures from load alone, not by malformed answers or an endpoint's own faults:
        # rejecting work does not cure them. It can do harm: an overloaded tier that fails fast, as proxies
        # that reject make it, shows in the requests pending alone.
        if any(attempt.overloaded for attempt in request.attempts):
            request.pool.breaker.record_failure(now)
        if request.is_safe_to_repeat():
            return [Reject(request.id, self.admission.retry_after(), reason), *self._finish(request)]
        return [Fail(request.id), *self._finish(request)]

    def _finish(self, request: RequestState) -> list[Action]:
        request.answered = True
        request.pool.pending -= 1
        if not request.open_attempts:
            self.requests.pop(request.id, None)
        return [] if request.response_started else request.cancel_open_attempts()

    def reconfigure(self, now: float, settings: Settings) -> list[Action]:
        """Swap all settings in this instant; equal ones change nothing.

        Requests in flight are finished under those that they were admitted with, narrowed to what both allow.
        What was learned of a class or tenant is kept by its name; budgets and endpoints stay what they are.
        Zone and machine type numbers have to mean the same in both. Raises InvalidValueError, with nothing
        changed, where `Settings.check_reload` does not allow the new ones.
        """
        if settings != self.settings:
            self.settings.check_reload(settings)
            self._configure(now, settings)
            self._rebuild_pools(now)
        return []

    def misplaced_attempts(self) -> list[MisplacedAttempt]:
        """Return the open attempts that `reconfigure` has left misplaced; end those that are not sent yet."""
        return [
            MisplacedAttempt(request.id, number)
            for request in self.requests.values()
            for number, attempt in enumerate(request.attempts)
            if attempt.is_open and not request.pool.allows(attempt.target.endpoint)
        ]

    def _configure(self, now: float, settings: Settings) -> None:
        """Hand new settings to each concern; a class or tenant with no name in both starts anew."""
        indices = {request_class.name: index for index, request_class in enumerate(self.settings.classes)}
        previous = [indices.get(request_class.name, -1) for request_class in settings.classes]
        self.tenant_quotas.configure(now, self.settings.tenants, settings)
        self.client_timeouts.configure(settings, previous)
        self.statistics.configure(previous)
        self.admission.configure(settings)
        self.retry_budgets.configure(settings.rules)
        self.slow_start.rules = settings.rules
        self.settings = self.subsetting.settings = self.polling.settings = self.hedging.settings = settings
        indices = {request_class.name: index for index, request_class in enumerate(settings.classes)}
        for request in self.requests.values():
            request.limits = narrow_limits(request.limits, settings.limits)
            request.class_index = index = indices.get(request.request_class.name, -1)
            if index >= 0:  # else its class is gone, and it is finished as it was admitted
                request.request_class = narrow_class(request.request_class, settings.classes[index])
        self.assignment.configure(settings, previous, self.requests.values())
