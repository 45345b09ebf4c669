"""Send rejection: why an attempt may no longer be written to its endpoint, asked just before its first byte.

An attempt may wait for a connection after it was decided. What allowed it then may have changed since: this
is the one place that says whether all of it still holds. What follows from a refusal `balancer` decides.
"""

from balancer.attempts import RequestState
from balancer.endpoints import EndpointStatus
from balancer.events import SendRejection


def send_rejection(now: float, request: RequestState, number: int) -> SendRejection | None:
    """Return why an attempt may not be written now; None if it may.

    Args:
        now: The time.
        request: The request, narrowed by all settings since it was admitted.
        number: The attempt, one of the request's.
    """
    attempt = request.attempts[number]
    current = attempt.target.endpoint
    if request.answered or not attempt.is_open:
        return SendRejection.REQUEST_ENDED
    if now >= request.deadline:
        return SendRejection.DEADLINE_PASSED
    if current.status is not EndpointStatus.UP:
        return SendRejection.ENDPOINT_NOT_IN_SERVICE
    if current.started != attempt.endpoint.started:
        return SendRejection.ENDPOINT_RESTARTED
    if not request.pool.allows(current):
        return SendRejection.MISPLACED
    if len(request.attempts) == 1:
        return None
    if request.has_other_open_attempt(number) and not request.limits.hedging:
        return SendRejection.HEDGING_FORBIDDEN
    return None if request.allows_repeat(now, current, number) else SendRejection.REPEAT_FORBIDDEN
