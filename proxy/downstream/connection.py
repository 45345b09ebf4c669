"""One client's connection: reads its requests, serves them one after another, and responds in order.

It owns the connection's state, and changes it in one place. `connection_input` parses and queues requests,
`routing` selects what handles a request, `response_writer` writes responses, `closing` ends the connection,
and `client_socket` polls the socket. `eviction` enforces time limits and the limit on connections.
"""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING, Protocol

from proxy.downstream import timeouts
from proxy.downstream.client_socket import ClientSocket
from proxy.downstream.closing import ClosingContext, ConnectionCloser
from proxy.downstream.connection_input import ConnectionInput
from proxy.downstream.connection_state import (
    CLOSED,
    CLOSING,
    IDLE,
    NEW,
    READING,
    SERVING,
    WAITING,
    CloseReason,
    ConnectionState,
)
from proxy.downstream.errors import HttpError
from proxy.downstream.response_writer import ResponseWriter
from proxy.downstream.routing import RequestHandler, serve_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from proxy.downstream.client_memory import ClientMemory
    from proxy.response_sink import ClosedCallback


class ConnectionOwner(ClosingContext, RequestHandler["DownstreamConnection"], Protocol):
    """The fields and methods of the listener that its connections use.

    Attributes:
        memory: The memory that all connections share.
        closing_since: The event loop's time from which responses close their connection; infinite until the
            listener's `stop_keepalive` is called.
        last_accepted_at: The event loop's time at which the latest connection was accepted.
    """

    memory: ClientMemory[DownstreamConnection]
    closing_since: float
    last_accepted_at: float


