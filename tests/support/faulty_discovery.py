"""A discovery whose first calls fail in given ways, and the ways in which a call can fail."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from testbed.http_messages import CHUNKED_HEAD, encode_chunk
from tests.support.proxy_inputs import HOST, endpoint_entry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from tests.support.loopback import ManualClock

TRICKLE_INTERVAL = 0.5  # seconds between two pieces of what trickles
CLOCK_STEP = 0.05  # seconds
MAX_DELIVERY_TIME = 18.0  # seconds after which a delivery is given up: three times the deadline

#: The list that a call which does not fail gets: a backend at port 2.
SNAPSHOT: dict[str, Any] = {
    "index": 9,
    "snapshot": True,
    "endpoints": [endpoint_entry("b", f"{HOST}:2")],
}
SNAPSHOT_TEXT = json.dumps(SNAPSHOT).encode()


def updates(*messages: dict[str, Any]) -> bytes:
    """Return a watch's response that holds these messages and goes on."""
    return CHUNKED_HEAD + b"".join(encode_chunk(json.dumps(message).encode() + b"\n") for message in messages)


SNAPSHOT_RESPONSE = updates(SNAPSHOT)


@dataclass(frozen=True)
class CallFault:
    """How a call of discovery fails.

    Attributes:
        response: What comes at once.
        trickle: What comes again and again from then on.
        closes: The connection is closed at once.
    """

    response: bytes = b""
    trickle: bytes = b""
    closes: bool = False


FAULTS: dict[str, CallFault] = {
    "silent": CallFault(),
    "a head alone": CallFault(CHUNKED_HEAD),
    "half a head": CallFault(CHUNKED_HEAD[:20]),
    "a head that trickles": CallFault(CHUNKED_HEAD[:-2], b"X-A: b\r\n"),
    "a line that trickles": CallFault(CHUNKED_HEAD + encode_chunk(b"{"), encode_chunk(b" ")),
    "an object that trickles": CallFault(
        CHUNKED_HEAD + encode_chunk(b"{\n"), encode_chunk(b' "index": 9,\n')
    ),
    "another status": CallFault(b"HTTP/1.1 503 Down\r\nContent-Length: 9\r\n\r\n"),
    "another status, chunked": CallFault(CHUNKED_HEAD.replace(b"200 OK", b"500 Down"), encode_chunk(b" ")),
    "a closed connection": CallFault(closes=True),
    "an empty response": CallFault(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    "no HTTP": CallFault(b"nonsense\r\n\r\n", b" "),
}
#: Those of the faults that a proxy sees at once, without waiting for more.
IMMEDIATE_FAULTS = [
    "another status",
    "another status, chunked",
    "a closed connection",
    "an empty response",
    "no HTTP",
]


class FaultyDiscovery:
    """A discovery each of whose calls meets the next of the given faults, and then gets a good response.

    Attributes:
        calls: How many calls have come.
        port: Where it listens.
    """

    def __init__(self, faults: Sequence[CallFault], response: bytes = SNAPSHOT_RESPONSE) -> None:
        self.calls = 0
        self.port = 0
        self._faults = faults
        self._response = response
        self._trickling: list[tuple[asyncio.StreamWriter, bytes]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one call."""
        await reader.readuntil(b"\r\n\r\n")
        fails = self.calls < len(self._faults)
        fault = self._faults[self.calls] if fails else CallFault(self._response)
        self.calls += 1
        if fault.closes:
            writer.close()
            return
        writer.write(fault.response)
        if fault.trickle:
            self._trickling.append((writer, fault.trickle))

    def trickle(self) -> None:
        """Send the next piece on each call that trickles."""
        for writer, piece in self._trickling:
            if not writer.is_closing():
                writer.write(piece)


@asynccontextmanager
async def faulty_discovery(
    faults: Sequence[CallFault] = (), response: bytes = SNAPSHOT_RESPONSE, port: int = 0
) -> AsyncIterator[FaultyDiscovery]:
    """Run a discovery, on a free port or on a given one."""
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
    """Return how many seconds pass until a change of the list is delivered, or until that is given up."""
    began_at = trickled_at = clock.now
    while not is_delivered() and clock.now < began_at + MAX_DELIVERY_TIME:
        await clock.advance(CLOCK_STEP)
        if clock.now >= trickled_at + TRICKLE_INTERVAL:
            trickled_at = clock.now
            discovery.trickle()
            await clock.settle()
    return clock.now - began_at
