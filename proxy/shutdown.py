"""Graceful shutdown: what happens between SIGTERM and the end of the process.

Owns whether the process is ending, and the times that go with it. Does not own the connections: the listener
does.
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
MAX_ACCEPT_TIME = 0.6  # seconds after SIGTERM from which none is accepted
READ_TIME = 0.02  # seconds to read what has come on connections that were accepted last
KILL_DELAY = 0.7  # seconds after SIGTERM and the longest deadline at which SIGKILL may come
MAX_DEADLINE = 3.0  # seconds: a longer deadline counts as this for SIGKILL
KILL_MARGIN = 0.1  # seconds before that by which what was taken late is answered
ACCEPT_POLL_INTERVAL = 0.02  # seconds between two looks at whether connections still come
CONNECTION_POLL_INTERVAL = 0.01  # seconds between two looks at whether connections are left


class GracefulShutdown:
    """Ends the proxy: takes what is still coming, answers all that was taken, closes the connections."""

    def __init__(self, listener: Listener, dispatcher: Dispatcher) -> None:
        self._listener = listener
        self._dispatcher = dispatcher
        self._has_begun = False

    def has_begun(self) -> bool:
        """Return whether the process has been told to end."""
        return self._has_begun

    async def run(self, listening_socket: socket.socket) -> None:
        """Shut down, and return once no client's connection is left."""
        loop = asyncio.get_running_loop()
        self._has_begun = True
        self._listener.begin_draining()
        began_at = loop.time()
        await self._accept_late_connections(began_at)
        await self._listener.stop_listening(listening_socket)
        await asyncio.sleep(READ_TIME)
        # A request may become complete only from here on. SIGKILL may come before its own time is up.
        killed_at = began_at + min(self._listener.config.longest_deadline, MAX_DEADLINE) + KILL_DELAY
        self._dispatcher.limit_deadlines(killed_at - KILL_MARGIN)
        self._listener.stop_keepalive()
        while self._listener.connections.open:
            await asyncio.sleep(CONNECTION_POLL_INTERVAL)
            self._listener.close_abandoned()

    async def _accept_late_connections(self, began_at: float) -> None:
        """Go on accepting what is on its way: the clients' side sends connections here for a moment more."""
        loop = asyncio.get_running_loop()
        while (elapsed := loop.time() - began_at) < MAX_ACCEPT_TIME:
            if elapsed >= MIN_ACCEPT_TIME and loop.time() - self._listener.last_accepted_at >= QUIET_TIME:
                return
            await asyncio.sleep(ACCEPT_POLL_INTERVAL)
