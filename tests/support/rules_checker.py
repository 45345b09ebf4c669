"""Checks the balancer's rules: sends valid events to a balancer, and asserts on each of its actions.

The rules, in the order of the checks:
- A request gets one final response, by its deadline.
- Attempts go to endpoints that are up and allowed for the request's class.
- Attempts, hedged requests and cancellations stay within the limits.
- Retries stay within a stated retry budget.
- A request that may have run is repeated only as far as its class allows.
- A request is rejected only if its client may repeat it safely.

`RulesChecker` keeps its own record of events and actions, and reads no state of the balancer. `test_rules.py`
runs random sequences of events, and verifies that the checker detects faulty balancers.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import (
    NOT_EXECUTED_OUTCOMES,
    Action,
    CancelAttempt,
    Fail,
    IncomingRequest,
    Outcome,
    PollEndpoints,
    Reject,
    SetTimer,
    StartAttempt,
)
from balancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass, Settings

START_TIME = 100.0  # seconds on the checker's clock
TIMER_RESOLUTION = 1e-6  # seconds; the shortest delay after which a timer fires


@dataclass
class CheckedAttempt:
    """An attempt as the checker records it.

    Attributes:
        endpoint: The endpoint's entry in the list when the attempt was started.
        started_at: When it was started, in seconds.
        ends_by: When it times out, in seconds.
        outcome: How it ended; None while it is open.
    """

    endpoint: Endpoint
    started_at: float
    ends_by: float
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have done the work."""
        return self.outcome is None or self.outcome not in NOT_EXECUTED_OUTCOMES


@dataclass
class CheckedRequest:
    """A request as the checker records it.

    Attributes:
        class_index: Its class when it was admitted.
        deadline: When its client gives up, in seconds.
        classes: Its class in all settings since it was admitted, the earliest first.
        limits: The limits in all settings since it was admitted.
        attempts: Its attempts, in the order in which they were started.
        final_responses: The number of its final responses; a disconnect of its client counts as one.
        responded: Whether it has had its final response.
        response_started: Whether its response is being streamed.
    """

    class_index: int
    deadline: float
    classes: list[RequestClass]
    limits: list[Limits]
    attempts: list[CheckedAttempt] = field(default_factory=list)
    final_responses: int = 0
    responded: bool = False
    response_started: bool = False


