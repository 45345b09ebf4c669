"""Send rejection: why an attempt may no longer be written to its endpoint, checked before its first byte.

After it was started, an attempt may wait for a connection, and the conditions that allowed it may change.
This module checks them again. Without this check, a retry that had waited for its connection was executed
after its deduplication window, or after a reload that forbade it (see docs/postmortems.md, "A retry was
allowed when it was decided, and no longer when it was sent").
"""

from balancer.attempts import RequestState
from balancer.endpoint_state import AttemptState
from balancer.endpoints import EndpointStatus
from balancer.events import SendRejection


def send_rejection(now: float, request: RequestState, number: int) -> SendRejection | None:
    """Return why an attempt may not be written now; None if it may.

    Args:
        now: The time in seconds.
        request: The request, restricted by all reloads since it was admitted.
        number: The number of the attempt among those of the request.
    """
    attempt = request.attempts[number]
    if request.responded or not attempt.is_open:
        return SendRejection.REQUEST_ENDED
    if now >= request.deadline:
        return SendRejection.DEADLINE_PASSED
    rejection = _endpoint_rejection(request, attempt)
    if rejection is not None or len(request.attempts) == 1:
        return rejection
    if request.has_other_open_attempt(number) and not request.limits.hedging:
        return SendRejection.HEDGING_FORBIDDEN
    may_retry = request.allows_retry(now, attempt.target.endpoint, number)
    return None if may_retry else SendRejection.REPEAT_FORBIDDEN


def _endpoint_rejection(request: RequestState, attempt: AttemptState) -> SendRejection | None:
    """Return why an attempt may not go to its endpoint as it is listed now; None if it may."""
    current = attempt.target.endpoint
    if current.status is not EndpointStatus.UP:
        return SendRejection.ENDPOINT_NOT_IN_SERVICE
    if current.started != attempt.endpoint.started:
        return SendRejection.ENDPOINT_RESTARTED
    if not request.pool.allows(current):
        return SendRejection.MISPLACED
    return None
