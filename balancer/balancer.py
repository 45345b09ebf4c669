"""The balancer of one proxy instance: the path of a request from its arrival to its final response.

The types of its interface are in balancer/settings.py, endpoints.py and events.py. This module defines the
order of the steps. Each step is implemented in its own module; `reconfiguration` replaces the settings of a
running balancer. The balancer does no I/O: its methods take the current time and return the actions to carry
out. All randomness comes from one generator with a given seed.
"""

from collections.abc import Sequence
from dataclasses import replace
from random import Random

from balancer.admission_control import AdmissionControl
from balancer.attempt_dispatch import AttemptDispatch
from balancer.attempts import RequestState
from balancer.client_timeouts import ClientTimeouts
from balancer.discovery_polling import POLL_TOKEN, DiscoveryPolling
from balancer.endpoint_list import EndpointList
from balancer.endpoint_selection import EndpointSelection
from balancer.endpoint_state import AttemptState
from balancer.endpoints import Endpoint, UpdateKind
from balancer.errors import InvalidValueError
from balancer.events import (
    NOT_EXECUTED_OUTCOMES,
    Action,
    Fail,
    IncomingRequest,
    MisplacedAttempt,
    Outcome,
    Reject,
    RejectReason,
    RequestId,
    SendRejection,
)
from balancer.hedging import Hedging
from balancer.latency_statistics import LatencyStatistics
from balancer.pool_assignment import PoolAssignment
from balancer.reconfiguration import Reconfiguration
from balancer.retry_budget import RetryBudgets
from balancer.send_rejection import send_rejection
from balancer.settings import Settings
from balancer.slow_start import SlowStart
from balancer.subsetting import Subsetting, ready_ring
from balancer.tenant_quota import TenantQuotas

#: Outcomes that indicate an overload of the endpoints.
OVERLOAD_OUTCOMES = frozenset({Outcome.OVERLOADED, Outcome.TIMEOUT, Outcome.UNREACHABLE})

DEFAULT_COST = 1.0  # cost of a request whose client states none, in the unit of the stated costs


