"""A stand-in backend: one process that listens on many ports and answers 200 at once.

Run as `python -m emulator.backend --ports N --seconds S`; it prints its ports as one JSON line.
"""

from __future__ import annotations

import asyncio
import gc
import json

import click
import httptools

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone\n"
BACKLOG = 1024  # connections that may wait to be accepted at each port


class Answering(asyncio.Protocol):
    """One connection: each whole request gets the same small answer, and the connection is kept."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Take what has come."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_complete(self) -> None:
        """The request's last byte is here, its body's included."""
        self._transport.write(ANSWER)
        if not self._parser.should_keep_alive():
            self._transport.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        del self._parser  # the parser and this object hold each other


async def listen(count: int) -> list[asyncio.Server]:
    """Serve on so many free ports of the loopback address."""
    loop = asyncio.get_running_loop()
    return [await loop.create_server(Answering, HOST, 0, backlog=BACKLOG) for _ in range(count)]


def port_of(server: asyncio.Server) -> int:
    """The port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])


async def serve(count: int, seconds: float) -> None:
    """Print the ports, then answer for so many seconds at most."""
    servers = await listen(count)
    print(json.dumps([port_of(server) for server in servers]), flush=True)
    # Guards steadiness: a full collection over all that was imported takes milliseconds.
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
