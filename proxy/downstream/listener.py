"""Accepts the connections of clients, and reports whether this proxy is healthy.

It owns the listening socket, the health state, the clients' side of a graceful shutdown, and the memory that
all connections share. `connection` handles one connection; `eviction` selects which ones to close when there
are too many.
"""

from __future__ import annotations

import asyncio
import socket
from math import inf
from typing import TYPE_CHECKING

from proxy.downstream.acceptor import Acceptor
from proxy.downstream.client_memory import ClientMemory
from proxy.downstream.connection import DownstreamConnection
from proxy.downstream.connection_state import CloseReason
from proxy.downstream.eviction import ConnectionRegistry

if TYPE_CHECKING:
    from collections.abc import Callable

    from proxy.config import Config
    from proxy.downstream.classification import ClassifiedRequest
    from proxy.downstream.client_request import ClientRequest
    from proxy.event_log import EventLog
    from proxy.invariants import InvariantMonitor
    from proxy.memory_budget import MemoryBudget
    from proxy.response_sink import ResponseSink

LISTEN_BACKLOG = 1024  # connections in the accept queue


class Listener:
    """The proxy's address for clients, and all connections accepted on it.

    Attributes:
        config: The configuration in force.
        version: The version of the configuration, as `/healthz` shows it.
        on_request: Called with each request that has to be forwarded, its properties for the balancer, and
            the sink for its response.
        monitor: Counts requests that get no response because their connection is closed.
        event_log: Records why connections are closed.
        connections: All open connections and their deadlines.
        ready: Whether the endpoint list is loaded.
        serving: Whether the listener accepts connections and is not draining.
        closing_since: The event loop's time from which responses close their connection; infinite until
            `stop_keepalive` is called.
        last_accepted_at: The event loop's time at which the latest connection was accepted.
        memory: The memory that all connections share.
    """

    def __init__(
        self,
        config: Config,
        max_connections: int,
        memory: MemoryBudget,
        on_request: Callable[[ClientRequest, ClassifiedRequest, ResponseSink], None],
        monitor: InvariantMonitor,
        event_log: EventLog,
    ) -> None:
        self.config = config
        self.version = config.version(1)
        self.monitor = monitor
        self.event_log = event_log
        self.on_request = on_request
        self.connections: ConnectionRegistry[DownstreamConnection] = ConnectionRegistry(max_connections)
        self.ready = False
        self.serving = False
        self.closing_since = inf
        self.last_accepted_at = 0.0
        self.memory = ClientMemory(memory, self.connections)
        self._socket: socket.socket | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def buffered_bytes(self) -> int:
        """The bytes that are buffered for all clients and backends."""
        return self.memory.budget.reserved

    def apply_config(self, config: Config, version: str) -> None:
        """Classify requests that are received from now on by another configuration."""
        self.config = config
        self.version = version

    def mark_ready(self) -> None:
        """Record that the endpoint list is loaded: the health check may succeed from now on."""
        self.ready = True

    def begin_draining(self) -> None:
        """Fail the health check from now on; requests that arrive are still served."""
        self.serving = False

    def is_healthy(self) -> bool:
        """Return whether clients should send requests to this proxy."""
        return self.ready and self.serving

    def bind(self) -> socket.socket:
        """Bind to the configured address; connections are queued there until `listen` accepts them."""
        sock = self._socket = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.config.listen)
        sock.listen(LISTEN_BACKLOG)
        return sock

    async def listen(self) -> socket.socket:
        """Accept connections, and return the listening socket."""
        sock = self._socket or self.bind()
        self._acceptor = Acceptor(sock, lambda: DownstreamConnection(self))
        self._acceptor.start()
        self.serving = True
        return sock

    async def stop_listening(self, sock: socket.socket) -> None:
        """Accept the queued connections, then close the socket, which resets those still in the queue."""
        await self._acceptor.accept_queued()
        sock.close()

    def stop_keepalive(self) -> None:
        """Close each connection with its next response, and immediately if no response is pending.

        Received requests get their responses first. Connections with a pending response stop reading: a
        further request would need a response too, whereas a client whose connection is closed sends the
        request to another proxy.
        """
        self.closing_since = self._loop.time()
        for connection in tuple(self.connections.open):
            connection.begin_closing()

    def close_disconnected(self) -> None:
        """Close connections whose client has disconnected unnoticed, because reading has stopped."""
        for connection in tuple(self.connections.open):
            if connection.closer.has_unread_disconnect():
                connection.abort(CloseReason.CLIENT_DISCONNECTED)
