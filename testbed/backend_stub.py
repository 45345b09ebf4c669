"""A stub backend: one process that listens on many ports and responds 200 to every request immediately.

Run it as `python -m testbed.backend_stub --ports N --seconds S`. It prints its ports as one line of JSON.
It simulates no work and no failures, so that it uses little processor time while a proxy is measured.
For that reason it is separate from `soak.backends`, which records requests and simulates failures, and from
the scripted backends of the tests.
"""

from __future__ import annotations

import asyncio
import gc
import json

import click
import httptools

from testbed.loopback import HOST, port_of

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone\n"
ACCEPT_BACKLOG = 1024  # connections that can wait to be accepted, for each port


class BackendConnection(asyncio.Protocol):
    """One persistent connection; every complete request receives the same small response."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and create a request parser."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a malformed request resets the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_complete(self) -> None:
        """Respond to a request whose body is complete; called by the parser."""
        self._transport.write(RESPONSE)
        if not self._parser.should_keep_alive():
            self._transport.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Break the reference cycle between the parser and this object."""
        del self._parser


async def listen(port_count: int) -> list[asyncio.Server]:
    """Listen on `port_count` free ports of the loopback address."""
    loop = asyncio.get_running_loop()
    return [
        await loop.create_server(BackendConnection, HOST, 0, backlog=ACCEPT_BACKLOG)
        for _ in range(port_count)
    ]


async def serve(port_count: int, seconds: float) -> None:
    """Print the ports, then serve for `seconds`."""
    servers = await listen(port_count)
    print(json.dumps([port_of(server) for server in servers]), flush=True)
    # A full garbage collection of all imported objects takes milliseconds, which would distort the measured
    # latencies. Freezing excludes these objects from later collections.
    gc.collect()
    gc.freeze()
    await asyncio.sleep(seconds)


@click.command()
@click.option("--ports", type=click.IntRange(1, 1024), required=True, help="How many ports to listen on.")
@click.option("--seconds", type=click.FloatRange(0, 3600), required=True, help="How long to serve.")
def command(ports: int, seconds: float) -> None:
    """Respond 200 to every request on free ports, which are printed as one line of JSON."""
    asyncio.run(serve(ports, seconds))


if __name__ == "__main__":
    command()
