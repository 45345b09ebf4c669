"""The input of one client's connection: parses received bytes into requests, and queues them.

It owns the parser, the queue, the bytes that are not parsed yet, their limits, and the memory of all of them
and of the request that is being served. `connection` takes requests from the queue and serves them.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from proxy.downstream.client_request import ClientRequest
from proxy.downstream.errors import HttpError
from proxy.downstream.request_parser import RequestParser
from proxy.downstream.request_queue import RequestQueue
from proxy.memory_budget import MemoryAccount

if TYPE_CHECKING:
    from proxy.memory_budget import MemoryBudget

#: Requests that are parsed while another one is served; well-behaved clients send none before the response.
MAX_PIPELINED_REQUESTS = 8
MAX_UNPARSED_BYTES = 64 << 10  # bytes stored behind these requests
MAX_DISCARDED_BYTES = 64 << 20  # bytes discarded behind the end of the input; beyond them nothing is read


class SharedMemory(Protocol):
    """The memory that all connections of a listener share; `ClientMemory` documents it."""

    read_buffer: memoryview
    budget: MemoryBudget


class ConnectionInput:
    """Parses and queues the requests of one connection, within its limits.

    Attributes:
        parser: Parses received bytes; its `reading` shows whether a request is incomplete.
        queue: The requests that wait for their turn, and behind them the error that ends the input, if any.
        ended: Whether further input is discarded: a rejection is queued or written, or the client has sent
            too much behind a request that is being served.
    """

    __slots__ = (
        "_account",
        "_discarded_bytes",
        "_memory",
        "_served_bytes",
        "_unparsed",
        "_unparsed_since",
        "ended",
        "parser",
        "queue",
    )

    def __init__(self, memory: SharedMemory) -> None:
        self.queue = RequestQueue()
        self.parser = RequestParser(self.queue.append)
        self.ended = False
        self._memory = memory
        self._account = MemoryAccount(memory.budget)
        self._served_bytes = 0  # of the request that is being served
        self._unparsed = b""
        self._unparsed_since = 0.0  # the event loop's time at which the first of these bytes was received
        self._discarded_bytes = 0

    def buffered_bytes(self) -> int:
        """Return the bytes that are buffered for the client."""
        return self._account.size

    def feed(self, nbytes: int, now: float) -> None:
        """Parse received bytes, and queue the requests that are complete.

        The caller then asks the shared memory whether it allows the waiting bytes, and else drops them.

        Args:
            nbytes: The number of received bytes in the shared buffer.
            now: The event loop's time.
        """
        received = self._memory.read_buffer[:nbytes]
        if self._unparsed:
            self._store_unparsed(received)
        else:
            self._unparsed_since = now
            self._parse(received)
        self._update_account()

    def _parse(self, data: memoryview) -> None:
        """Parse bytes until the queue is full; store the remaining ones unparsed."""
        while data and len(self.queue) < MAX_PIPELINED_REQUESTS and self.parser.error is None:
            data = data[self.parser.feed(data, self._unparsed_since) :]
        self._unparsed = bytes(data) if self.parser.error is None else b""
        if self.parser.error is not None:
            self.ended = True
            self.queue.append(self.parser.error)
        elif self.ended and not self._unparsed:
            self.queue.append(HttpError(HTTPStatus.BAD_REQUEST, "too many requests at once"))

    def _store_unparsed(self, data: memoryview) -> None:
        """Store bytes behind a full queue.

        Reading goes on behind a full queue, because the event loop only reports a disconnect that it reads.
        Beyond the limit the input is discarded; requests that were stored still get their responses.
        """
        size = MAX_UNPARSED_BYTES - len(self._unparsed)
        self._unparsed += data[:size]
        self.ended = size < len(data)

    def discard(self, nbytes: int) -> bool:
        """Discard bytes received after the end of the input; return whether their limit is exceeded.

        Closing a connection with unread bytes would reset it, and the client would lose the response. The
        total is limited, so that a client that never stops sending does not keep a core busy.
        """
        self._discarded_bytes += nbytes
        return self._discarded_bytes > MAX_DISCARDED_BYTES

    def pop(self) -> ClientRequest | HttpError:
        """Remove and return the first request of the queue, or the error that ends the input.

        The memory of a request stays reserved until `finish_request`.
        """
        item = self.queue.pop()
        self._served_bytes = item.buffered_bytes() if isinstance(item, ClientRequest) else 0
        if self._unparsed:
            self._parse(memoryview(self._unparsed))
        self._update_account()
        return item

    def finish_request(self) -> None:
        """Release the memory of the request that was served: it has its response."""
        self._served_bytes = 0
        self._update_account()

    def end(self, error: HttpError) -> list[HttpError]:
        """End the input because of an error, and release its memory.

        Args:
            error: The response to the current request.

        Returns:
            The responses to all requests that have been received, in order.
        """
        waiting = self._drop_requests()
        self.ended = True
        self.parser.reject(error)
        self.finish_request()
        return self.queue.reject_all(error, waiting)

    def drop(self) -> None:
        """Drop all requests that wait, and the beginning of one, without a response."""
        self.queue.clear()
        self._unparsed = b""
        self._update_account()

    def close(self) -> None:
        """Release the memory of requests and the parser's resources; the connection is closed."""
        self.queue.clear()
        self._unparsed = b""
        self._account.update(0)
        self.parser.close()

    def drop_for_memory(self) -> None:
        """End the input to release its memory: the requests of all clients together would fill it.

        Each request that was received gets a response.
        """
        complete = self._drop_requests()
        self.ended = True
        if self.parser.error is None:
            # The error is the response to the incomplete request, or else to the last one.
            complete -= not self.parser.reading
            self.parser.reject(HttpError(HTTPStatus.SERVICE_UNAVAILABLE, "too many bodies at once"))
        self.queue.add_dropped(complete)
        assert self.parser.error is not None
        self.queue.append(self.parser.error)
        self._update_account()

    def _drop_requests(self) -> int:
        """Drop all requests that wait, and return how many were complete."""
        complete = len(self.queue.requests())
        self.queue.clear()
        while self._unparsed:
            self._parse(memoryview(self._unparsed))
            complete += len(self.queue.requests())
            self.queue.clear()
        return complete

    def waiting_bytes(self) -> int:
        """Return the bytes of everything but the request that is being served."""
        return self.parser.buffered_bytes() + self.queue.buffered_bytes() + len(self._unparsed)

    def _update_account(self) -> None:
        self._account.update(self.waiting_bytes() + self._served_bytes)
