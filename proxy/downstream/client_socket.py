"""Polls a client's socket for input and a disconnect that the event loop has not read yet.

It owns the poller, and neither reads nor writes: the connection does so through its transport.
"""

from __future__ import annotations

import fcntl
import select
import sys
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

RESET_EVENTS = select.POLLHUP | select.POLLERR  # of a socket whose peer has reset the connection
#: The events of a socket whose peer has closed it, has closed its sending side, or has reset the connection.
DISCONNECT_EVENTS = select.POLLRDHUP | RESET_EVENTS


INT_SIZE = 4  # bytes of the integer that TIOCOUTQ writes


class ClientSocket:
    """Polls one client's socket without waiting."""

    __slots__ = ("_poller", "_transport")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._poller = select.poll()
        self._poller.register(transport.get_extra_info("socket"), select.POLLIN | select.POLLRDHUP)

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if that has not been read yet.

        The event loop does not report a close while it is busy, or while bytes before the close are unread.
        Polling the socket avoids sending attempts for which no client waits. A client that closes only its
        sending side can't be distinguished, and counts as disconnected too.
        """
        return self._transport.is_closing() or bool(self._events() & DISCONNECT_EVENTS)

    def was_reset(self) -> bool:
        """Return whether the client has reset its connection, even if that has not been read yet.

        It must not be called after the end of the connection: another socket may then have its descriptor.
        """
        return bool(self._events() & RESET_EVENTS)

    def has_unread_input(self) -> bool:
        """Return whether the client has sent bytes that have not been read."""
        return not self._transport.is_closing() and bool(self._events() & select.POLLIN)

    def has_unacknowledged_output(self) -> bool:
        """Return whether bytes that were written have not reached the client's machine."""
        if self._transport.is_closing():
            return False
        descriptor = self._transport.get_extra_info("socket").fileno()
        try:
            size = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(INT_SIZE))
        except OSError:  # the system does not report it
            return False
        return int.from_bytes(size, sys.byteorder) > 0

    def _events(self) -> int:
        return sum(events for _, events in self._poller.poll(0))
