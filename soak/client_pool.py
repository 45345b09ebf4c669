"""The idle connections of a run's clients, by proxy, and the opening of new ones."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from soak.client_connection import ClientConnection, open_client_connection

if TYPE_CHECKING:
    from soak.history import Request
    from soak.proxy_fleet import ProxyFleet

MAX_IDLE_CONNECTIONS = 6  # to each proxy


class ClientConnectionPool:
    """The idle connections of all clients."""

    def __init__(self, fleet: ProxyFleet) -> None:
        self._fleet = fleet
        self._idle: dict[int, list[ClientConnection]] = defaultdict(list)

    async def checkout(self, request: Request, *, slow_reader: bool = False) -> ClientConnection | None:
        """Return an idle connection to the request's proxy, or a new one; None if none can be opened.

        Args:
            request: The request; its `new_connection` is set if the connection is new.
            slow_reader: Whether a new connection with a small receive buffer is needed.
        """
        idle = self._idle[request.proxy]
        while idle and not slow_reader:
            connection = idle.pop()
            if connection.is_open:
                return connection
            connection.close()
        proxy = self._fleet[request.proxy]
        if not proxy.accepts_connections():
            return None
        request.new_connection = True
        try:
            return await open_client_connection(proxy.port, small_buffer=slow_reader)
        except OSError:
            return None

    def proxies_that_shut_down(self) -> list[int]:
        """Return the numbers of the proxies that shut down and still have open idle connections."""
        return [
            number
            for number, idle in self._idle.items()
            if self._fleet[number].is_shutting_down() and any(connection.is_open for connection in idle)
        ]

    def release(self, connection: ClientConnection, proxy: int) -> None:
        """Make a connection available to later requests, or close it if enough connections are idle."""
        idle = self._idle[proxy]
        if len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()

    def forget(self, proxy: int) -> None:
        """Remove the idle connections to a proxy, so that the next request opens a new one."""
        self._idle[proxy].clear()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in (each for idle in self._idle.values() for each in idle):
            connection.close()
