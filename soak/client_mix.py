"""What the clients of a run do, as probabilities."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ClientMix:
    """What clients do; the probabilities are for each request.

    Attributes:
        rate: Requests per second, over all proxies.
        timeouts: Seconds that clients wait; each request draws one of them.
        disconnect_probability: That the client disconnects before its response, by a close or a reset.
        slow_write_probability: That the request is written in pieces.
        slow_read_probability: That the response is read slowly, through a small buffer.
        pipeline_probability: That several requests are sent without waiting for responses.
        max_pipelined: How many requests are pipelined at most.
        close_probability: That the client asks for its connection to be closed after the response.
        stall_probability: That the client sends a part of a request and then nothing more.
    """

    rate: float = 300.0
    timeouts: tuple[float, ...] = (1.5,)
    disconnect_probability: float = 0.08
    slow_write_probability: float = 0.03
    slow_read_probability: float = 0.03
    pipeline_probability: float = 0.03
    max_pipelined: int = 4
    close_probability: float = 0.03
    stall_probability: float = 0.004
