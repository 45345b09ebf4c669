"""Watches that read and discard, to load a registry at next to no cost of their own.

It owns the connections; what the registry spends on them is measured there.
"""

from __future__ import annotations

import asyncio

from testbed.loopback import HOST

WATCH_REQUEST = b"GET /v1/servers?follow=1&since=0 HTTP/1.1\r\nHost: %b\r\n\r\n" % HOST.encode()


class DiscardingWatch(asyncio.Protocol):
    """A watch that counts what it receives and forgets it."""

    def __init__(self) -> None:
        self.received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the watch."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(WATCH_REQUEST)

    def data_received(self, data: bytes) -> None:
        """Count the bytes."""
        self.received_bytes += len(data)


class WatchLoad:
    """Many watches on one registry."""

    def __init__(self) -> None:
        self._watches: list[DiscardingWatch] = []

    async def open(self, port: int, count: int) -> None:
        """Open `count` more; OSError where the registry rejects a connection."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            _, watch = await loop.create_connection(DiscardingWatch, HOST, port)
            self._watches.append(watch)

    def received_bytes(self) -> int:
        """Sum the bytes received by all."""
        return sum(watch.received_bytes for watch in self._watches)
