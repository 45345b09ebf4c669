"""A burst of clients that connect to one proxy at once, and send requests slowly or only in part."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from soak.history import StalledClient
from soak.stalled_connection import wait_for_response_or_close
from testbed.loopback import HOST

if TYPE_CHECKING:
    import random

    from soak.history import History

BURST_SIZE = 300  # clients
CONNECT_TIMEOUT = 2.0  # seconds
MAX_PIECES = 4  # pieces in which a client sends its bytes
MAX_PAUSE = 0.3  # seconds between two pieces

HEAD = b"POST /api/k HTTP/1.1\r\nHost: b\r\n"
BODY = b"b" * (60 << 10)

#: Beginnings of requests that are never finished.
BEGINNINGS = (
    HEAD + b"a:b\r\n" * 2600,
    HEAD + b"a:" + b"b" * (15 << 10),
    HEAD + b"a:" + b"b" * (64 << 10),
    HEAD + b"Content-Length: %d\r\n\r\n" % (len(BODY) + 1) + BODY,
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nbb\r\n" * (len(BODY) // 2),
)


class ClientBurst:
    """The clients of one burst; the history records how their connections end."""

    def __init__(self, proxy: int, port: int, history: History, rng: random.Random) -> None:
        self._proxy, self._port, self._history, self._rng = proxy, port, history, rng

    async def run(self) -> None:
        """Connect all clients at once, and wait until the proxy has ended their connections."""
        await asyncio.gather(*(self._stall() for _ in range(BURST_SIZE)))

    async def _stall(self) -> None:
        data, pieces = self._rng.choice(BEGINNINGS), self._rng.randint(1, MAX_PIECES)
        pause = self._rng.uniform(0.0, MAX_PAUSE)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(HOST, self._port)
        except OSError:
            return
        size = len(data) // pieces + 1
        try:
            for begin in range(0, len(data), size):
                writer.write(data[begin : begin + size])
                await asyncio.sleep(pause)
        finally:
            stopped_at = time.monotonic()
            ended_at = await wait_for_response_or_close(reader)
            writer.transport.abort()
        self._history.stalled_clients.append(StalledClient(self._proxy, stopped_at, ended_at))
