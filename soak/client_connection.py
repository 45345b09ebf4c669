"""A client's connection to a proxy: writing requests, reading responses, closing."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from testbed.http_messages import END_OF_HEAD, content_length, read_headers
from testbed.loopback import HOST, reset_on_close

SLOW_READ_BYTES = 20_000  # bytes of one read of a slow reader
SLOW_READ_PAUSE = 0.02  # seconds between two reads of a slow reader
SMALL_RECEIVE_BUFFER = 4096  # bytes of a slow reader's receive buffer


@dataclass(slots=True, frozen=True)
class Response:
    """One response as a client received it.

    Attributes:
        status: The status code.
        body: The body.
        keeps_connection: Whether the connection stays open after the response.
    """

    status: int
    body: bytes
    keeps_connection: bool


class ClientConnection:
    """One connection to a proxy.

    Attributes:
        reader: Reads from the connection.
        writer: Writes to the connection.
        has_served: Whether it has carried a complete response.
        response_began: Whether the head of the latest response was read.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.has_served = False
        self.response_began = False

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        reset_on_close(self.writer.get_extra_info("socket"))
        self.writer.transport.abort()

    async def send(self, data: bytes) -> None:
        """Write bytes, and wait until the write buffer has room again.

        Raises:
            OSError: The connection has ended.
        """
        self.writer.write(data)
        await self.writer.drain()

    async def has_received(self) -> bool:
        """Return whether any byte of the latest response has come; nothing can be read afterwards."""
        try:
            async with asyncio.timeout(0.0):
                return self.response_began or bool(await self.reader.read(1))
        except OSError:  # includes TimeoutError
            return False

    async def read_response(self, *, slowly: bool) -> Response:
        """Read the next response.

        Args:
            slowly: Whether to pause between reads.

        Raises:
            OSError: The connection was reset.
            asyncio.IncompleteReadError: The connection was closed before the response was complete.
        """
        self.response_began = False
        head = await self.reader.readuntil(END_OF_HEAD)
        self.response_began = True
        headers = read_headers(head)
        remaining = content_length(headers)
        body = b""
        while remaining:
            piece = await self.reader.readexactly(min(remaining, SLOW_READ_BYTES) if slowly else remaining)
            remaining -= len(piece)
            body += piece
            if slowly:
                await asyncio.sleep(SLOW_READ_PAUSE)
        return Response(int(head.split(None, 2)[1]), body, headers.get(b"connection") != b"close")


async def open_client_connection(port: int, *, small_buffer: bool) -> ClientConnection:
    """Open a connection to a proxy.

    Args:
        port: The port of the proxy.
        small_buffer: Whether the connection has a small receive buffer.

    Raises:
        OSError: The connection can't be established.
    """
    sock = socket.socket()
    sock.settimeout(0.0)  # the event loop requires a non-blocking socket
    if small_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    return ClientConnection(*await asyncio.open_connection(sock=sock))
