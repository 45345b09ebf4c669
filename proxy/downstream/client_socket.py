"""What the system knows of a client's socket that the event loop has not read, and what is still unwritten.

It owns the socket's poller and how much was unwritten when that was last looked at. It reads and writes
nothing: the connection does, through its transport.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

#: What the system reports of a socket whose peer has closed it, or has ended its sending.
DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ClientSocket:
    """Answers questions about one client's socket at once, without waiting."""

    __slots__ = ("_poller", "_transport", "_unwritten_bytes", "_written_since")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._poller = select.poll()
        self._poller.register(transport.get_extra_info("socket"), select.POLLIN | select.POLLRDHUP)
        self._unwritten_bytes = 0
        self._written_since = 0.0  # the loop's time at which the latest response was written

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, whether or not that was read yet.

        While the loop was busy, or behind bytes that are still unread, a close waits in the socket; asking
        the system for it keeps attempts for nobody away from backends. A client that ends only its sending
        looks the same, and counts as disconnected too.
        """
        return self._transport.is_closing() or bool(self._events() & DISCONNECT_EVENTS)

    def has_unread_input(self) -> bool:
        """Return whether something has come that was not read."""
        return not self._transport.is_closing() and bool(self._events() & select.POLLIN)

    def is_writing(self) -> bool:
        """Return whether a part of a response is not written yet: the client reads it slowly."""
        return self._transport.get_write_buffer_size() > 0

    def note_response(self, now: float) -> None:
        """Remember that a response was written at the loop's time `now`, maybe in part."""
        self._written_since = now
        self._unwritten_bytes = self._transport.get_write_buffer_size()

    def has_read_progress(self, now: float, longest_deadline: float) -> bool:
        """Return whether the client has read more of a response since the last call, and may want the rest.

        Args:
            now: The loop's time.
            longest_deadline: Seconds that any client waits: later than that the rest is of no use.
        """
        before, self._unwritten_bytes = self._unwritten_bytes, self._transport.get_write_buffer_size()
        return 0 < self._unwritten_bytes < before and now < self._written_since + longest_deadline

    def _events(self) -> int:
        return sum(found for _, found in self._poller.poll(0))
