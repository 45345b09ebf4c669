"""One client's connection: its requests are read, taken up one after another, and answered.

It owns the connection's state, the limits on what waits on it, and the order of responses. Parsing is
`request_parser`'s, the requests that wait are in `request_queue`, `client_socket` tells what was not read or
written yet, the limits on time and number are `eviction`'s, and what becomes of a request that is to be
forwarded is up to the listener's `on_request`.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from math import inf
from typing import TYPE_CHECKING, Protocol

from proxy.downstream import timeouts
from proxy.downstream.classification import classify
from proxy.downstream.client_socket import ClientSocket
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
from proxy.downstream.request_parser import ClientRequest, RequestParser
from proxy.downstream.request_queue import RequestQueue
from proxy.downstream.response_writer import encode_response
from proxy.event_log import Event
from proxy.invariants import Invariant

if TYPE_CHECKING:
    from collections.abc import Callable

    from proxy.config import Config
    from proxy.downstream.classification import ClassifiedRequest
    from proxy.downstream.eviction import ConnectionRegistry
    from proxy.event_log import EventLog
    from proxy.invariants import InvariantMonitor
    from proxy.response_sink import ResponseSink

MAX_PIPELINED_REQUESTS = 8  # requests that may wait behind another: clients send one at a time
MAX_DISCARDED_BYTES = 64 << 20  # bytes read and dropped behind a rejection before the connection is aborted


class ConnectionOwner(Protocol):
    """What a connection needs of its listener, which documents each of these.

    The connection changes `last_accepted_at` and `buffered_bytes`.
    """

    config: Config
    version: str
    on_request: Callable[[ClientRequest, ClassifiedRequest, ResponseSink], None]
    monitor: InvariantMonitor
    event_log: EventLog
    connections: ConnectionRegistry[DownstreamConnection]
    closing_since: float
    last_accepted_at: float
    read_buffer: memoryview
    buffered_bytes: int
    max_buffered_bytes: int

    def healthy(self) -> bool:
        """Return whether clients should send requests to this proxy."""


class DownstreamConnection(asyncio.BufferedProtocol):
    """One client's connection.

    Reading goes on while a request is served: nothing else tells that the client disconnects.

    Attributes:
        on_disconnect: Called once, where the client disconnects before the response that it waits for.
            Whoever takes a request sets it; the response clears it.
    """

    def __init__(self, listener: ConnectionOwner) -> None:
        self.on_disconnect: Callable[[], None] | None = None
        self._listener = listener
        self._connections = listener.connections
        self._loop = asyncio.get_running_loop()
        self._state: ConnectionState = NEW
        self._queue = RequestQueue()
        self._parser = RequestParser(self._queue.append)
        self._idle_timeout = timeouts.MIN_IDLE_TIMEOUT  # longer once a request of it was forwarded
        self._keep_alive = False  # whether the client wants to go on after the request that is served
        self._write_paused = False  # the client does not read its responses
        self._input_ended = False  # a rejection is queued or written: what still comes is discarded
        self._reading_stopped = False  # the proxy shuts down, and an answer is owed already
        self._discarded_bytes = 0
        self._buffered_bytes = 0  # its part of what the listener counts

    # ---- the connection ------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._socket = ClientSocket(transport)
        now = self._listener.last_accepted_at = self._loop.time()
        self._connections.open.add(self)
        self._enter(NEW, now + timeouts.FIRST_REQUEST_TIMEOUT)
        # The limit on descriptors holds from here on; where none can go, a request is rejected later.
        self._connections.admit(self)

    def eof_received(self) -> None:
        """Take the end of the client's sending for a disconnect.

        Requests that still wait are dropped, so that nothing is attempted for nobody. Without this, where an
        earlier response is still unread, the connection would end only once that is out.
        """
        self._queue.clear()
        self._report_disconnect()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Let go of all that the connection holds."""
        self._enter(CLOSED)
        self._queue.clear()
        self._account_for(0)
        self._parser.close()
        self._report_disconnect()

    def _report_disconnect(self) -> None:
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def _enter(self, state: ConnectionState, deadline: float = 0.0) -> None:
        """Change the state: every change is made here.

        Args:
            state: The new state; the same one again renews the deadline.
            deadline: The loop's time at which the connection is closed, where the state has a time limit.
        """
        deadlines_by_state = self._connections.deadlines_by_state
        left = deadlines_by_state[self._state]
        if left is not None:
            left.pop(self, None)
        self._state = state
        entered = deadlines_by_state[state]
        if entered is not None:
            entered[self] = deadline
        elif state is CLOSED:
            self._connections.open.discard(self)

    def close(self, reason: CloseReason) -> None:
        """Close the connection once what is written is out.

        To close with bytes unread would reset the connection, and cut a response that is still on its way. So
        where some are left unread only the sending side is closed, and the rest once the client has left.
        """
        self._record_close(reason)
        self._enter(CLOSING, self._loop.time() + timeouts.CLOSING_TIMEOUT)
        if self._reading_stopped and (self.is_writing() or self._socket.has_unread_input()):
            self._end_sending()
        else:
            self._transport.close()

    def _end_sending(self) -> None:
        """Close the sending side once what is written is out."""
        with suppress(OSError):  # the client has just reset the connection, which is seen by itself
            self._transport.write_eof()

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once."""
        self._record_close(reason)
        self._enter(CLOSED)
        self._transport.abort()

    def _record_close(self, reason: CloseReason) -> None:
        """Log why the proxy ends the connection, and report requests that were read and get no answer."""
        log = self._listener.event_log
        if log.enabled:
            unwritten = self._transport.get_write_buffer_size()
            log.record(
                Event.CONNECTION_CLOSED,
                reason=reason,
                state=self._state.name,
                queued=len(self._queue),
                unwritten=unwritten,
                peer=str(self._transport.get_extra_info("peername")),
            )
        if reason is CloseReason.CLIENT_DISCONNECTED:
            return
        for request in self._queue.requests():
            request_id = request.headers.get(b"x-request-id", b"")
            self._listener.monitor.report(Invariant.DROPPED_UNANSWERED, request_id)

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, whether or not that was read yet."""
        return self._socket.has_disconnected()

    def is_abandoned(self) -> bool:
        """Return whether the client has left, where nothing is read that would tell."""
        return self._reading_stopped and not self._transport.is_closing() and self.has_disconnected()

    def is_writing(self) -> bool:
        """Return whether a part of a response is not written yet."""
        return self._socket.is_writing()

    def has_read_progress(self) -> bool:
        """Return whether the client has read more of a response since the last call, and may want more."""
        return self._socket.has_read_progress(self._loop.time(), self._listener.config.longest_deadline)

    def pause_writing(self) -> None:
        """Note that the client reads more slowly than is written."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Go on with the requests that wait: the client has caught up."""
        self._write_paused = False
        self._resume()

    # ---- shutdown ------------------------------------------------------------------------

    def begin_closing(self) -> None:
        """Take part in a shutdown that closes connections: close if no answer is owed, else read no more."""
        if self._state is NEW or self._state is IDLE:
            self.close(CloseReason.SHUTDOWN)
        elif self._state is SERVING or self._state is WAITING:
            self._stop_reading()

    def _stop_reading(self) -> None:
        self._reading_stopped = True
        self._transport.pause_reading()

    # ---- reading -------------------------------------------------------------------------

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return where the next bytes go."""
        return self._listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what has come, and serve the first request that is complete."""
        if self._input_ended:
            self._discard(nbytes)
            return
        parser = self._parser
        parser.feed(self._listener.read_buffer[:nbytes], self._loop.time())
        self._enforce_buffer_limits()
        if parser.error is not None:
            self._input_ended = True
            self._queue.append(parser.error)
            self._account_for(self._held_bytes())
        if self._queue:
            self._serve_next()
        elif parser.reading:
            self._begin_reading()

    def _begin_reading(self) -> None:
        """Set the time limit for the request of which a part has come, unless another is being served."""
        if self._state is NEW:  # counted from connecting: single bytes win no more time
            self._enter(READING, self._connections.new[self])
        elif self._state is IDLE:
            self._enter(READING, self._parser.started_at + timeouts.REQUEST_TIMEOUT)

    def _discard(self, nbytes: int) -> None:
        """Drop what comes behind a rejection.

        To close with bytes unread would reset the connection, and the response with it. A client that goes on
        for ever must not keep a core busy, so there is an end to it.
        """
        self._discarded_bytes += nbytes
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.abort(CloseReason.FLOOD)

    def _enforce_buffer_limits(self) -> None:
        """Reject the connection's input where it holds too much memory or too many requests.

        Many incomplete bodies, and many requests that wait behind another, would together exceed the memory
        limit; a flood of requests on one connection would do so alone, and overload backends.
        """
        parser, listener, queue = self._parser, self._listener, self._queue
        must_wait = self._state is SERVING or self._state is WAITING or self._write_paused
        buffered = self._held_bytes() if must_wait else parser.buffered_bytes()
        self._account_for(buffered)
        if buffered and listener.buffered_bytes > listener.max_buffered_bytes:
            parser.error = HttpError(503, "too many bodies at once")
            if must_wait:
                queue.forget_requests(has_incomplete=parser.reading)
        if len(queue) > MAX_PIPELINED_REQUESTS:
            queue.clear()
            parser.error = HttpError(400, "too many requests at once")

    def _held_bytes(self) -> int:
        """Return the bytes of an incomplete body and of all requests that wait."""
        return self._parser.buffered_bytes() + self._queue.buffered_bytes()

    def _account_for(self, buffered_bytes: int) -> None:
        self._listener.buffered_bytes += buffered_bytes - self._buffered_bytes
        self._buffered_bytes = buffered_bytes

    # ---- requests and responses ----------------------------------------------------------

    def _resume(self) -> None:
        if self._queue:
            self._serve_next()

    def _serve_next(self) -> None:
        """Take up the next request, unless an earlier one is still unanswered or its response unread."""
        if self._state is SERVING or self._state is CLOSED or self._write_paused:
            return
        request = self._queue.pop()
        if self._buffered_bytes:
            self._account_for(self._held_bytes())
        if isinstance(request, HttpError):
            self.reject(request)
            return
        self._enter(SERVING)
        if self._listener.closing_since < inf and not self._reading_stopped:
            self._stop_reading()
        self._keep_alive = request.keep_alive
        try:
            self._dispatch(request)
        except HttpError as error:
            self.reject(error)

    def _dispatch(self, request: ClientRequest) -> None:
        path = request.target.partition(b"?")[0]
        if path == b"/healthz" and request.method == b"GET":
            self._answer_health_check()
        elif path == b"/api" or path.startswith(b"/api/"):  # a request without a key has no last part
            if not self._connections.admit(self, request_complete=True):
                raise HttpError(503, "too many connections")
            self._idle_timeout = timeouts.IDLE_TIMEOUT
            self._listener.on_request(request, classify(request, self._listener.config), self)
        else:
            raise HttpError(404, "no such path")

    def _answer_health_check(self) -> None:
        healthy = self._listener.healthy()
        status, verdict = (200, b"ok") if healthy else (503, b"not ready")
        self.send_response(status, b"", b"%b\nversion %b\n" % (verdict, self._listener.version.encode()))

    def reject(self, error: HttpError) -> None:
        """Answer a request that is not served, as the last one of the connection.

        Requests that wait behind it have been read, and get their answer too: they did not run.
        Kept alive, a client that is rejected would come again at full speed. Only the sending side is closed:
        what still comes is read until the client closes, since a reset would take the response with it.
        """
        self.on_disconnect = None
        self._input_ended = True
        errors = self._queue.take_answers(error)
        self._account_for(0)
        self._record_close(CloseReason.REJECTED)
        for position, each in enumerate(errors, 1):
            body = each.reason.encode() + b"\n"
            keep_alive = position < len(errors)
            self._transport.write(encode_response(each.status, b"", body, keep_alive))
        self._enter(CLOSING, self._loop.time() + timeouts.CLOSING_TIMEOUT)
        self._end_sending()

    def send_response(self, status: int, headers: bytes, body: bytes) -> None:
        """Write the one final response to the request that is being served.

        Args:
            status: Its status code.
            headers: Its end-to-end headers, each with its line end.
            body: Its whole body.
        """
        self.on_disconnect = None
        keep_alive = self._keep_alive and self._may_go_on()
        self._transport.write(encode_response(status, headers, body, keep_alive))
        now = self._loop.time()
        self._socket.note_response(now)
        if not keep_alive:
            self.close(CloseReason.LAST_RESPONSE)
            self._queue.clear()
            return
        if self._queue:
            self._enter(WAITING, now + self._idle_timeout)
            if not self._write_paused:
                self._loop.call_soon(self._resume)
        elif self._parser.reading:
            self._enter(READING, now + timeouts.REQUEST_TIMEOUT)
        else:
            self._enter(IDLE, now + self._idle_timeout)

    def _may_go_on(self) -> bool:
        """Return whether more is answered on this connection: in a shutdown, only what has been read."""
        return self._listener.closing_since == inf or bool(self._queue)
