"""A stub backend: one process that listens on many ports and answers every request with 200 at once.

Run as `python -m testbed.backend_stub --ports N --seconds S`; it prints its ports as one JSON line. It
simulates no work and no failures, because it must cost little where a proxy is measured: the backends of
`soak.backends`, which record and misbehave, and the scripted ones of the tests are separate for that reason.
"""

from __future__ import annotations

import asyncio
import gc
import json

import click
import httptools

from testbed.loopback import HOST, port_of

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone\n"
BACKLOG = 1024  # connections that may wait to be accepted at each port


class BackendConnection(asyncio.Protocol):
    """One persistent connection: each complete request receives the same small response."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and create a request parser."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; a malformed request ends the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_complete(self) -> None:
        """Parser callback: a request is complete with its body; respond to it."""
        self._transport.write(RESPONSE)
        if not self._parser.should_keep_alive():
            self._transport.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Break the reference cycle between the parser and this object."""
        del self._parser


async def listen(count: int) -> list[asyncio.Server]:
    """Serve on so many free ports of the loopback address."""
    loop = asyncio.get_running_loop()
    return [await loop.create_server(BackendConnection, HOST, 0, backlog=BACKLOG) for _ in range(count)]


async def serve(count: int, seconds: float) -> None:
    """Print the ports, then serve for `seconds` at most."""
    servers = await listen(count)
    print(json.dumps([port_of(server) for server in servers]), flush=True)
    # A full collection over all imported objects takes milliseconds, which would show in measured latencies.
    gc.collect()
    gc.freeze()
    await asyncio.sleep(seconds)


@click.command()
@click.option("--ports", type=click.IntRange(1, 1024), required=True, help="How many ports to listen on.")
@click.option("--seconds", type=click.FloatRange(0, 3600), required=True, help="When to end at the latest.")
def command(ports: int, seconds: float) -> None:
    """Answer 200 on so many free ports, which are printed as one JSON line."""
    asyncio.run(serve(ports, seconds))


if __name__ == "__main__":
    command()
