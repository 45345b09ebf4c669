"""What the operating system knows of a client's socket that the event loop has not read yet.

It owns the socket's poller. It neither reads nor writes: the connection does, through its transport.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

#: What the system reports of a socket whose peer has closed it, or has closed its sending side.
DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ClientSocket:
    """Polls one client's socket without waiting."""

    __slots__ = ("_poller", "_transport")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._poller = select.poll()
        self._poller.register(transport.get_extra_info("socket"), select.POLLIN | select.POLLRDHUP)

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if that has not been read yet.

        While the event loop was busy, or behind bytes that are still unread, a close waits in the socket.
        Asking the system for it avoids attempts at backends that no client waits for. A client that closes
        only its sending side looks the same, and counts as disconnected too.
        """
        return self._transport.is_closing() or bool(self._events() & DISCONNECT_EVENTS)

    def has_unread_input(self) -> bool:
        """Return whether the client has sent bytes that have not been read."""
        return not self._transport.is_closing() and bool(self._events() & select.POLLIN)

    def _events(self) -> int:
        return sum(events for _, events in self._poller.poll(0))
