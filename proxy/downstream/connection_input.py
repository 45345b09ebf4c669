"""The input of one client's connection: parses received bytes into requests, and queues them.

It owns the parser, the queue, their limits, and the connection's usage of the memory that all connections
share. `connection` takes requests from the queue and serves them.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from proxy.downstream.errors import HttpError
from proxy.downstream.request_parser import RequestParser
from proxy.downstream.request_queue import RequestQueue

if TYPE_CHECKING:
    from proxy.downstream.request_parser import ClientRequest

#: Requests that may wait behind another one; well-behaved clients send none before the response.
MAX_PIPELINED_REQUESTS = 8
MAX_DISCARDED_BYTES = 64 << 20  # bytes discarded after a rejection before the connection is aborted


class SharedMemory(Protocol):
    """The memory that all connections of a listener share.

    Attributes:
        read_buffer: The buffer that every connection reads into; its content is valid during one callback.
        buffered_bytes: Bytes of incomplete bodies, and of requests that wait behind another one.
        max_buffered_bytes: The limit on `buffered_bytes`.
    """

    read_buffer: memoryview
    buffered_bytes: int
    max_buffered_bytes: int


class ConnectionInput:
    """Parses and queues the requests of one connection, within its limits.

    Attributes:
        parser: Parses received bytes; its `reading` shows whether a request is incomplete.
        queue: The requests that wait for their turn, and behind them the error that ends the input, if any.
        ended: Whether a rejection is queued or written, so that further input is discarded.
    """

    __slots__ = ("_buffered_bytes", "_discarded_bytes", "_memory", "ended", "parser", "queue")

    def __init__(self, memory: SharedMemory) -> None:
        self.queue = RequestQueue()
        self.parser = RequestParser(self.queue.append)
        self.ended = False
        self._memory = memory
        self._discarded_bytes = 0
        self._buffered_bytes = 0  # included for this connection in `SharedMemory.buffered_bytes`

    def feed(self, nbytes: int, now: float, *, must_wait: bool) -> None:
        """Parse received bytes, and queue the requests that are complete.

        Args:
            nbytes: The number of received bytes in the shared buffer.
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

        Closing a connection with unread bytes would reset it, and the client would lose the response. The
        total is limited, so that a client that never stops sending does not keep a core busy.
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
            error: The response to the current request.

        Returns:
            The responses to all requests that have been received, in order.
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
        """End the input if it uses too much memory or contains too many requests.

        Without a limit, many incomplete bodies and waiting requests of all connections together would exceed
        the memory limit. So would many pipelined requests on a single connection, which would also overload
        backends.
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
        """Return the bytes of an incomplete body and of all waiting requests."""
        return self.parser.buffered_bytes() + self.queue.buffered_bytes()

    def _account_for(self, buffered_bytes: int) -> None:
        """Set this connection's bytes in the total of all connections."""
        self._memory.buffered_bytes += buffered_bytes - self._buffered_bytes
        self._buffered_bytes = buffered_bytes
