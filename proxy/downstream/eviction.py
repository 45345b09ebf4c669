"""Closes clients' connections that exceed their time limit, and evicts some when there are too many.

It owns the set of open connections, the limit on their number, and the deadlines of the connections, except
where the request being served has a deadline itself. It does not change a connection's state: it calls the
connection's `abort` or `reject`, which do.
"""

from __future__ import annotations

import asyncio
import itertools
from http import HTTPStatus
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from proxy.downstream import timeouts
from proxy.downstream.connection_state import (
    CLOSING,
    IDLE,
    NEW,
    READING,
    WAITING,
    CloseReason,
    ConnectionState,
)
from proxy.downstream.errors import HttpError

if TYPE_CHECKING:
    from proxy.downstream.response_writer import ResponseWriter

SHORTAGE_FRACTION = 0.5  # of `max_connections`; above it, idle connections are closed earlier
EXTRA_READING_CONNECTIONS = 8  # allowed above the limit while their requests are read: most soon complete


class EvictableConnection(Protocol):
    """The parts of a connection that the registry uses.

    Attributes:
        writer: Writes its responses.
    """

    writer: ResponseWriter

    def update_unwritten(self) -> None:
        """Update how much of its responses the client has not read."""

    def has_read_progress(self) -> bool:
        """Return whether the client has read more of a response since the last call."""

    def abort(self, reason: CloseReason) -> None:
        """Close the connection immediately."""

    def reject(self, error: HttpError) -> None:
        """Respond to the current request with an error, and close the connection."""


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


class ConnectionRegistry(Generic[ConnectionT]):
    """The open connections of one listener, and their deadlines in the states that have a time limit.

    Each mapping of deadlines has the connections in the order in which they entered the state, with the event
    loop's time at which the connection is closed.

    Attributes:
        max_connections: The limit on open connections; it can be exceeded for a short time while requests are
            read.
        open: All connections that use a descriptor, in any state.
        new, reading, idle, waiting, closing: The deadlines of the connections in the state of that name, in
            the order of eviction. Connections in `waiting` have a pending response, and are not evicted.
        writing: The connections whose client has not read all of its responses, in the order in which that
            began, with the event loop's time of the last write.
        deadlines_by_state: The same five mappings, indexed by `ConnectionState`. None for SERVING, where the
            request has a deadline itself, and for CLOSED.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.open: set[ConnectionT] = set()
        self.new: dict[ConnectionT, float] = {}
        self.reading: dict[ConnectionT, float] = {}
        self.idle: dict[ConnectionT, float] = {}
        self.waiting: dict[ConnectionT, float] = {}
        self.closing: dict[ConnectionT, float] = {}
        self.writing: dict[ConnectionT, float] = {}
        by_state = {
            NEW: self.new,
            READING: self.reading,
            IDLE: self.idle,
            WAITING: self.waiting,
            CLOSING: self.closing,
        }
        self.deadlines_by_state = tuple(by_state.get(state) for state in ConnectionState)
        self._loop = asyncio.get_running_loop()
        self._loop.call_later(timeouts.SWEEP_INTERVAL, self._sweep)

    def admit(self, connection: ConnectionT, *, request_complete: bool = False) -> bool:
        """Evict another connection if there are too many; return whether the connection may be served.

        The order of eviction spares well-behaved clients for as long as possible: closing connections; the
        oldest new connection, if it has sent nothing within `NEW_CONNECTION_GRACE`; idle ones; new ones; and
        last, those whose request is being read. A connection whose response is still being written is never
        evicted: the response would be truncated.

        Args:
            connection: The connection to admit; it is not evicted itself.
            request_complete: Whether it has sent a complete request. A connection whose request is being read
                is evicted only in this case, or far above the limit: otherwise many requests that never
                become complete would displace complete ones and use up all descriptors.
        """
        excess = len(self.open) - self.max_connections
        if excess <= 0:
            return True
        silent_before = self._loop.time() + timeouts.FIRST_REQUEST_TIMEOUT - timeouts.NEW_CONNECTION_GRACE
        oldest_new = itertools.islice(self.new.items(), 1)
        silent = [candidate for candidate, deadline in oldest_new if deadline < silent_before]
        reading = self.reading if request_complete or excess > EXTRA_READING_CONNECTIONS else ()
        for candidates in (self.closing, silent, self.idle, self.new, reading):
            for candidate in candidates:
                if candidate is not connection and not candidate.writer.is_writing():
                    candidate.abort(CloseReason.EVICTED)
                    return True
        return False

    def _sweep(self) -> None:
        """Close the connections whose deadline has passed.

        Otherwise clients that never complete a request, or never close their connection, would use up
        descriptors and memory.
        """
        self._loop.call_later(timeouts.SWEEP_INTERVAL, self._sweep)
        now = self._loop.time()
        for connection in tuple(self.writing):
            connection.update_unwritten()
        descriptors_are_short = len(self.open) > SHORTAGE_FRACTION * self.max_connections
        idle_advance = timeouts.IDLE_TIMEOUT - timeouts.MIN_IDLE_TIMEOUT if descriptors_are_short else 0.0
        advance_by_state = (
            (self.closing, 0.0),
            (self.new, 0.0),
            (self.idle, idle_advance),
            (self.waiting, idle_advance),
        )
        for deadlines, advance in advance_by_state:
            for connection in _overdue(deadlines, now, advance):
                if connection.has_read_progress():
                    deadlines[connection] = now + advance + timeouts.WRITING_TIMEOUT
                else:
                    connection.abort(CloseReason.TIMED_OUT)
        for connection in _overdue(self.reading, now):
            connection.reject(HttpError(HTTPStatus.REQUEST_TIMEOUT, "the request took too long"))


def _overdue(deadlines: dict[ConnectionT, float], now: float, advance: float = 0.0) -> list[ConnectionT]:
    """Return the connections whose deadline has passed, or passes within the next `advance` seconds."""
    return [connection for connection, deadline in deadlines.items() if deadline - advance <= now]
