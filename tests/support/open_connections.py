"""The connections that a test and its test doubles have opened, to close them before the event loop ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

_open_writers: list[asyncio.StreamWriter] = []
_open_sockets: list[socket.socket] = []


def close_at_end(writer: asyncio.StreamWriter) -> None:
    """Close a connection at the end of the test, if it is still open."""
    _open_writers.append(writer)


def close_socket_at_end(sock: socket.socket) -> None:
    """Close a socket that belongs to no event loop at the end of the test, if it is still open."""
    _open_sockets.append(sock)


async def close_connections() -> None:
    """Close everything that was registered.

    A connection that is left to the garbage collector is closed after the event loop has ended. This raises
    an exception at an arbitrary place, and formatting its traceback there breaks a call of `ast.parse` that
    the garbage collector has interrupted.
    """
    writers, sockets = _open_writers.copy(), _open_sockets.copy()
    _open_writers.clear()
    _open_sockets.clear()
    for writer in writers:
        writer.transport.abort()
    for sock in sockets:
        sock.close()
    await asyncio.sleep(0)
