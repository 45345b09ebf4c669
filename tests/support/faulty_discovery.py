"""A discovery service whose first watches fail in given ways, and the faults that a watch can have.

It is separate from `testbed.discovery`, which implements the protocol correctly. Responses of this service
are incomplete, slow or not HTTP.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from testbed.http_messages import CHUNKED_HEAD, encode_chunk
from tests.support.open_connections import close_at_end
from tests.support.proxy_inputs import HOST, endpoint_entry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping, Sequence

    from tests.support.loopback import ManualClock

TRICKLE_INTERVAL = 0.5  # seconds between two pieces of a response that is sent slowly
CLOCK_STEP = 0.05  # seconds by which the clock is advanced at a time
MAX_DELIVERY_TIME = 18.0  # seconds after which a delivery counts as failed: three times the deadline

#: The list that a watch without a fault receives: one backend on port 2.
SNAPSHOT: dict[str, object] = {
    "index": 9,
    "snapshot": True,
    "endpoints": [endpoint_entry("b", f"{HOST}:2")],
}
SNAPSHOT_TEXT = json.dumps(SNAPSHOT).encode()


def watch_response(*messages: Mapping[str, object]) -> bytes:
    """Return the beginning of a watch's response that contains these messages."""
    return CHUNKED_HEAD + b"".join(encode_chunk(json.dumps(message).encode() + b"\n") for message in messages)


SNAPSHOT_RESPONSE = watch_response(SNAPSHOT)


@dataclass(frozen=True)
class WatchFault:
    """The way in which a watch fails.

    Attributes:
        response: The bytes that are sent immediately.
        trickle: The bytes that are then sent again after each `TRICKLE_INTERVAL`.
        closes: Whether the connection is closed immediately.
    """

    response: bytes = b""
    trickle: bytes = b""
    closes: bool = False


FAULTS: dict[str, WatchFault] = {
    "silent": WatchFault(),
    "only a head": WatchFault(CHUNKED_HEAD),
    "half a head": WatchFault(CHUNKED_HEAD[:20]),
    "a head that trickles": WatchFault(CHUNKED_HEAD[:-2], b"X-A: b\r\n"),
    "a line that trickles": WatchFault(CHUNKED_HEAD + encode_chunk(b"{"), encode_chunk(b" ")),
    "an object that trickles": WatchFault(
        CHUNKED_HEAD + encode_chunk(b"{\n"), encode_chunk(b' "index": 9,\n')
    ),
    "another status": WatchFault(b"HTTP/1.1 503 Down\r\nContent-Length: 9\r\n\r\n"),
    "another status, chunked": WatchFault(CHUNKED_HEAD.replace(b"200 OK", b"500 Down"), encode_chunk(b" ")),
    "a closed connection": WatchFault(closes=True),
    "an empty response": WatchFault(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    "no HTTP": WatchFault(b"nonsense\r\n\r\n", b" "),
}
#: The faults that a proxy detects immediately, without a timeout.
IMMEDIATE_FAULTS = [
    "another status",
    "another status, chunked",
    "a closed connection",
    "an empty response",
    "no HTTP",
]


class FaultyDiscovery:
    """A discovery service whose first watches have the given faults, and whose later watches succeed.

    Attributes:
        watch_count: The number of requested watches.
        port: The port on which it listens.
    """

    def __init__(self, faults: Sequence[WatchFault], response: bytes = SNAPSHOT_RESPONSE) -> None:
        self.watch_count = 0
        self.port = 0
        self._faults = faults
        self._response = response
        self._trickling: list[tuple[asyncio.StreamWriter, bytes]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        close_at_end(writer)
        await reader.readuntil(b"\r\n\r\n")
        has_fault = self.watch_count < len(self._faults)
        fault = self._faults[self.watch_count] if has_fault else WatchFault(self._response)
        self.watch_count += 1
        if fault.closes:
            writer.close()
            return
        writer.write(fault.response)
        if fault.trickle:
            self._trickling.append((writer, fault.trickle))

    def trickle(self) -> None:
        """Send the next piece on each connection whose response is sent slowly."""
        for writer, piece in self._trickling:
            if not writer.is_closing():
                writer.write(piece)


@asynccontextmanager
async def faulty_discovery(
    faults: Sequence[WatchFault] = (), response: bytes = SNAPSHOT_RESPONSE, port: int = 0
) -> AsyncIterator[FaultyDiscovery]:
    """Run a faulty discovery service.

    Args:
        faults: The faults of its first watches.
        response: The response to all later watches.
        port: The port to listen on; 0 for a free one.
    """
    discovery = FaultyDiscovery(faults, response)
    server = await asyncio.start_server(discovery.serve, HOST, port)
    discovery.port = server.sockets[0].getsockname()[1]
    try:
        yield discovery
    finally:
        server.close()


async def measure_delivery(
    clock: ManualClock, discovery: FaultyDiscovery, is_delivered: Callable[[], bool]
) -> float:
    """Return the seconds until a change of the list is delivered, or `MAX_DELIVERY_TIME` if it is not.

    Args:
        clock: The clock, which is advanced.
        discovery: The discovery service that sends the change.
        is_delivered: Returns whether the proxy has applied the change.
    """
    began_at = trickled_at = clock.now
    while not is_delivered() and clock.now < began_at + MAX_DELIVERY_TIME:
        await clock.advance(CLOCK_STEP)
        if clock.now >= trickled_at + TRICKLE_INTERVAL:
            trickled_at = clock.now
            discovery.trickle()
            await clock.settle()
    return clock.now - began_at
