"""Graceful shutdown, from SIGTERM or SIGINT to the end of the process.

It owns the state of the shutdown and its time limits. The listener owns the connections.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

    from proxy.dispatcher import Dispatcher
    from proxy.downstream.listener import Listener

MIN_ACCEPT_TIME = 0.45  # seconds after SIGTERM during which new connections are always accepted
QUIET_TIME = 0.1  # seconds without a new connection after which no further connection is expected
MAX_ACCEPT_TIME = 0.6  # seconds after SIGTERM after which no connection is accepted
READ_TIME = 0.02  # seconds for reading the input of the connections accepted last

#: SIGKILL may follow SIGTERM after the longest deadline of a class plus this many seconds.
KILL_DELAY = 0.7

MAX_DEADLINE = 3.0  # seconds; a longer deadline does not delay SIGKILL any further
KILL_MARGIN = 0.1  # seconds before SIGKILL by which requests that arrived late get a response
ACCEPT_POLL_INTERVAL = 0.02  # seconds between two checks for new connections
CONNECTION_POLL_INTERVAL = 0.01  # seconds between two checks for remaining connections


class GracefulShutdown:
    """Shuts down: accepts connections for a short time, responds to all requests, closes the connections."""

    def __init__(self, listener: Listener, dispatcher: Dispatcher) -> None:
        self._listener = listener
        self._dispatcher = dispatcher
        self._has_started = False

    def has_started(self) -> bool:
        """Return whether the process is shutting down."""
        return self._has_started

    async def run(self, listening_socket: socket.socket) -> None:
        """Shut down, and return when no client connection is left.

        Args:
            listening_socket: The socket that accepts client connections.
        """
        loop = asyncio.get_running_loop()
        self._has_started = True
        self._listener.begin_draining()
        began_at = loop.time()
        await self._accept_late_connections(began_at)
        await self._listener.stop_listening(listening_socket)
        await asyncio.sleep(READ_TIME)
        # A request that is complete only from now on may have a deadline after SIGKILL.
        earliest_kill_at = began_at + min(self._listener.config.longest_deadline, MAX_DEADLINE) + KILL_DELAY
        self._dispatcher.limit_deadlines(earliest_kill_at - KILL_MARGIN)
        self._listener.stop_keepalive()
        while self._listener.connections.open:
            await asyncio.sleep(CONNECTION_POLL_INTERVAL)
            self._listener.close_disconnected()

    async def _accept_late_connections(self, began_at: float) -> None:
        """Accept connections for a short time, because clients notice the shutdown with a delay."""
        loop = asyncio.get_running_loop()
        while (elapsed := loop.time() - began_at) < MAX_ACCEPT_TIME:
            if elapsed >= MIN_ACCEPT_TIME and loop.time() - self._listener.last_accepted_at >= QUIET_TIME:
                return
            await asyncio.sleep(ACCEPT_POLL_INTERVAL)
