"""How the proxy ends one client's connection: on the wire, in the event log, and in the run-time checks.

It owns whether reading has stopped. When and why a connection is closed, and its state, are up to
`connection`.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from proxy.downstream.connection_state import CloseReason, ConnectionState
from proxy.invariants import Invariant
from proxy.logged_events import ConnectionClosed

if TYPE_CHECKING:
    import asyncio

    from proxy.downstream.client_socket import ClientSocket
    from proxy.downstream.request_queue import RequestQueue
    from proxy.event_log import EventLog
    from proxy.invariants import InvariantMonitor


class CloseObserver(Protocol):
    """What is notified of closed connections.

    Attributes:
        event_log: Receives the reason of each close.
        monitor: Receives the requests that get no answer.
    """

    event_log: EventLog
    monitor: InvariantMonitor


class ConnectionCloser:
    """Ends one client's connection without cutting off a response that is still in transit.

    Attributes:
        reading_stopped: Whether nothing more is read: the proxy is shutting down, and a response is pending.
    """

    __slots__ = ("_observer", "_socket", "_transport", "reading_stopped")

    def __init__(self, transport: asyncio.Transport, socket: ClientSocket, observer: CloseObserver) -> None:
        self._transport = transport
        self._socket = socket
        self._observer = observer
        self.reading_stopped = False

    def stop_reading(self) -> None:
        """Leave unread what the client sends from now on."""
        self.reading_stopped = True
        self._transport.pause_reading()

    def has_unread_disconnect(self) -> bool:
        """Return whether the client has disconnected, where reading has stopped and would not show it."""
        return self.reading_stopped and not self._transport.is_closing() and self._socket.has_disconnected()

    def close(self) -> None:
        """Close the transport once everything is written.

        Closing it with unread input would reset the connection, and cut off a response in transit. So if
        there is unread input, only the sending side is closed now; the client's close ends the connection.
        """
        is_writing = self._transport.get_write_buffer_size() > 0
        if self.reading_stopped and (is_writing or self._socket.has_unread_input()):
            self.end_sending()
        else:
            self._transport.close()

    def end_sending(self) -> None:
        """Close the sending side once everything is written."""
        with suppress(OSError):  # the client has just reset the connection, which the loop reports by itself
            self._transport.write_eof()

    def record(self, reason: CloseReason, state: ConnectionState, queue: RequestQueue) -> None:
        """Log why the proxy closes the connection, and report received requests that get no answer."""
        log = self._observer.event_log
        if log.enabled:
            log.record(
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
            request_id = request.headers.get(b"x-request-id", b"")
            self._observer.monitor.report(Invariant.DROPPED_UNANSWERED, request_id)
