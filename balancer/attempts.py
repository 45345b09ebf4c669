"""Requests in flight, and which endpoints may get their retries; `attempt_dispatch` starts the attempts."""

from dataclasses import dataclass, field

from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import AttemptState, EndpointState
from balancer.endpoints import Endpoint
from balancer.events import Action, CancelAttempt, RequestId
from balancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass

#: Fraction of the deduplication window within which a retry may be written. A proxy may be paused for up to
#: 0.15 s between reading its clock and writing; the last tenth of the window covers that pause. Limitation: a
#: tenth is less than 0.15 s if the window is shorter than 1.5 s.
USABLE_WINDOW_FRACTION = 0.9


@dataclass(slots=True, eq=False, repr=False)
class RequestState:
    """A request whose final response is pending, or that has open attempts.

    Reloads of the settings can only restrict what it may do.

    Attributes:
        id: The id of the request.
        class_index: Its class in the settings in force; -1 if they no longer have the class.
        request_class: Its class as it was admitted, restricted by all reloads since then.
        limits: The limits it was admitted with, restricted in the same way.
        pool: The endpoints that its attempts may go to.
        wait_budget: The longest expected wait in seconds at which its class was admitted when it arrived.
        deadline: When its client gives up, in seconds.
        useful_until: When a response stops being useful, at most `deadline`; no attempt lasts longer.
        cost: The work that it is expected to need, in a unit that all requests share.
        attempts: Its attempts, in the order in which they were started.
        open_attempts: The number of attempts that have not ended.
        responded: Whether its final response has been given.
        response_started: Whether it is bound to one attempt because the response is being streamed.
    """

    id: RequestId
    class_index: int
    request_class: RequestClass
    limits: Limits
    pool: EndpointPool
    wait_budget: float
    deadline: float
    useful_until: float
    cost: float
    attempts: list[AttemptState] = field(default_factory=list)
    open_attempts: int = 0
    responded: bool = False
    response_started: bool = False

    def first_attempt_that_may_have_run(self, other_than: int = -1) -> AttemptState | None:
        """Return the first attempt that may have been executed, or may still be running.

        Args:
            other_than: The number of an attempt to leave out; -1 leaves out none.
        """
        numbered = enumerate(self.attempts)
        return next((attempt for n, attempt in numbered if attempt.may_have_run and n != other_than), None)

    def has_other_open_attempt(self, number: int) -> bool:
        """Whether an attempt other than this one is open."""
        return self.open_attempts - self.attempts[number].is_open > 0

    def retry_endpoints(self, now: float) -> list[EndpointState]:
        """Return the endpoints where a retry cannot cause an effect twice, by the class's idempotency."""
        first = self.first_attempt_that_may_have_run()
        if first is None or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return self.pool.ready
        if not self._is_deduplicated(now, first):
            return []
        scope = self.request_class.deduplication_scope
        if scope is DeduplicationScope.ALL:
            return self.pool.ready
        return self.pool.deduplication_groups.get((scope, _zone_or_cell(first.endpoint, scope)), [])

    def allows_retry(self, now: float, endpoint: Endpoint, number: int) -> bool:
        """Whether an attempt may be executed at an endpoint now, although others may have been executed.

        This applies the rule of `retry_endpoints` to an attempt that was started and not yet sent.

        Args:
            now: The time in seconds.
            endpoint: The endpoint of the attempt as it is listed now.
            number: The number of the attempt.
        """
        first = self.first_attempt_that_may_have_run(other_than=number)
        if first is None or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        scope = self.request_class.deduplication_scope
        in_scope = scope is DeduplicationScope.ALL or (
            _zone_or_cell(endpoint, scope) == _zone_or_cell(first.endpoint, scope)
        )
        return in_scope and self._is_deduplicated(now, first)

    def _is_deduplicated(self, now: float, first: AttemptState) -> bool:
        """Whether the endpoints of the scope still discard a duplicate of this first attempt."""
        window = USABLE_WINDOW_FRACTION * self.request_class.deduplication_window
        is_keyed = self.request_class.idempotency is Idempotency.KEYED
        return is_keyed and now - first.started_at < window

    def is_safe_to_retry(self) -> bool:
        """Whether the client may retry the request without the risk of a second execution."""
        idempotency, scope = self.request_class.idempotency, self.request_class.deduplication_scope
        keyed_everywhere = idempotency is Idempotency.KEYED and scope is DeduplicationScope.ALL
        duplicates_are_harmless = idempotency is Idempotency.IDEMPOTENT or keyed_everywhere
        return duplicates_are_harmless or self.first_attempt_that_may_have_run() is None

    def cancel_open_attempts(self, excluded: int = -1) -> list[Action]:
        """Return the cancellations of the open attempts; none if the limits forbid cancellation.

        Args:
            excluded: The number of an attempt that is not cancelled; -1 excludes none.
        """
        numbered = enumerate(self.attempts) if self.limits.cancel else ()
        return [CancelAttempt(self.id, n) for n, attempt in numbered if attempt.is_open and n != excluded]


def _zone_or_cell(endpoint: Endpoint, scope: DeduplicationScope) -> int:
    """Return the zone of an endpoint for the scope ZONE, its cell for the scope CELL."""
    return endpoint.zone if scope is DeduplicationScope.ZONE else endpoint.cell