class RulesChecker:
    """Sends events to one balancer, and raises AssertionError where an action breaks a rule.

    Time passes only in `advance`, which ends attempts at their timeouts and fires the timers that are due.

    Attributes:
        settings: The settings in force.
        balancer: The balancer under test.
        now: The time in seconds.
        endpoints: The endpoint list as last delivered, by id.
        requests: All requests, by id.
        timers: The time and the token of each timer that is set.
        start_times_by_endpoint: When attempts were started at each endpoint, by endpoint id.
        poll_count: The number of polls of discovery.
        request_times: When the requests were sent.
        retry_times: When retries and hedged requests were started.
    """

    def __init__(self, settings: Settings, seed: int, endpoints: list[Endpoint]) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = START_TIME
        self.endpoints: dict[int, Endpoint] = {}
        self.requests: dict[str, CheckedRequest] = {}
        self.timers: list[tuple[float, int]] = []
        self.start_times_by_endpoint: dict[int, list[float]] = {}
        self.poll_count = 0
        self.request_times: list[float] = []
        self.retry_times: list[float] = []
        self.update_endpoints(UpdateKind.CACHED, endpoints)
        self.check(self.balancer.start(self.now))

    # ---- events --------------------------------------------------------------------------

    def update_endpoints(self, kind: UpdateKind, endpoints: list[Endpoint]) -> None:
        """Deliver an endpoint list or a change to it."""
        if kind in (UpdateKind.CACHED, UpdateKind.SNAPSHOT):
            self.endpoints = {endpoint.id: endpoint for endpoint in endpoints}
        elif kind is UpdateKind.DELTA:
            self.endpoints.update({endpoint.id: endpoint for endpoint in endpoints})
        self.check(self.balancer.on_endpoints_updated(self.now, kind, endpoints))

    def request(self, class_index: int, time_left: float, tenant: int = 0) -> str:
        """Send a new request, and return its id."""
        self.request_times.append(self.now)
        request_id = f"r{len(self.request_times)}"
        deadline = self.now + time_left
        self.requests[request_id] = CheckedRequest(
            class_index, deadline, [self.settings.classes[class_index]], [self.settings.limits]
        )
        self.check(
            self.balancer.on_request(
                self.now,
                IncomingRequest(request_id, class_index=class_index, tenant=tenant, deadline=deadline),
            )
        )
        return request_id

    def reconfigure(self, settings: Settings) -> None:
        """Replace the settings; the rules of the old ones still apply to earlier requests."""
        self.settings = settings
        classes_by_name = {request_class.name: request_class for request_class in settings.classes}
        for request in self.requests.values():
            request.limits.append(settings.limits)
            if request.classes[0].name in classes_by_name:
                request.classes.append(classes_by_name[request.classes[0].name])
        self.check(self.balancer.reconfigure(self.now, settings))

    def open_attempts(self) -> list[tuple[str, int]]:
        """Return the request id and the number of each open attempt."""
        return [
            (request_id, number)
            for request_id, request in self.requests.items()
            for number, attempt in enumerate(request.attempts)
            if attempt.outcome is None
        ]

    def finish_attempt(self, request_id: str, number: int, outcome: Outcome) -> list[Action]:
        """End an attempt and return the actions; a success or the end of a started response is final."""
        request = self.requests[request_id]
        attempt = request.attempts[number]
        attempt.outcome = outcome
        if (outcome is Outcome.SUCCESS or request.response_started) and not request.responded:
            request.final_responses += 1
            request.responded = True
        latency = self.now - attempt.started_at
        actions = self.balancer.on_attempt_finished(
            self.now, request_id, number, outcome, latency, last=request.responded
        )
        self.check(actions)
        return actions

    def disconnect(self, request_id: str) -> None:
        """Disconnect the client of a request, which then needs no response."""
        request = self.requests[request_id]
        if not request.responded:
            request.responded = True
            request.final_responses += 1
        self.check(self.balancer.on_client_disconnected(self.now, request_id))

    def start_response(self, request_id: str, number: int) -> None:
        """Start to stream the response of one attempt; it has no deadline."""
        request = self.requests[request_id]
        self.check(self.balancer.on_response_started(self.now, request_id, number))
        request.response_started = True
        request.attempts[number].ends_by = request.deadline = float("inf")

    def advance(self, seconds: float) -> None:
        """Advance the clock, and process the timeouts and timers that become due."""
        target = self.now + seconds
        while due := [event for event in self._due_events() if event[0] <= target]:
            at, is_timer, request_id, number = min(due)
            self.now = max(self.now, at)
            if is_timer:
                self.timers.remove((at, number))
                self.check(self.balancer.on_timer(self.now, number))
            else:
                self.finish_attempt(request_id, number, Outcome.TIMEOUT)
        self.now = target
        for request_id, request in self.requests.items():
            if self.now > request.deadline + self.settings.rules.response_grace:
                assert request.final_responses == 1, (
                    f"{request_id} has {request.final_responses} final responses after its deadline"
                )

    def _due_events(self) -> list[tuple[float, int, str, int]]:
        """Return the timeouts (0) with their request and attempt, and the timers (1) with their token."""
        timeouts = [
            (self.requests[request_id].attempts[number].ends_by, 0, request_id, number)
            for request_id, number in self.open_attempts()
        ]
        return timeouts + [(at, 1, "", token) for at, token in self.timers]

    # ---- checks --------------------------------------------------------------------------

    def check(self, actions: list[Action]) -> None:
        """Check the actions that the balancer has returned, and record their effects."""
        for action in actions:
            if isinstance(action, SetTimer):
                assert action.at >= self.now
                self.timers.append((max(action.at, self.now + TIMER_RESOLUTION), action.token))
            elif isinstance(action, PollEndpoints):
                self.poll_count += 1
            elif isinstance(action, StartAttempt):
                self._check_start(action)
            elif isinstance(action, CancelAttempt):
                self._check_cancel(action)
            else:
                self._check_final_response(action)

    def _check_start(self, action: StartAttempt) -> None:
        """Check that an attempt may be started, and record it."""
        request = self.requests[action.request]
        assert not request.responded, "sent after the final response"
        assert not request.response_started, "sent after its response started"
        endpoint = self.endpoints[action.endpoint]
        assert endpoint.status is EndpointStatus.UP, "sent to an endpoint that drains or is removed"
        for limits in request.limits:
            assert len(request.attempts) < limits.max_attempts
            if any(attempt.outcome is None for attempt in request.attempts):
                assert limits.hedging, "a hedged request is not permitted"
        for request_class in request.classes:
            self._check_endpoint(request, request_class, endpoint)
        if request.attempts:
            self._check_retry_budget()
        ends_by = request.deadline
        if action.timeout > 0.0:
            ends_by = min(ends_by, self.now + action.timeout)
        request.attempts.append(CheckedAttempt(replace(endpoint), self.now, ends_by))
        self.start_times_by_endpoint.setdefault(action.endpoint, []).append(self.now)

    def _check_retry_budget(self) -> None:
        """Record a retry, and check it against the stated budget."""
        self.retry_times.append(self.now)
        rules = self.settings.rules
        if not rules.retry_budget_window:
            return
        since = self.now - rules.retry_budget_window
        requests = sum(at > since for at in self.request_times)
        allowed = rules.retry_budget_floor + rules.retry_budget_ratio * requests
        assert sum(at >= since for at in self.retry_times) <= allowed, "beyond the retry budget"

    def _check_endpoint(
        self, request: CheckedRequest, request_class: RequestClass, endpoint: Endpoint
    ) -> None:
        """Check that a class allows an attempt of a request at an endpoint, including as a repetition."""
        for allowed, actual in (
            (request_class.allowed_machine_types, endpoint.machine_type),
            (request_class.allowed_zones, endpoint.zone),
        ):
            assert allowed is None or actual in allowed, "sent to an endpoint that is not open to its class"
        possible_runs = [attempt for attempt in request.attempts if attempt.may_have_run]
        if not possible_runs or request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        assert request_class.idempotency is Idempotency.KEYED, "a non-idempotent request was sent twice"
        age = self.now - min(attempt.started_at for attempt in possible_runs)
        assert age <= request_class.deduplication_window, "repeated after its window"
        for attempt in possible_runs:
            if request_class.deduplication_scope is DeduplicationScope.ZONE:
                assert attempt.endpoint.zone == endpoint.zone, "repeated in another zone"
            if request_class.deduplication_scope is DeduplicationScope.CELL:
                assert attempt.endpoint.cell == endpoint.cell, "repeated in another cell"

    def _check_cancel(self, action: CancelAttempt) -> None:
        """Check that an attempt may be cancelled, and end it immediately."""
        request = self.requests[action.request]
        assert all(limits.cancel for limits in request.limits), "cancel is not permitted"
        attempt = request.attempts[action.attempt]
        assert attempt.outcome is None, "cancelled an attempt that had ended"
        attempt.ends_by = self.now  # it may end with another outcome that was already under way

    def _check_final_response(self, action: Reject | Fail) -> None:
        """Check that a request may be rejected or failed, and record it."""
        request = self.requests[action.request]
        assert not request.responded, "a second final response"
        if isinstance(action, Reject):
            for request_class in request.classes:
                assert _is_safe_to_repeat(request, request_class), "rejected although it may have run"
        request.responded = True
        request.final_responses += 1


def _is_safe_to_repeat(request: CheckedRequest, request_class: RequestClass) -> bool:
    """Whether the client may repeat the request without repeating its effect."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    keyed = request_class.idempotency is Idempotency.KEYED
    if keyed and request_class.deduplication_scope is DeduplicationScope.ALL:
        return True
    return not any(attempt.may_have_run for attempt in request.attempts)
