"""Graceful shutdown: what happens between SIGTERM and the end of the process.

It owns whether the process is shutting down, and the times of the shutdown. The connections belong to the
listener.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

    from proxy.dispatcher import Dispatcher
    from proxy.downstream.listener import Listener

MIN_ACCEPT_TIME = 0.45  # seconds after SIGTERM in which new connections are accepted in any case
QUIET_TIME = 0.1  # seconds without a new connection after which no more are expected
MAX_ACCEPT_TIME = 0.6  # seconds after SIGTERM from which on none is accepted
READ_TIME = 0.02  # seconds to read the input of connections that were accepted last
KILL_DELAY = 0.7  # seconds after SIGTERM and the longest deadline at which SIGKILL may follow
MAX_DEADLINE = 3.0  # seconds: for SIGKILL, a longer deadline counts as this one
KILL_MARGIN = 0.1  # seconds before SIGKILL by which requests that arrived late are answered
ACCEPT_POLL_INTERVAL = 0.02  # seconds between two checks whether connections still arrive
CONNECTION_POLL_INTERVAL = 0.01  # seconds between two checks whether connections are left


class GracefulShutdown:
    """Ends the proxy: accepts connections for a short time, answers all requests, closes the connections."""

    def __init__(self, listener: Listener, dispatcher: Dispatcher) -> None:
        self._listener = listener
        self._dispatcher = dispatcher
        self._has_started = False

    def has_started(self) -> bool:
        """Return whether the process is shutting down."""
        return self._has_started

    async def run(self, listening_socket: socket.socket) -> None:
        """Shut down, and return once no client's connection is left.

        Args:
            listening_socket: The socket that accepts clients.
        """
        loop = asyncio.get_running_loop()
        self._has_started = True
        self._listener.begin_draining()
        began_at = loop.time()
        await self._accept_late_connections(began_at)
        await self._listener.stop_listening(listening_socket)
        await asyncio.sleep(READ_TIME)
        # A request may become complete only from here on, and SIGKILL may follow before its own deadline.
        killed_at = began_at + min(self._listener.config.longest_deadline, MAX_DEADLINE) + KILL_DELAY
        self._dispatcher.limit_deadlines(killed_at - KILL_MARGIN)
        self._listener.stop_keepalive()
        while self._listener.connections.open:
            await asyncio.sleep(CONNECTION_POLL_INTERVAL)
            self._listener.close_disconnected()

    async def _accept_late_connections(self, began_at: float) -> None:
        """Accept connections for a short time more: clients learn of the shutdown with a delay."""
        loop = asyncio.get_running_loop()
        while (elapsed := loop.time() - began_at) < MAX_ACCEPT_TIME:
            if elapsed >= MIN_ACCEPT_TIME and loop.time() - self._listener.last_accepted_at >= QUIET_TIME:
                return
            await asyncio.sleep(ACCEPT_POLL_INTERVAL)
