"""One connection to a backend, which carries one attempt at a time.

It owns its socket and its response parser. It does not know its backend's other connections: the pool chooses
the connection of an attempt, keeps the idle ones and counts all of them, and the connection reports to it.
"""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, Protocol

from proxy.upstream.response_parser import ResponseParser, ResponseState

if TYPE_CHECKING:
    from proxy.upstream.attempt import UpstreamAttempt
    from proxy.upstream.backend import Backend
    from proxy.upstream.keepalive_policy import KeepalivePolicy
    from proxy.upstream.memory_budget import MemoryBudget


class ConnectionOwner(Protocol):
    """What a connection needs of its pool: what all connections share, and where it reports to.

    Attributes:
        read_buffer: The buffer that all connections read into; it holds bytes during one callback only.
        response_memory: The limit on the bytes of incomplete responses.
        keepalive_policy: Learns from the connection how reuse after an idle time succeeds.
    """

    read_buffer: memoryview
    response_memory: MemoryBudget
    keepalive_policy: KeepalivePolicy

    def now(self) -> float:
        """Return the event loop's time."""

    def on_connected(self) -> None:
        """Handle a connection that is established."""

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Handle a connection that carries no attempt any more and may carry another one."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Handle a connection that has ended."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to a backend.

    It carries an attempt from `send` until a complete response has arrived, and may then be reused; if the
    attempt ends without one, the connection is closed. Whether it is closed is its transport's state.

    Attributes:
        backend: The backend that it was dialled to.
        incarnation: The incarnation of that backend that it was dialled to.
        idle_since: The event loop's time at which it last became idle.
        request_sent: Whether the last byte of the attempt's request has been sent: from then on the backend
            may process it, whether or not the proxy cancels it. A response may begin earlier, as some
            backends answer a part of a request.
    """

    def __init__(self, owner: ConnectionOwner, backend: Backend, incarnation: int) -> None:
        self.backend = backend
        self.incarnation = incarnation
        self.idle_since = 0.0
        self.request_sent = False
        self._owner = owner
        self._attempt: UpstreamAttempt | None = None
        self._response_started = False  # whether a byte of the response has arrived
        self._reused_after: float | None = None  # seconds that it had been idle when it was last reused
        self._parser = ResponseParser(owner.response_memory)
        self._readable = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the established connection for its first attempt."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing is then called once all bytes are sent
        self._readable.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._owner.on_connected()

    def is_usable(self) -> bool:
        """Return whether it can carry another attempt.

        It can't if there is unread input, a close or bytes behind the last response, which the next request
        would take for its own response; nor if its backend's process or address has changed.
        """
        if self.incarnation != self.backend.incarnation:
            return False
        return not self._transport.is_closing() and not self._readable.poll(0)

    def mark_reused(self, now: float) -> None:
        """Note that it was idle and is about to carry another attempt.

        Args:
            now: The event loop's time.
        """
        self._reused_after = now - self.idle_since
        self._owner.keepalive_policy.record_reuse(self._reused_after)

    def send(self, attempt: UpstreamAttempt, request: bytes) -> None:
        """Carry an attempt: write its complete request."""
        self._attempt = attempt
        attempt.connection = self
        self.request_sent = False
        self._response_started = False
        self._transport.write(request)
        # The socket accepted all of it, unless the write itself found that the connection is lost.
        self.request_sent = not self._transport.get_write_buffer_size() and not self._transport.is_closing()

    def pause_writing(self) -> None:
        """Transport callback: a part of the request is unsent."""

    def resume_writing(self) -> None:
        """Transport callback: all bytes of the request have been sent."""
        self.request_sent = True

    def abort(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self._attempt = None
        self._transport.abort()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Transport callback: return the buffer to read into."""
        return self._owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Transport callback: bytes have been read into the buffer."""
        attempt = self._attempt
        if attempt is None:  # an unsolicited response must not answer the next request
            now = self._owner.now()
            self._owner.keepalive_policy.record_late_bytes(now, now - self.idle_since)
            self.abort()
            return
        self._response_started = True
        parser = self._parser
        state = parser.feed(self._owner.read_buffer[:nbytes])
        if state is ResponseState.COMPLETE:
            self._finish_attempt(attempt)
        elif state is ResponseState.UNUSABLE:
            attempt.fail()
        elif parser.receiving:
            attempt.on_response_progress(self._owner.now())

    def eof_received(self) -> None:
        """Transport callback: the backend closed in order, which ends a response without a length."""
        attempt = self._attempt
        if attempt is not None and self._parser.end_of_input() is ResponseState.COMPLETE:
            self._finish_attempt(attempt)

    def _finish_attempt(self, attempt: UpstreamAttempt) -> None:
        """Make the connection idle if it can carry another attempt, and report the response."""
        response = self._parser.take_response()
        # Bytes behind the response might be taken for the next one: with any, the connection is closed.
        if self._parser.keep_alive and self.request_sent and self.is_usable():
            self._attempt = attempt.connection = None
            self._parser.reset()
            self._owner.on_idle(self)
        attempt.finish(response.outcome(), response)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Transport callback: the connection has ended."""
        self._parser.close()
        self._owner.on_closed(self)
        if self._attempt is not None:
            if self._reused_after is not None and not self._response_started:
                self._owner.keepalive_policy.record_failure(self._reused_after)
            self._attempt.fail()
