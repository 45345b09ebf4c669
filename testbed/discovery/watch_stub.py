"""A stub of discovery whose endpoint list never changes: each watch gets a snapshot, then keepalive lines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import orjson

from testbed.loopback import HOST, port_of

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from testbed.discovery.entry import EndpointUpdate

KEEPALIVE_INTERVAL = 2.0  # seconds


class StaticWatch(asyncio.Protocol):
    """One watch of an endpoint list that never changes."""

    def __init__(self, snapshot: EndpointUpdate) -> None:
        self._snapshot_line = orjson.dumps(snapshot) + b"\n"
        self._loop = asyncio.get_running_loop()
        self._keepalive: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, _data: bytes) -> None:
        """Respond to the request, which arrives in one piece; its parameters make no difference."""
        if self._keepalive is None:
            self._transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._send(self._snapshot_line)

    def _send(self, line: bytes) -> None:
        self._transport.write(b"%x\r\n%b\r\n" % (len(line), line))
        self._keepalive = self._loop.call_later(KEEPALIVE_INTERVAL, self._send, b"\n")

    def connection_lost(self, _exc: Exception | None) -> None:
        """Stop the keepalive lines."""
        if self._keepalive is not None:
            self._keepalive.cancel()


async def serve_snapshot(stack: AsyncExitStack, snapshot: EndpointUpdate) -> int:
    """Serve an endpoint list until the stack ends; return the port."""
    server = await asyncio.get_running_loop().create_server(lambda: StaticWatch(snapshot), HOST, 0)
    stack.callback(server.close)
    return port_of(server)