class DownstreamConnection(asyncio.BufferedProtocol):
    """One client's connection.

    Reading continues while a request is served: the event loop reports a disconnect only while it reads.

    Attributes:
        on_disconnect: Called once if the client disconnects before its response is sent. The dispatcher sets
            it; sending the response clears it.
        on_closed: Called once when the connection has ended, with whether the client reset it.
        client_socket: Polls the client's socket.
        idle_timeout: Seconds without a request after which the connection is closed; longer once a request
            has been forwarded.
        writer: Writes the responses.
        closer: Ends the connection.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self.on_disconnect: Callable[[], None] | None = None
        self.on_closed: ClosedCallback | None = None
        self.idle_timeout = timeouts.MIN_IDLE_TIMEOUT
        self._owner = owner
        self._registry = owner.connections
        self._loop = asyncio.get_running_loop()
        self._state: ConnectionState = NEW
        self._memory = owner.memory
        self._input = ConnectionInput(owner.memory)
        self._keep_alive = False  # whether the connection stays open after the request that is being served

    # ---- callbacks of the transport ------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.client_socket = ClientSocket(transport)
        self.writer = ResponseWriter(transport, self._memory.budget)
        self.closer = ConnectionCloser(transport, self.client_socket, self._owner)
        now = self._owner.last_accepted_at = self._loop.time()
        self._registry.open.add(self)
        self._enter(NEW, now + timeouts.FIRST_REQUEST_TIMEOUT)
        # Too many connections: one is evicted here, or else a request of this one is rejected later.
        self._registry.admit(self)

    def eof_received(self) -> None:
        """Treat the end of the client's input as a disconnect.

        Waiting requests are dropped, as no client waits for their responses. Otherwise, if an earlier
        response is still unread, the connection would stay open until that response is written.
        """
        self._input.drop()
        self._report_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection's resources."""
        self._enter(CLOSED)
        self._input.close()
        self.update_unwritten()
        self._report_disconnect()
        if self.on_closed is not None:
            self.on_closed(was_reset=exc is not None)

    def pause_writing(self) -> None:
        """Stop serving requests: the client reads more slowly than responses are written."""
        self.writer.paused = True

    def resume_writing(self) -> None:
        """Serve the waiting requests: the client has read enough of the earlier responses."""
        self.writer.paused = False
        self.update_unwritten()
        self._serve_next()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return self._memory.next_read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes, and serve the first request that is complete.

        If only the beginning of a request has been received and no request is being served, its time limit
        starts.
        """
        connection_input = self._input
        if connection_input.ended:
            if connection_input.discard(nbytes):
                if self._state is CLOSING:
                    self.abort(CloseReason.FLOOD)
                else:  # the requests before the flood get their responses
                    self.closer.stop_reading()
            return
        connection_input.feed(nbytes, self._loop.time())
        if not self._memory.allows(self, connection_input.waiting_bytes()):
            connection_input.drop_for_memory()
        if connection_input.queue:
            self._serve_next()
        elif connection_input.parser.reading:
            if self._state is NEW:  # the limit counts from connecting: single bytes do not extend it
                self._enter(READING, self._registry.new[self])
            elif self._state is IDLE:
                self._enter(READING, connection_input.parser.started_at + timeouts.REQUEST_TIMEOUT)

    # ---- state ---------------------------------------------------------------------------

    def _enter(self, state: ConnectionState, deadline: float = 0.0) -> None:
        """Change the state; no other method does.

        Args:
            state: The new state; entering the current one again sets a new deadline.
            deadline: The event loop's time at which the connection is closed, if the state has a time limit.
        """
        deadlines_by_state = self._registry.deadlines_by_state
        deadlines_before = deadlines_by_state[self._state]
        if deadlines_before is not None:
            deadlines_before.pop(self, None)
        self._state = state
        deadlines_after = deadlines_by_state[state]
        if deadlines_after is not None:
            deadlines_after[self] = deadline
        elif state is CLOSED:
            self._registry.open.discard(self)

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if the close has not been read yet."""
        return self.client_socket.has_disconnected()

    def buffered_bytes(self) -> int:
        """Return the bytes that the connection buffers for its client."""
        return self._input.buffered_bytes() + self.writer.buffered_bytes()

    def update_unwritten(self) -> None:
        """Update how much of the responses the client has not read."""
        if not self.writer.update_account():
            self._registry.writing.pop(self, None)
        elif self not in self._registry.writing:
            self._registry.writing[self] = self._loop.time()

    def has_read_progress(self) -> bool:
        """Return whether the client has read more of a response since the last call."""
        return self.writer.has_read_progress(self._loop.time(), self._owner.config.longest_deadline)

    # ---- requests and responses ----------------------------------------------------------

    def _serve_next(self) -> None:
        """Serve the next request, unless an earlier response is still pending or unread."""
        if self._state is SERVING or self._state is CLOSED or self.writer.paused or not self._input.queue:
            return
        request = self._input.pop()
        if isinstance(request, HttpError):
            self.reject(request)
            return
        self._enter(SERVING)
        if self._owner.closing_since < inf and not self.closer.reading_stopped:
            self.closer.stop_reading()
        self._keep_alive = request.keep_alive
        try:
            serve_request(request, self, self._owner)
        except HttpError as error:
            self.reject(error, request.request_id)

    def send_response(self, status: int, headers: bytes, body: bytes | bytearray) -> None:
        """Write the one final response to the request that is being served.

        Args:
            status: Its status code.
            headers: Its end-to-end headers, each with its line end.
            body: Its complete body.
        """
        self.on_disconnect = None
        queue = self._input.queue
        # During a graceful shutdown, only requests that have already been received are served.
        keep_alive = self._keep_alive and (self._owner.closing_since == inf or bool(queue))
        self._input.finish_request()
        self.writer.write(status, headers, body, keep_alive=keep_alive)
        if self.writer.is_writing():
            self.update_unwritten()
            self._memory.make_room_for_response(self)
        now = self._loop.time()
        self.writer.start_progress(now)
        if not keep_alive:
            self.close(CloseReason.LAST_RESPONSE)
            self._input.drop()
        elif queue:
            self._enter(WAITING, now + self.idle_timeout)
            if not self.writer.paused:
                self._loop.call_soon(self._serve_next)
        elif self._input.parser.reading:
            self._enter(READING, now + timeouts.REQUEST_TIMEOUT)
        else:
            self._enter(IDLE, now + self.idle_timeout)

    def reject(self, error: HttpError, request_id: bytes | None = None) -> None:
        """Reject the current request and all that wait behind it, and close the connection.

        The waiting requests get status 503, which means that they did not run. If the connection stayed open,
        a rejected client could repeat its request without any delay. Only the sending side is closed, and the
        proxy reads until the client closes: unread input would reset the connection, and the client would
        lose the response.

        Args:
            error: The response.
            request_id: The client's id of the request; by default that of the one which is being read.
        """
        self.on_disconnect = None
        received_id = self._input.parser.request_id() if request_id is None else request_id
        self.closer.record_rejection(received_id, error)
        rejections = self._input.end(error)
        self.closer.record(CloseReason.REJECTED, self._state, self._input.queue)
        self.writer.write_rejections(rejections)
        self._enter(CLOSING, self._loop.time() + timeouts.CLOSING_TIMEOUT)
        self.closer.end_sending()

    def _report_disconnect(self) -> None:
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    # ---- closing -------------------------------------------------------------------------

    def begin_closing(self) -> None:
        """Begin to close for a shutdown: close if new or idle, and stop reading if a response is pending."""
        if self._state is NEW or self._state is IDLE:
            self.closer.stop_reading()
            self.close(CloseReason.SHUTDOWN)
        elif self._state is SERVING or self._state is WAITING:
            self.closer.stop_reading()

    def close(self, reason: CloseReason) -> None:
        """Close the connection once everything is written."""
        self.closer.record(reason, self._state, self._input.queue)
        self._enter(CLOSING, self._loop.time() + timeouts.CLOSING_TIMEOUT)
        self.closer.close()

    def abort(self, reason: CloseReason) -> None:
        """Close the connection immediately."""
        self.closer.record(reason, self._state, self._input.queue)
        self._enter(CLOSED)
        self._transport.abort()
        self.update_unwritten()
