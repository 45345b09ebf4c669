"""How the stand-in backends of a run behave, as probabilities."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class BackendBehaviour:
    """How backends respond; the probabilities are for each request.

    Attributes:
        work_time: The shortest and the longest time of work in seconds.
        reset_probability: That the connection is reset after the work.
        rejection_probability: That the backend responds that it did not execute the request.
        error_probability: That the response is a 500.
        close_delimited_probability: That the response has no Content-Length and is complete.
        truncated_probability: That the response has no Content-Length and the connection is reset within it.
        duplicate_response_probability: That the response is sent twice, some milliseconds apart.
        large_body_probability: That the response is large.
        hang_probability: That the backend does not respond for `hang_time`.
        hang_time: Seconds.
        idle_close_probability: That the connection is closed some milliseconds after the response.
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
