"""Watches that discard what they receive, to load a registry at minimal cost on the client side."""

from __future__ import annotations

import asyncio

from testbed.loopback import HOST

WATCH_REQUEST = b"GET /v1/servers?follow=1&since=0 HTTP/1.1\r\nHost: %b\r\n\r\n" % HOST.encode()


class DiscardingWatch(asyncio.Protocol):
    """A watch that counts the bytes that it receives, and discards them."""

    def __init__(self) -> None:
        self.received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request that starts the watch."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(WATCH_REQUEST)

    def data_received(self, data: bytes) -> None:
        """Count the received bytes."""
        self.received_bytes += len(data)


class WatchLoad:
    """A set of watches on one registry."""

    def __init__(self) -> None:
        self._watches: list[DiscardingWatch] = []

    async def open(self, port: int, count: int) -> None:
        """Open `count` more watches; OSError if the registry rejects a connection."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            _, watch = await loop.create_connection(DiscardingWatch, HOST, port)
            self._watches.append(watch)

    def received_bytes(self) -> int:
        """Return the number of bytes that all watches have received."""
        return sum(watch.received_bytes for watch in self._watches)