class Balancer:
    """The balancer of one instance; the method for each event returns the actions to carry out, in order.

    Times are in seconds on the caller's clock.

    Attributes:
        settings: The settings in force.
        requests: The requests whose final response is pending, or that have open attempts, by their ids.
        rng: The only source of randomness; the order of the draws from it is part of the behaviour.
        endpoints: The endpoint list as discovery last sent it.
        assignment: The endpoint pools, and which pool each class uses.
        statistics: The measured latencies.
    """

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
        selection = EndpointSelection(self.rng, self.statistics, self.slow_start, self.assignment)
        self.dispatch = AttemptDispatch(self.rng, selection, self.retry_budgets, self.hedging)
        self.endpoints = EndpointList(self.slow_start)
        self._reconfiguration = Reconfiguration(
            requests=self.requests,
            assignment=self.assignment,
            tenant_quotas=self.tenant_quotas,
            client_timeouts=self.client_timeouts,
            statistics=self.statistics,
            admission=self.admission,
            retry_budgets=self.retry_budgets,
            slow_start=self.slow_start,
            subsetting=self.subsetting,
            polling=self.polling,
            hedging=self.hedging,
        )
        self.settings = settings
        self._reconfiguration.apply(0.0, replace(settings, classes=(), tenants=()), settings)

    # ---- endpoints and settings ----------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Start polling discovery if the settings require it; call this once, after the first list."""
        return self.polling.start(now)

    def on_endpoints_updated(
        self, now: float, kind: UpdateKind, endpoints: Sequence[Endpoint]
    ) -> list[Action]:
        """Apply an endpoint list or a change to it, or handle a failed poll (see `UpdateKind`)."""
        if kind is UpdateKind.FAILED:
            return self.polling.on_failure(now)
        if kind is not UpdateKind.CACHED:
            self.polling.reset_backoff()
        self.endpoints.update(now, kind, endpoints)
        self.rebuild_pools(now)
        return []

    def rebuild_pools(self, now: float) -> None:
        """Rebuild the pools' lists of ready endpoints; draining and removed endpoints leave them at once."""
        ready = ready_ring(self.endpoints.states)
        for pool in self.assignment.pools:
            pool.set_ready(ready)
        self.subsetting.resize(now, self.assignment.pools)

    def reconfigure(self, now: float, settings: Settings) -> list[Action]:
        """Replace all settings at once; equal settings change nothing.

        Requests in flight keep the settings that they were admitted with, restricted to what the new ones
        also allow (see `reconfiguration`). The learned state of a class or tenant follows its name. Retry
        budgets still count earlier retries. Endpoints and their breakers do not change. Zone and machine type
        indices must have the same meaning in both settings.

        Raises:
            InvalidValueError: `Settings.check_reload` rejects the new settings; nothing has changed.
        """
        if settings != self.settings:
            self.settings.check_reload(settings)
            previous, self.settings = self.settings, settings
            self._reconfiguration.apply(now, previous, settings)
            self.rebuild_pools(now)
        return []

    def misplaced_attempts(self) -> list[MisplacedAttempt]:
        """Return the open attempts at endpoints that are now forbidden; the caller ends the unsent ones."""
        return self._reconfiguration.misplaced_attempts()

    # ---- the path of a request -----------------------------------------------------------

    def on_request(self, now: float, incoming: IncomingRequest) -> list[Action]:
        """Admit or reject a new request; from now on exactly one final response is pending.

        Raises:
            InvalidValueError: A field of the request is invalid; nothing has changed.
        """
        request_id, class_index, deadline = incoming.request_id, incoming.class_index, incoming.deadline
        self.settings.check_request(incoming)
        if request_id in self.requests:
            raise InvalidValueError(field="request_id", problem=f"{request_id!r} is already open")
        request_class, limits = self.settings.classes[class_index], self.settings.limits
        if deadline is None:
            deadline = now + request_class.deadline
        useful_until = self.client_timeouts.useful_until(
            now, class_index, deadline, is_retry=incoming.is_retry
        )
        pool, wait_budget = self.assignment.by_class[class_index], self.admission.wait_budgets[class_index]
        cost = incoming.cost or DEFAULT_COST
        request = RequestState(
            request_id, class_index, request_class, limits, pool, wait_budget, deadline, useful_until, cost
        )
        self.requests[request_id] = request
        self.retry_budgets.record_request(now)
        pool.record_request(now)
        if now >= self.subsetting.resize_at:
            self.subsetting.resize(now, self.assignment.pools)
        rejection = self._rejection(now, request, incoming.tenant)
        if rejection is not None:
            return self._respond(now, request, rejection)
        # If no endpoint of the subset can be used, all ready endpoints may be, except warming ones: the
        # instances that have a warming endpoint in their subset already use all of its capacity.
        start = self.dispatch.start
        actions = start(now, request, pool.subset) or start(now, request, pool.ready)
        return actions or self._respond(now, request, RejectReason.NO_ENDPOINT)

    def _rejection(self, now: float, request: RequestState, tenant: int) -> RejectReason | None:
        """Return why a request is rejected; None to admit it.

        A request is rejected with NO_TIME if work of its cost needs more time than it has left.
        """
        in_time = now + self.statistics.min_latency(request.cost) < request.useful_until
        if not in_time:
            self.statistics.record_rejection()
        within_quota = self.tenant_quotas.take_token(now, tenant)
        if not in_time:
            return RejectReason.NO_TIME
        return self.admission.rejection(now, request.pool, request.class_index, is_within_quota=within_quota)

    def send_rejection(
        self, now: float, request_id: RequestId, number: int, *, client_disconnected: bool = False
    ) -> SendRejection | None:
        """Return why an attempt may not be written to its endpoint now; None if it may.

        The caller asks just before it writes the first byte, after the attempt has waited for a connection,
        and reports a rejected attempt as finished with `Outcome.NOT_SENT`. The attempts of a request are
        numbered from 0.
        """
        if client_disconnected:
            return SendRejection.CLIENT_DISCONNECTED
        request = self.requests.get(request_id)
        return SendRejection.REQUEST_ENDED if request is None else send_rejection(now, request, number)

    def on_response_started(self, _now: float, request_id: RequestId, number: int) -> list[Action]:
        """Bind a request to the attempt whose streamed response has started; cancel its other attempts."""
        request = self.requests.get(request_id)
        if request is None or request.responded:
            return []
        request.response_started = True
        return request.cancel_open_attempts(number)

    def on_timer(self, now: float, token: int) -> list[Action]:
        """Poll discovery or hedge a request when its timer fires; outdated timers are ignored."""
        if token == POLL_TOKEN:
            return self.polling.on_timer()
        request = self.hedging.request_to_hedge(token)
        return [] if request is None else self.dispatch.retry(now, request)

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
        """Record the end of an attempt, then retry, respond, or wait for the other attempts.

        The end of an unknown attempt is ignored. `latency` is how long the attempt was open, in seconds.
        `last` is whether the request is over, because of this outcome or something earlier.
        """
        request = self.requests.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return []
        attempt = request.attempts[number]
        if not attempt.is_open:
            return []
        self._close_attempt(now, request, attempt, outcome, latency)
        if request.responded:
            if not request.open_attempts:
                self.requests.pop(request_id, None)
            return []
        if last or outcome is Outcome.SUCCESS:
            request.pool.served_rate.add(now)
            request.pool.breaker.record_accepted(now)
            return self._finish(request)
        if request.open_attempts:
            return []
        return self.dispatch.retry(now, request) or self._respond(now, request)

    def _close_attempt(
        self, now: float, request: RequestState, attempt: AttemptState, outcome: Outcome, latency: float
    ) -> None:
        attempt.is_open = False
        attempt.may_have_run = outcome not in NOT_EXECUTED_OUTCOMES
        # An error after more than the wait budget indicates a timeout at a lower tier.
        attempt.indicates_overload = outcome in OVERLOAD_OUTCOMES or latency > request.wait_budget
        request.open_attempts -= 1
        objective, tier_latency = request.request_class.latency_objective, self.statistics.tier_latency
        is_sample = attempt.target.finish_attempt(now, attempt, outcome, latency, objective, tier_latency)
        if outcome is Outcome.SUCCESS:
            if is_sample:
                self.statistics.record_attempt(latency)
            if request.class_index >= 0:
                self.statistics.record_response(request.class_index, latency, request.cost)

    def on_client_disconnected(self, _now: float, request_id: RequestId) -> list[Action]:
        """Finish the request of a client that has disconnected; no response is pending any more."""
        request = self.requests.get(request_id)
        return [] if request is None or request.responded else self._finish(request)

    def _respond(
        self, now: float, request: RequestState, reason: RejectReason = RejectReason.ATTEMPTS_FAILED
    ) -> list[Action]:
        """Give the final response: rejected if the client may safely retry the request, otherwise failed."""
        # Only failures caused by load reduce admission: rejecting work does not help against malformed
        # responses or faults of one endpoint. Limitation: the errors of an overloaded tier that fails fast,
        # for example because its own proxies reject requests, do not count; such an overload shows only in
        # the number of pending requests.
        if any(attempt.indicates_overload for attempt in request.attempts):
            request.pool.breaker.record_failure(now)
        if request.is_safe_to_retry():
            return [Reject(request.id, self.admission.retry_after(), reason), *self._finish(request)]
        return [Fail(request.id), *self._finish(request)]

    def _finish(self, request: RequestState) -> list[Action]:
        """Mark a request as responded to; cancel its open attempts unless a response is being streamed."""
        request.responded = True
        request.pool.pending -= 1
        if not request.open_attempts:
            self.requests.pop(request.id, None)
        return [] if request.response_started else request.cancel_open_attempts()
