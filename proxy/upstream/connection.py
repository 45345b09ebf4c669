"""One connection to a backend, which carries one attempt at a time.

It owns its socket and its response parser. It knows nothing of its backend's other connections: the pool
chooses which connection carries an attempt, keeps the idle ones and counts all of them.
"""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

from proxy.upstream.response_parser import ResponseParser, ResponseState

if TYPE_CHECKING:
    from proxy.upstream.attempt import UpstreamAttempt
    from proxy.upstream.backend import Backend
    from proxy.upstream.connection_pool import ConnectionPool


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to a backend.

    It carries an attempt from `send` until a complete response has come, and may then be used again; where
    the attempt ends without one, the connection is closed. Whether it is closed, its transport knows.

    Attributes:
        backend: The backend that it was dialled to.
        incarnation: The incarnation of that backend that it was dialled to.
        idle_since: The loop's time at which the pool last put it among the idle ones.
        request_sent: Whether the last byte of the attempt's request is out: from then on the backend may
            process it, whatever happens here. A response may begin earlier: some answer a part of a request.
    """

    def __init__(self, pool: ConnectionPool, backend: Backend, incarnation: int) -> None:
        self.backend = backend
        self.incarnation = incarnation
        self.idle_since = 0.0
        self.request_sent = False
        self._pool = pool
        self._attempt: UpstreamAttempt | None = None
        self._response_started = False  # whether a byte of the response has come
        self._reused_after: float | None = None  # seconds that it had been idle when it was last reused
        self._parser = ResponseParser(pool.response_memory)
        self._readable = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing then says that all is out
        self._readable.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._pool.on_connection_made()

    def is_usable(self) -> bool:
        """Whether it can carry another attempt.

        It can not where something waits unread, more behind the last response or a close, which the next
        request would take for its own; nor where its backend's process or address is another by now.
        """
        if self.incarnation != self.backend.incarnation:
            return False
        return not self._transport.is_closing() and not self._readable.poll(0)

    def mark_reused(self, now: float) -> None:
        """It is taken from the idle connections to carry another attempt."""
        self._reused_after = now - self.idle_since
        self._pool.keepalive_policy.record_reuse(self._reused_after)

    def send(self, attempt: UpstreamAttempt, request: bytes) -> None:
        """Carry an attempt: write its complete request."""
        self._attempt = attempt
        attempt.connection = self
        self.request_sent = False
        self._response_started = False
        self._transport.write(request)
        # What the socket took at once is out, unless the write itself found the connection lost.
        self.request_sent = not self._transport.get_write_buffer_size() and not self._transport.is_closing()

    def pause_writing(self) -> None:
        """A part of the request is still unsent."""

    def resume_writing(self) -> None:
        """The rest of the request is out."""
        self.request_sent = True

    def abort(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self._attempt = None
        self._transport.abort()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Where the next bytes go."""
        return self._pool.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what has come into the buffer."""
        attempt = self._attempt
        if attempt is None:  # a response that nobody asked for must not serve the next request
            now = self._pool.now()
            self._pool.keepalive_policy.record_late_bytes(now, now - self.idle_since)
            self.abort()
            return
        self._response_started = True
        parser = self._parser
        state = parser.feed(self._pool.read_buffer[:nbytes])
        if state is ResponseState.COMPLETE:
            self._finish_attempt(attempt)
        elif state is ResponseState.UNUSABLE:
            attempt.fail()
        elif parser.receiving:
            attempt.on_response_progress(self._pool.now())

    def eof_received(self) -> None:
        """The backend has ended its sending in order: that ends a response without a length, and no other."""
        attempt = self._attempt
        if attempt is not None and self._parser.end_of_input() is ResponseState.COMPLETE:
            self._finish_attempt(attempt)

    def _finish_attempt(self, attempt: UpstreamAttempt) -> None:
        """Release the connection if it can carry another attempt, and report the response."""
        response = self._parser.take_response()
        # Bytes behind the response might be taken for the next one: with any, the connection is closed.
        if self._parser.keep_alive and self.request_sent and self.is_usable():
            self._attempt = attempt.connection = None
            self._parser.reset()
            self._pool.release(self)
        attempt.finish(response.outcome(), response)

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        self._parser.close()
        self._pool.on_connection_lost(self)
        if self._attempt is not None:
            if self._reused_after is not None and not self._response_started:
                self._pool.keepalive_policy.record_failure(self._reused_after)
            self._attempt.fail()
