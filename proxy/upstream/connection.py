"""One connection to a backend, on which one attempt is sent at a time.

It owns its socket and its response parser. The pool chooses the connection for each attempt, stores idle
connections and counts all of them; a connection reports its state changes to the pool.
"""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, Protocol

from proxy.memory_budget import MemoryAccount
from proxy.upstream.response_parser import GUARANTEED_BYTES, ResponseParser, ResponseState

if TYPE_CHECKING:
    from proxy.memory_budget import MemoryBudget
    from proxy.upstream.attempt import UpstreamAttempt
    from proxy.upstream.backend import Backend
    from proxy.upstream.keepalive_policy import KeepalivePolicy


class ConnectionOwner(Protocol):
    """The pool's interface to its connections: resources that they share, and callbacks for state changes.

    Attributes:
        read_buffer: The buffer into which all connections read. Its content is valid during one callback
            only.
        response_memory: The limit on the bytes of incomplete responses, among others.
        keepalive_policy: Records whether reuse of connections succeeded, by their idle time.
    """

    read_buffer: memoryview
    response_memory: MemoryBudget
    keepalive_policy: KeepalivePolicy

    def now(self) -> float:
        """Return the event loop's time."""

    def on_connected(self) -> None:
        """Handle a connection that has been established."""

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Handle a connection whose attempt has ended and which may be reused."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Handle a connection that has been closed or lost."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to a backend.

    An attempt uses it from `send` until a complete response has arrived; then it may be reused. If the
    attempt ends without a complete response, the connection is closed. The transport stores whether it is
    closed.

    Attributes:
        backend: The backend to which it was dialled.
        incarnation: The incarnation of that backend at the time of the dial.
        idle_since: The event loop's time at which it last became idle.
        request_sent: Whether the last byte of the attempt's request has been sent. From then on the backend
            may process the request, even if the proxy cancels it. The response may begin earlier, because
            some backends respond to an incomplete request.
    """

    def __init__(self, owner: ConnectionOwner, backend: Backend, incarnation: int) -> None:
        self.backend = backend
        self.incarnation = incarnation
        self.idle_since = 0.0
        self.request_sent = False
        self._owner = owner
        self._attempt: UpstreamAttempt | None = None
        self._response_started = False  # whether any byte of the response has arrived
        #: The idle time in seconds before the last reuse; None: it was not reused.
        self._reused_after: float | None = None
        self._parser = ResponseParser(owner.response_memory)
        self._unsent = MemoryAccount(owner.response_memory)  # a copy of what is not sent of the request
        self._input_poll = select.poll()  # reports whether the socket has unread input

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the established connection for its first attempt."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing is then called when all bytes are sent
        self._input_poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._owner.on_connected()

    def is_usable(self) -> bool:
        """Return whether another attempt may be sent on it.

        Unread input makes it unusable: it is either a close by the backend, or extra bytes after the last
        response, which would be parsed as the next request's response. A change of the backend's process or
        address makes it unusable too.
        """
        if self.incarnation != self.backend.incarnation:
            return False
        return not self._transport.is_closing() and not self._input_poll.poll(0)

    def mark_reused(self, now: float) -> None:
        """Record that it is about to be reused after an idle time.

        Args:
            now: The event loop's time.
        """
        self._reused_after = now - self.idle_since
        self._owner.keepalive_policy.record_reuse(self._reused_after)

    def send(self, attempt: UpstreamAttempt, request: bytes) -> None:
        """Write the complete request of an attempt."""
        self._attempt = attempt
        attempt.connection = self
        self.request_sent = False
        self._response_started = False
        self._transport.write(request)
        # An empty write buffer means that the socket accepted all bytes, unless the write detected that the
        # connection is lost.
        unsent_bytes = self._transport.get_write_buffer_size()
        self._unsent.update(unsent_bytes)
        self.request_sent = not unsent_bytes and not self._transport.is_closing()

    def pause_writing(self) -> None:
        """Transport callback: some bytes of the request are not sent yet."""

    def resume_writing(self) -> None:
        """Transport callback: all bytes of the request have been sent."""
        self._unsent.update(0)
        self.request_sent = True

    def abort(self) -> None:
        """Close immediately; unsent bytes are discarded."""
        self._attempt = None
        self._transport.abort()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Transport callback: return the buffer to read into, short while there is little memory left."""
        buffer, memory = self._owner.read_buffer, self._owner.response_memory
        is_short = memory.missing(len(buffer)) > 0 and not self._parser.has_grant
        return buffer[:GUARANTEED_BYTES] if is_short else buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Transport callback: bytes have been read into the buffer."""
        attempt = self._attempt
        if attempt is None:  # an unsolicited response must not be used for the next request
            now = self._owner.now()
            self._owner.keepalive_policy.record_late_bytes(now, now - self.idle_since)
            self.abort()
            return
        self._response_started = True
        parser = self._parser
        parser.feed(self._owner.read_buffer[:nbytes])
        may_read_on = parser.reserve_memory()
        if parser.state is ResponseState.COMPLETE:
            self._finish_attempt(attempt)
        elif parser.state is ResponseState.UNUSABLE:
            attempt.fail()
        elif not may_read_on:
            self._wait_for_memory(attempt)
        elif parser.receiving:
            attempt.on_response_progress(self._owner.now())

    def _wait_for_memory(self, attempt: UpstreamAttempt) -> None:
        """Read the remainder of the response once there is memory for it, or else until the deadline."""
        self._transport.pause_reading()
        attempt.start_timer()
        self._owner.response_memory.wait(self._read_on)

    def _read_on(self) -> bool:
        """Continue to read if there is memory for the response; return whether it does not wait any more."""
        attempt = self._attempt
        if attempt is None or self._transport.is_closing():
            return True
        if not self._parser.reserve_memory():
            return False
        self._transport.resume_reading()
        attempt.on_response_progress(self._owner.now())
        return True

    def eof_received(self) -> None:
        """Transport callback: the backend closed normally, which ends a response without a length."""
        attempt = self._attempt
        if attempt is not None and self._parser.end_of_input() is ResponseState.COMPLETE:
            self._finish_attempt(attempt)

    def _finish_attempt(self, attempt: UpstreamAttempt) -> None:
        """Make the connection idle if it can be reused, and report the response."""
        response = self._parser.take_response()
        # Extra bytes after the response could be parsed as the next response: `is_usable` detects them, and
        # the connection is then closed.
        if self._parser.keep_alive and self.request_sent and self.is_usable():
            self._attempt = attempt.connection = None
            self._parser.reset()
            self._owner.on_idle(self)
        attempt.finish(response.outcome(), response)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Transport callback: the connection has ended."""
        self._owner.response_memory.stop_waiting(self._read_on)
        self._unsent.update(0)
        self._parser.close()
        self._owner.on_closed(self)
        if self._attempt is not None:
            if self._reused_after is not None and not self._response_started:
                self._owner.keepalive_policy.record_failure(self._reused_after)
            self._attempt.fail()
