"""Ends one client's connection: closes its socket, logs the reason, and reports requests without a response.

It owns whether reading has stopped. `connection` owns the state, and decides when to close and why.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from proxy.downstream.connection_state import CloseReason, ConnectionState
from proxy.invariants import Invariant
from proxy.logged_events import ConnectionClosed, RequestRejected

if TYPE_CHECKING:
    import asyncio

    from proxy.downstream.client_socket import ClientSocket
    from proxy.downstream.errors import HttpError
    from proxy.downstream.request_queue import RequestQueue
    from proxy.event_log import EventLog
    from proxy.invariants import InvariantMonitor

MAX_LOGGED_ID_LENGTH = 64  # bytes; a longer id is malformed


class ClosingContext(Protocol):
    """The receivers of reports on closed connections; the listener has them.

    Attributes:
        event_log: Records the reason of each close.
        monitor: Counts the requests that get no response.
    """

    event_log: EventLog
    monitor: InvariantMonitor


class ConnectionCloser:
    """Ends one client's connection without cutting off a response that is still in transit.

    Attributes:
        reading_stopped: Whether reading has stopped while a response is pending, because the proxy is
            shutting down, or because the client does not stop sending.
    """

    __slots__ = ("_context", "_socket", "_transport", "reading_stopped")

    def __init__(self, transport: asyncio.Transport, socket: ClientSocket, context: ClosingContext) -> None:
        self._transport = transport
        self._socket = socket
        self._context = context
        self.reading_stopped = False

    def stop_reading(self) -> None:
        """Stop reading; later input stays in the socket."""
        self.reading_stopped = True
        self._transport.pause_reading()

    def has_unread_disconnect(self) -> bool:
        """Return whether the client has disconnected unnoticed, because reading has stopped."""
        return self.reading_stopped and not self._transport.is_closing() and self._socket.has_disconnected()

    def close(self) -> None:
        """Close the transport once everything is written.

        Closing a socket with unread input resets the connection, and so does input that arrives afterwards.
        The reset would cut off a response in transit. If there may be one, only the sending side is closed,
        and the client ends the connection.
        """
        is_writing = self._transport.get_write_buffer_size() > 0
        in_transit = is_writing or self._socket.has_unacknowledged_output()
        if self.reading_stopped and (in_transit or self._socket.has_unread_input()):
            self.end_sending()
        else:
            self._transport.close()

    def end_sending(self) -> None:
        """Close the sending side once everything is written."""
        with suppress(OSError):  # the client has just reset the connection; the loop reports that
            self._transport.write_eof()

    def record_rejection(self, request_id: bytes, error: HttpError) -> None:
        """Log a request that the connection rejects by itself.

        Args:
            request_id: The client's id of the request; empty if it was not received.
            error: The response.
        """
        event_log = self._context.event_log
        if event_log.enabled:
            logged_id = request_id[:MAX_LOGGED_ID_LENGTH].decode("latin-1")
            event_log.record(RequestRejected(id=logged_id, status=error.status, reason=error.reason))

    def record(self, reason: CloseReason, state: ConnectionState, queue: RequestQueue) -> None:
        """Log why the proxy closes the connection, and report received requests that get no response."""
        event_log = self._context.event_log
        if event_log.enabled:
            event_log.record(
                ConnectionClosed(
                    reason=reason,
                    state=state.name,
                    queued=len(queue),
                    unwritten=self._transport.get_write_buffer_size(),
                    peer=str(self._transport.get_extra_info("peername")),
                )
            )
        if reason is CloseReason.CLIENT_DISCONNECTED:
            return
        for request in queue.requests():
            self._context.monitor.report(Invariant.DROPPED_UNANSWERED, request.request_id)
