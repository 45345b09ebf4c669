"""The input of one client's connection: received bytes become requests that wait for their turn.

It owns the parser, the queue of requests, the limits on both, and the connection's part of the memory that
all connections share. When a request's turn comes, and what happens to it, is up to `connection`.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from proxy.downstream.errors import HttpError
from proxy.downstream.request_parser import RequestParser
from proxy.downstream.request_queue import RequestQueue

if TYPE_CHECKING:
    from proxy.downstream.request_parser import ClientRequest

MAX_PIPELINED_REQUESTS = 8  # requests that may wait behind another one: clients send one at a time
MAX_DISCARDED_BYTES = 64 << 20  # bytes discarded after a rejection before the connection is aborted


class SharedMemory(Protocol):
    """The memory that all connections of a listener share.

    Attributes:
        read_buffer: The buffer that every connection reads into; its content is valid during one callback.
        buffered_bytes: Bytes of incomplete bodies, and of requests that wait behind another one.
        max_buffered_bytes: The limit on that.
    """

    read_buffer: memoryview
    buffered_bytes: int
    max_buffered_bytes: int


class ConnectionInput:
    """Parses and queues the requests of one connection, within its limits.

    Attributes:
        parser: Parses received bytes; it knows whether a request is incomplete.
        queue: The requests that wait for their turn, and behind them the error that ends the input, if any.
        ended: Whether a rejection is queued or written: what the client still sends is discarded.
    """

    __slots__ = ("_buffered_bytes", "_discarded_bytes", "_memory", "ended", "parser", "queue")

    def __init__(self, memory: SharedMemory) -> None:
        self.queue = RequestQueue()
        self.parser = RequestParser(self.queue.append)
        self.ended = False
        self._memory = memory
        self._discarded_bytes = 0
        self._buffered_bytes = 0  # this connection's part of the memory's `buffered_bytes`

    def feed(self, nbytes: int, now: float, *, must_wait: bool) -> None:
        """Parse received bytes, and queue the requests that are complete.

        Args:
            nbytes: How many bytes the shared buffer contains.
            now: The event loop's time.
            must_wait: Whether a complete request has to wait for an earlier one or its response.
        """
        parser = self.parser
        parser.feed(self._memory.read_buffer[:nbytes], now)
        self._enforce_limits(must_wait=must_wait)
        if parser.error is not None:
            self.ended = True
            self.queue.append(parser.error)
            self._account_for(self._waiting_bytes())

    def discard(self, nbytes: int) -> bool:
        """Discard bytes received after a rejection; return whether their limit is exceeded.

        Closing a connection with unread bytes would reset it, and the client would lose the response. A
        client that never stops sending must not keep a core busy, so the total is limited.
        """
        self._discarded_bytes += nbytes
        return self._discarded_bytes > MAX_DISCARDED_BYTES

    def pop(self) -> ClientRequest | HttpError:
        """Remove and return the first request of the queue, or the error that ends the input."""
        item = self.queue.pop()
        if self._buffered_bytes:
            self._account_for(self._waiting_bytes())
        return item

    def end(self, error: HttpError) -> list[HttpError]:
        """End the input because of an error, and release its memory.

        Args:
            error: The answer to the request whose turn it is.

        Returns:
            The answers to all requests that have been received, in order.
        """
        self.ended = True
        rejections = self.queue.reject_all(error)
        self._account_for(0)
        return rejections

    def close(self) -> None:
        """Release the memory of requests and the parser's resources; the connection is closed."""
        self.queue.clear()
        self._account_for(0)
        self.parser.close()

    def _enforce_limits(self, *, must_wait: bool) -> None:
        """End the input if it takes too much memory or contains too many requests.

        Many incomplete bodies, and many requests that wait behind another one, would together exceed the
        memory limit; a flood of requests on one connection would do so alone, and overload backends.
        """
        parser, memory, queue = self.parser, self._memory, self.queue
        buffered = self._waiting_bytes() if must_wait else parser.buffered_bytes()
        self._account_for(buffered)
        if buffered and memory.buffered_bytes > memory.max_buffered_bytes:
            parser.error = HttpError(HTTPStatus.SERVICE_UNAVAILABLE, "too many bodies at once")
            if must_wait:
                queue.drop_requests(has_incomplete=parser.reading)
        if len(queue) > MAX_PIPELINED_REQUESTS:
            queue.clear()
            parser.error = HttpError(HTTPStatus.BAD_REQUEST, "too many requests at once")

    def _waiting_bytes(self) -> int:
        """Return the bytes of an incomplete body and of all requests that wait."""
        return self.parser.buffered_bytes() + self.queue.buffered_bytes()

    def _account_for(self, buffered_bytes: int) -> None:
        """Update the total of all connections by what this one uses now."""
        self._memory.buffered_bytes += buffered_bytes - self._buffered_bytes
        self._buffered_bytes = buffered_bytes
