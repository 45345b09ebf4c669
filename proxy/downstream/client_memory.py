"""Divides the memory for clients' requests and responses fairly between their connections.

A connection may always use its fair share, so that other clients can't stop small requests from being served.
Beyond it, connections use what is left of the budget. When the budget is used up, memory is taken back from
the clients that use it longest without need: first from requests that are read slowly, then from responses
that are not being read. This module owns the buffer that all connections read into.
"""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from math import inf
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from proxy.downstream import timeouts
from proxy.downstream.connection_state import CloseReason
from proxy.downstream.errors import HttpError
from proxy.downstream.eviction import EvictableConnection
from proxy.http_common import READ_BUFFER_BYTES
from proxy.log import RateLimit

if TYPE_CHECKING:
    from proxy.downstream.eviction import ConnectionRegistry
    from proxy.memory_budget import MemoryBudget

logger = logging.getLogger(__name__)

MIN_FAIR_SHARE = 2 << 10  # bytes; enough for a small request
FAIR_SHARE_FRACTION = 0.25  # of the budget, for the fair shares of all connections together
MIN_READ_BYTES = 2 << 10  # bytes that a connection reads at once while memory is short
SLOW_REQUEST_AGE = 0.25  # seconds; a well-behaved client sends the largest request in less
SLOW_RESPONSE_AGE = 1.0  # seconds; a well-behaved client reads the largest response in less
MAX_SEARCH_RATE = 100.0  # searches for slow clients per second: each one examines many connections


class BufferingConnection(EvictableConnection, Protocol):
    """A connection with buffers."""

    def buffered_bytes(self) -> int:
        """Return the bytes that the connection buffers for its client."""


ConnectionT = TypeVar("ConnectionT", bound=BufferingConnection)


class ClientMemory(Generic[ConnectionT]):
    """The memory of all connections of a listener.

    Attributes:
        read_buffer: The buffer that every connection reads into; its content is valid during one callback.
        budget: The limit that clients share with backends.
        fair_share: The bytes that a connection may buffer even if the budget is used up.
    """

    def __init__(self, budget: MemoryBudget, connections: ConnectionRegistry[ConnectionT]) -> None:
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.budget = budget
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._search_at = 0.0  # the event loop's time from which slow clients are searched for again
        self._disconnected = 0  # slow clients since the last log line
        self._log_limit = RateLimit()
        budget.on_shortage = self._disconnect_slow_clients
        self.update_fair_share()

    def update_fair_share(self) -> None:
        """Adapt the fair share to the budget's limit."""
        shares = FAIR_SHARE_FRACTION * self.budget.limit
        self.fair_share = max(MIN_FAIR_SHARE, int(shares / self._connections.max_connections))

    def next_read_buffer(self) -> memoryview:
        """Return the buffer for the next bytes of a connection, short if there is little memory left."""
        free = self.budget.limit - self.budget.reserved
        return self.read_buffer[: max(MIN_READ_BYTES, free)]

    def allows(self, connection: ConnectionT, buffered: int) -> bool:
        """Return whether a connection may buffer a number of bytes, which are counted already.

        Args:
            connection: The connection, which is not disconnected itself.
            buffered: The number of bytes.
        """
        if buffered <= self.fair_share or self.budget.missing() <= 0:
            return True
        if (now := self._loop.time()) >= self._search_at:
            self._search_at = now + 1.0 / MAX_SEARCH_RATE
            self._disconnect_slow_clients(written_before=now - SLOW_RESPONSE_AGE, spared=connection)
        return self.budget.missing() <= 0

    def make_room_for_response(self, connection: ConnectionT) -> None:
        """Disconnect slow clients until the budget is not exceeded.

        Args:
            connection: The connection whose response has just been written; it is not disconnected.
        """
        self._disconnect_slow_clients(spared=connection)

    def _disconnect_slow_clients(
        self, size: int = 0, *, written_before: float = inf, spared: ConnectionT | None = None
    ) -> None:
        """Disconnect clients until bytes are free: first those that send slowly, then those that do not read.

        Args:
            size: The number of bytes.
            written_before: The event loop's time; clients whose response was written later are not
                disconnected for not reading it.
            spared: A connection that is not disconnected.
        """
        if self.budget.missing(size) > 0:
            self._reject_slow_requests(size, spared)
            self._abort_unread_responses(size, written_before, spared)

    def _reject_slow_requests(self, size: int, spared: ConnectionT | None) -> None:
        """Reject requests that are read slowly and exceed their share, until `size` bytes are free."""
        began_before = self._loop.time() + timeouts.REQUEST_TIMEOUT - SLOW_REQUEST_AGE
        for connection, deadline in tuple(self._connections.reading.items()):
            if self.budget.missing(size) <= 0:
                return
            is_slow = deadline <= began_before and connection is not spared
            if is_slow and connection.buffered_bytes() > self.fair_share:
                self._count_disconnected()
                connection.reject(HttpError(HTTPStatus.SERVICE_UNAVAILABLE, "the request came too slowly"))

    def _abort_unread_responses(self, size: int, written_before: float, spared: ConnectionT | None) -> None:
        """Abort connections whose client has not read its response, oldest first, until bytes are free."""
        for connection, written_at in tuple(self._connections.writing.items()):
            if self.budget.missing(size) <= 0 or written_at > written_before:
                return
            if connection is not spared:
                self._abort(connection)

    def _abort(self, connection: ConnectionT) -> None:
        self._count_disconnected()
        connection.abort(CloseReason.NOT_READING)

    def _count_disconnected(self) -> None:
        self._disconnected += 1
        if self._log_limit.allows(self._loop.time()):
            logger.warning(
                "memory: %d of %d bytes buffered, %d slow clients disconnected",
                self.budget.reserved,
                self.budget.limit,
                self._disconnected,
            )
            self._disconnected = 0
