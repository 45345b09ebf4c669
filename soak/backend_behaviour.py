"""The behaviour of the test backends in a run, as probabilities."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class BackendBehaviour:
    """How backends respond. Each probability applies to every request.

    Attributes:
        work_time: The shortest and the longest processing time in seconds.
        reset_probability: Probability that the connection is reset after the processing time.
        rejection_probability: Probability that the backend rejects the request without executing it.
        error_probability: Probability that the response is a 500.
        close_delimited_probability: Probability of a complete response without a Content-Length.
        truncated_probability: Probability of a response without a Content-Length whose connection is reset
            instead of closed.
        duplicate_response_probability: Probability that the response is sent twice, some milliseconds apart.
        large_body_probability: Probability that the response has a large body.
        hang_probability: Probability that the response is delayed by `hang_time`.
        hang_time: Seconds.
        idle_close_probability: Probability that the connection is closed some milliseconds after the
            response.
    """

    work_time: tuple[float, float] = (0.004, 0.05)
    reset_probability: float = 0.01
    rejection_probability: float = 0.02
    error_probability: float = 0.02
    close_delimited_probability: float = 0.02
    truncated_probability: float = 0.01
    duplicate_response_probability: float = 0.01
    large_body_probability: float = 0.02
    hang_probability: float = 0.01
    hang_time: float = 1.2
    idle_close_probability: float = 0.02
