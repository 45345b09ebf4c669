"""Requests in flight, and where their retries may go; whether one is started is decided in `balancer`."""

from dataclasses import dataclass, field

from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import AttemptState, EndpointState
from balancer.endpoints import Endpoint
from balancer.events import Action, CancelAttempt, RequestId
from balancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass

WINDOW_MARGIN = 0.9  # the part of a keyed class's deduplication window in which retries are sent


@dataclass(slots=True, eq=False, repr=False)
class RequestState:
    """A request whose final answer is pending, or that has open attempts; later settings only narrow it."""

    id: RequestId
    class_index: int  # in the settings in force; -1 once they no longer have its class
    request_class: RequestClass
    limits: Limits
    pool: EndpointPool
    wait_budget: float
    deadline: float
    useful_until: float  # no attempt is waited for longer than this
    cost: float = 1.0  # the work that is expected of it
    attempts: list[AttemptState] = field(default_factory=list)
    open_attempts: int = 0
    answered: bool = False
    response_started: bool = False  # of a stream: the request belongs to one attempt

    def first_possible_run(self, other_than: int = -1) -> AttemptState | None:
        """Return the first attempt that may have run, or may be running; one of them can be left out."""
        numbered = enumerate(self.attempts)
        return next((attempt for n, attempt in numbered if attempt.may_have_run and n != other_than), None)

    def has_other_open_attempt(self, number: int) -> bool:
        """Whether another attempt than this one is open."""
        return self.open_attempts - self.attempts[number].is_open > 0

    def retry_endpoints(self, now: float) -> list[EndpointState]:
        """Return where a retry may go by the rules, which keep an effect from being done twice."""
        first = self.first_possible_run()
        if first is None or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return self.pool.ready
        if not self._is_deduplicated(now, first):
            return []
        scope = self.request_class.deduplication_scope
        if scope is DeduplicationScope.ALL:
            return self.pool.ready
        return self.pool.deduplication_groups.get((scope, _place(first.endpoint, scope)), [])

    def allows_repeat(self, now: float, endpoint: Endpoint, number: int) -> bool:
        """Whether an attempt may run at an endpoint now, by what the others may have done.

        It says the same as `retry_endpoints`, of an attempt that was started there and is still to be sent.
        """
        first = self.first_possible_run(other_than=number)
        if first is None or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        scope = self.request_class.deduplication_scope
        in_scope = scope is DeduplicationScope.ALL or _place(endpoint, scope) == _place(first.endpoint, scope)
        return in_scope and self._is_deduplicated(now, first)

    def _is_deduplicated(self, now: float, first: AttemptState) -> bool:
        """Whether endpoints of the scope still discard a repeat of what this first attempt may have done."""
        window = WINDOW_MARGIN * self.request_class.deduplication_window
        is_keyed = self.request_class.idempotency is Idempotency.KEYED
        return is_keyed and now - first.started_at < window

    def is_safe_to_repeat(self) -> bool:
        """Whether the client may repeat the request without harm, whatever its attempts have done."""
        idempotency, scope = self.request_class.idempotency, self.request_class.deduplication_scope
        keyed_everywhere = idempotency is Idempotency.KEYED and scope is DeduplicationScope.ALL
        harmless = idempotency is Idempotency.IDEMPOTENT or keyed_everywhere
        return harmless or self.first_possible_run() is None

    def cancel_open_attempts(self, spared: int = -1) -> list[Action]:
        """Return the cancellations of all open attempts but the spared one, where they are permitted."""
        numbered = enumerate(self.attempts) if self.limits.cancel else ()
        return [CancelAttempt(self.id, n) for n, attempt in numbered if attempt.is_open and n != spared]


def _place(endpoint: Endpoint, scope: DeduplicationScope) -> int:
    """Return the zone or cell whose endpoints discard each other's repeats."""
    return endpoint.zone if scope is DeduplicationScope.ZONE else endpoint.cell
