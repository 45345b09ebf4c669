"""Many clients of one proxy process at the same time: slow, incomplete, large or unread requests."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from testbed.process_memory import peak_resident_bytes
from tests.support.loopback import connect, free_port, stub_backend, with_timeout
from tests.support.proxy_inputs import (
    HOST,
    NO_DISCOVERY_PORT,
    endpoint_entry,
    get_request,
    post_request,
)
from tests.support.proxy_process import proxy_process, wait_until_ready, write_config

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tests.support.loopback import Script, StubBackend

MEMORY_MB = 32  # the least memory that a platform gives a proxy
SOCKETS = 1024
BURST_SIZE = 400  # clients at once: fewer than the proxy accepts, so that none is rejected for its number
CLIENTS_WITH_REQUESTS = SOCKETS // 3  # the most clients that have requests at the same time
MAX_BODY = 64 << 10  # bytes; the limit of the protocol
SMALL_RECEIVE_BUFFER = 4096  # bytes
SHORT_FIELDS = 2600  # as many as fit into the largest head

UNFINISHED_HEAD = b"POST /api/k HTTP/1.1\r\nHost: h\r\n"
CHUNKED_HEAD = post_request(body=b"", Content_Length="", Transfer_Encoding="chunked", X_Request_ID="chunked")

#: Beginnings of requests that their clients never finish, by a description.
SHORT_BEGINNINGS = {
    "nothing": b"",
    "half a line": b"POST /api/k HT",
    "one long field": UNFINISHED_HEAD + b"a:" + b"b" * (15 << 10),
}

#: Beginnings that a proxy could keep in much more memory than they have bytes, or that are large.
LARGE_BEGINNINGS = {
    "many short fields": UNFINISHED_HEAD + b"a:b\r\n" * SHORT_FIELDS,
    "one field longer than the limit": UNFINISHED_HEAD + b"a:" + b"b" * (64 << 10),
    "most of a large body": post_request(body=b"b" * MAX_BODY)[:-100],
    "a body in small chunks": CHUNKED_HEAD + b"2\r\nbb\r\n" * (MAX_BODY // 2 - 100),
}


@dataclass(slots=True)
class LimitedProxy:
    """A proxy process with little memory, and its backends.

    Attributes:
        process: The process.
        port: The port that it listens on.
        backends: Its backends.
    """

    process: Process
    port: int
    backends: list[StubBackend]

    def peak_memory(self) -> int:
        """Return the largest resident memory of the process so far, in bytes; it must still run."""
        assert self.process.returncode is None, "the proxy process has ended"
        return peak_resident_bytes(self.process.pid)


@asynccontextmanager
async def limited_proxy(config_path: Path, script: Script) -> AsyncIterator[LimitedProxy]:
    """Run a proxy process with `MEMORY_MB` and `SOCKETS`; all its backends respond by the script."""
    async with stub_backend(script) as first, stub_backend(script) as second:
        backends = [first, second]
        entries = [endpoint_entry(f"s{number}", backend.address) for number, backend in enumerate(backends)]
        port = free_port()
        write_config(
            config_path,
            f"{HOST}:{port}",
            f"{HOST}:{NO_DISCOVERY_PORT}",
            entries,
            memory_mb=MEMORY_MB,
            sockets=SOCKETS,
        )
        async with proxy_process(config_path) as process:
            await wait_until_ready(port)
            yield LimitedProxy(process, port, backends)


async def send_and_wait_for_end(port: int, data: bytes) -> bytes:
    """Send bytes and nothing more, and return what the proxy sends until it ends the connection."""
    client = await connect(port)
    try:
        client.writer.write(data)
        return await with_timeout(client.reader.read())
    except ConnectionError:
        return b""
    finally:
        client.writer.close()


async def request_one_by_one(port: int, client_number: int, count: int) -> list[bytes]:
    """Send small requests, each after the response to the one before, and return the responses."""
    client = await connect(port)
    first = 1_000_000 + client_number * count
    responses = [await client.request(get_request(number)) for number in range(first, first + count)]
    client.writer.close()
    return responses


async def request_without_reading(port: int, number: int) -> socket.socket:
    """Send a small request on a connection with a small receive buffer, and read nothing."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (HOST, port))
    await loop.sock_sendall(sock, get_request(number))
    return sock
