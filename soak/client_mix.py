"""The behaviour of the clients in a run, as probabilities."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ClientMix:
    """How clients behave. Each probability applies to every request.

    Attributes:
        rate: Requests per second, over all proxies.
        timeouts: Client timeouts in seconds; each request uses one of them, chosen at random.
        disconnect_probability: Probability that the client closes or resets the connection before the
            response.
        slow_write_probability: Probability that the request is written in two pieces.
        slow_read_probability: Probability that the response is read slowly, through a small buffer.
        pipeline_probability: Probability that several requests are sent without waiting for responses.
        max_pipelined: The largest number of requests in a pipeline.
        close_probability: Probability that the client asks for its connection to be closed after the
            response.
        repeat_probability: Probability that a client which disconnected sends its request again, with the
            same id and to the same process.
        stall_probability: Probability that the client sends an incomplete request and then nothing more.
    """

    rate: float = 300.0
    timeouts: tuple[float, ...] = (1.5,)
    disconnect_probability: float = 0.08
    slow_write_probability: float = 0.03
    slow_read_probability: float = 0.03
    pipeline_probability: float = 0.03
    max_pipelined: int = 4
    close_probability: float = 0.03
    repeat_probability: float = 0.0
    stall_probability: float = 0.004
