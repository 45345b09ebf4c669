"""Which connections of clients are closed when they take too long, or when there are too many of them.

It owns the set of open connections, the deadline of each that owes no response, and the limits. It does not
change a connection's state: it asks the connection to abort or to reject, and the connection moves itself.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

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
    from proxy.downstream.connection import DownstreamConnection

FIRST_REQUEST_TIMEOUT = 2.0  # seconds from connecting to the first complete request: 3 is the protocol's most
REQUEST_TIMEOUT = 2.0  # seconds from the first byte of a later request to its last one
IDLE_TIMEOUT = 10.0  # seconds without a request after which a connection that has sent some is closed
MIN_IDLE_TIMEOUT = 2.0  # seconds, where it has sent none or connections run short: clients may count on them
CLOSING_TIMEOUT = 2.0  # seconds that a closing connection may take until the client has closed it too
WRITING_TIMEOUT = 2.0  # seconds in which a client has to read a part of the response that is being written
SETTLING_TIME = 0.05  # seconds in which the first bytes of a new connection may still be on their way
SWEEP_INTERVAL = 0.25  # seconds between two looks at the deadlines
SHORTAGE_THRESHOLD = 0.5  # part of the limit on connections above which they count as running short
EXTRA_READING_CONNECTIONS = 8  # beyond the limit, while parts of their requests have come: most soon complete

#: Connections in one state, oldest first, each with the loop's time at which it is closed.
Deadlines = dict["DownstreamConnection", float]


class ConnectionRegistry:
    """The open connections of one listener, and the deadlines of those that owe no response.

    Attributes:
        open: All connections that hold a descriptor, in whatever state.
        new, reading, idle, waiting, closing: The connections in that state. Insertion order is the order of
            eviction; those that wait owe an answer, and are not evicted.
        deadlines_by_state: The same five, at the position that `ConnectionState` gives. None for SERVING,
            where the request has a deadline of its own, and for CLOSED.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.open: set[DownstreamConnection] = set()
        self.new: Deadlines = {}
        self.reading: Deadlines = {}
        self.idle: Deadlines = {}
        self.waiting: Deadlines = {}
        self.closing: Deadlines = {}
        by_state = {
            NEW: self.new,
            READING: self.reading,
            IDLE: self.idle,
            WAITING: self.waiting,
            CLOSING: self.closing,
        }
        self.deadlines_by_state = tuple(by_state.get(state) for state in ConnectionState)
        self._loop = asyncio.get_running_loop()
        self._loop.call_later(SWEEP_INTERVAL, self._sweep)

    def make_room(self, newcomer: DownstreamConnection, request_complete: bool = False) -> bool:
        """Keep to the limit on connections by closing one that is of no use; return whether there is room.

        Clients that behave well are kept for as long as possible. So the order is: closing, the oldest one
        where it is silent since it connected, idle, new, and last one whose request is being read. None is
        closed whose response is still being written: it would be cut.

        Args:
            newcomer: The connection to make room for; it is not closed itself.
            request_complete: Whether it has sent a complete request. Only for such a one, or further beyond
                the limit, is a connection closed whose request is being read: many requests that never become
                complete would otherwise keep out the complete ones and take all descriptors.
        """
        excess = len(self.open) - self.max_connections
        if excess <= 0:
            return True
        settled = self._loop.time() + FIRST_REQUEST_TIMEOUT - SETTLING_TIME
        oldest = itertools.islice(self.new.items(), 1)
        silent = [connection for connection, deadline in oldest if deadline < settled]
        reading = self.reading if request_complete or excess > EXTRA_READING_CONNECTIONS else ()
        for candidates in (self.closing, silent, self.idle, self.new, reading):
            for connection in candidates:
                if connection is not newcomer and not connection.is_writing():
                    connection.abort(CloseReason.EVICTED)
                    return True
        return False

    def _sweep(self) -> None:
        """Close what is past its deadline.

        Clients that never end what they began would otherwise hold descriptors and memory for ever.
        """
        self._loop.call_later(SWEEP_INTERVAL, self._sweep)
        now = self._loop.time()
        running_short = len(self.open) > SHORTAGE_THRESHOLD * self.max_connections
        idle_advance = IDLE_TIMEOUT - MIN_IDLE_TIMEOUT if running_short else 0.0
        limited = (
            (self.closing, 0.0),
            (self.new, 0.0),
            (self.idle, idle_advance),
            (self.waiting, idle_advance),
        )
        for deadlines, advance in limited:
            for connection in _overdue(deadlines, now, advance):
                if connection.is_read_on():
                    deadlines[connection] = now + advance + WRITING_TIMEOUT
                else:
                    connection.abort(CloseReason.TIMED_OUT)
        for connection in _overdue(self.reading, now):
            connection.reject(HttpError(408, "the request took too long"))


def _overdue(deadlines: Deadlines, now: float, advance: float = 0.0) -> list[DownstreamConnection]:
    """Return the connections whose deadline, brought forward by `advance` seconds, has come."""
    return [connection for connection, deadline in deadlines.items() if deadline - advance <= now]
