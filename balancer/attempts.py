"""Requests in flight, and where their retries may go; `attempt_dispatch` starts them."""

from dataclasses import dataclass, field

from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import AttemptState, EndpointState
from balancer.endpoints import Endpoint
from balancer.events import Action, CancelAttempt, RequestId
from balancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass

#: Part of a class's deduplication window in which retries are sent. The rule counts the window from the
#: moment of the first attempt to that of the repeat, and a proxy may be paused for up to 0.15 s between
#: reading its clock and writing (STANDING): what is left of the window covers that. Chosen: a tenth is less
#: than 0.15 s where the window is shorter than 1.5 s.
WINDOW_MARGIN = 0.9


@dataclass(slots=True, eq=False, repr=False)
class RequestState:
    """A request whose final answer is pending, or that has open attempts; later settings only narrow it.

    Attributes:
        id: Its id.
        class_index: Its class in the settings in force; -1 once they no longer have it.
        request_class: Its class, narrowed by all reloads since it was admitted.
        limits: What the deployment permits it, narrowed likewise.
        pool: The endpoints that its attempts may go to.
        wait_budget: Seconds that its class may be expected to wait, as it was admitted.
        deadline: When its client gives up.
        useful_until: When an answer stops being useful, at the latest at `deadline`; no attempt lasts longer.
        cost: The work that it is expected to need, in the unit of its caller.
        attempts: Its attempts, in the order in which they were started.
        open_attempts: How many of them have not ended.
        responded: Whether its final answer has been given.
        response_started: Whether it is bound to one attempt, whose response is being streamed.
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
        """Return the first attempt that may have run, or may be running.

        Args:
            other_than: The number of an attempt to leave out; -1 leaves out none.
        """
        numbered = enumerate(self.attempts)
        return next((attempt for n, attempt in numbered if attempt.may_have_run and n != other_than), None)

    def has_other_open_attempt(self, number: int) -> bool:
        """Whether another attempt than this one is open."""
        return self.open_attempts - self.attempts[number].is_open > 0

    def retry_endpoints(self, now: float) -> list[EndpointState]:
        """Return the endpoints where a retry can not repeat an effect, by the class's idempotency."""
        first = self.first_attempt_that_may_have_run()
        if first is None or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return self.pool.ready
        if not self._is_deduplicated(now, first):
            return []
        scope = self.request_class.deduplication_scope
        if scope is DeduplicationScope.ALL:
            return self.pool.ready
        return self.pool.deduplication_groups.get((scope, _place(first.endpoint, scope)), [])

    def allows_retry(self, now: float, endpoint: Endpoint, number: int) -> bool:
        """Whether an attempt may run at an endpoint now, by what the other attempts may have done.

        This is the rule of `retry_endpoints`, applied to an attempt that was started and is not yet sent.

        Args:
            now: The time.
            endpoint: The attempt's endpoint as it is listed now.
            number: The number of the attempt.
        """
        first = self.first_attempt_that_may_have_run(other_than=number)
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

    def is_safe_to_retry(self) -> bool:
        """Whether the client may repeat the request without harm."""
        idempotency, scope = self.request_class.idempotency, self.request_class.deduplication_scope
        keyed_everywhere = idempotency is Idempotency.KEYED and scope is DeduplicationScope.ALL
        harmless = idempotency is Idempotency.IDEMPOTENT or keyed_everywhere
        return harmless or self.first_attempt_that_may_have_run() is None

    def cancel_open_attempts(self, spared: int = -1) -> list[Action]:
        """Return the cancellations of the open attempts, if the deployment permits any.

        Args:
            spared: The number of an attempt that goes on; -1 spares none.
        """
        numbered = enumerate(self.attempts) if self.limits.cancel else ()
        return [CancelAttempt(self.id, n) for n, attempt in numbered if attempt.is_open and n != spared]


def _place(endpoint: Endpoint, scope: DeduplicationScope) -> int:
    """Return the zone or the cell of an endpoint, whichever the scope is."""
    return endpoint.zone if scope is DeduplicationScope.ZONE else endpoint.cell
