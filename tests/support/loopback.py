"""Test doubles on loopback sockets: clients, backends and discovery of a proxy, and a manual clock.

`running_proxy` runs a real proxy with them, in the event loop of the test. `ManualClock` and `ConnectGate`
control the order of events, so that no test depends on the duration of an operation.

They are separate from the stubs of `testbed` because a test controls them step by step: a backend responds by
a script, and discovery sends exactly the bytes that the test passes to it.
"""

from __future__ import annotations

import asyncio
import functools
import json
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from string import ascii_lowercase
from typing import TYPE_CHECKING, Any, ParamSpec, TypeVar

from balancer.endpoints import UpdateKind
from proxy.proxy import Proxy
from testbed.http_messages import CHUNKED_HEAD, encode_chunk, read_message
from tests.support.open_connections import close_at_end, close_connections
from tests.support.proxy_inputs import (
    HOST,
    MAX_WAIT,
    NO_DISCOVERY_PORT,
    OK_RESPONSE,
    RawEntries,
    endpoint_entry,
    proxy_config,
)

if TYPE_CHECKING:
    import pytest

    from balancer.balancer import Balancer
    from proxy.dispatcher import Dispatcher
    from proxy.downstream.listener import Listener
    from proxy.endpoint_table import EndpointTable
    from proxy.upstream import ConnectionPool

CLOSE_CONNECTION = b""  # a script's result that closes the connection without a response
UNLIMITED = 1 << 30  # connection attempts that pass a `ConnectGate`
SETTLE_TURNS = 100  # turns of the event loop that are enough for all bytes on loopback to arrive

Script = Callable[[bytes], bytes | None]
T = TypeVar("T")
Parameters = ParamSpec("Parameters")


def in_event_loop(test: Callable[Parameters, Coroutine[Any, Any, None]]) -> Callable[Parameters, None]:
    """Turn a coroutine function into a test that runs in a new event loop."""

    async def run_and_close(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        try:
            await test(*args, **kwargs)
        finally:
            await close_connections()

    @functools.wraps(test)
    def run_test(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        asyncio.run(run_and_close(*args, **kwargs))

    return run_test


async def with_timeout(awaitable: Awaitable[T]) -> T:
    """Return the result of an awaitable; raise TimeoutError after `MAX_WAIT` seconds."""
    return await asyncio.wait_for(awaitable, MAX_WAIT)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition until it is true; raise TimeoutError after `MAX_WAIT` seconds."""
    async with asyncio.timeout(MAX_WAIT):
        while not condition():
            await asyncio.sleep(0.001)


class ManualClock:
    """Controls the time of the running event loop: timers expire only when a test advances the time.

    Attributes:
        now: The event loop's time in seconds.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.now = loop.time()
        loop.time = lambda: self.now  # type: ignore[method-assign]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Poll a condition that becomes true by events on sockets; no timer expires during this time."""
        give_up_at = time.monotonic() + MAX_WAIT
        while not condition():
            assert time.monotonic() < give_up_at, "the condition did not become true"
            await asyncio.sleep(0)

    async def wait_for(self, awaitable: Awaitable[T]) -> T:
        """Return the result of an awaitable that depends on no timer."""
        future = asyncio.ensure_future(awaitable)
        await self.wait_until(future.done)
        return future.result()

    async def settle(self) -> None:
        """Run all callbacks that are due, and read all bytes that were sent on loopback."""
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)

    async def advance(self, seconds: float) -> None:
        """Advance the time by a number of seconds in one step, and run all callbacks that are then due."""
        self.now += seconds
        await self.settle()


def respond_ok(_request: bytes) -> bytes:
    """Respond to each request with status 200: a script for a `StubBackend`."""
    return OK_RESPONSE


def stay_silent(_request: bytes) -> None:
    """Respond to no request: a script for a `StubBackend`."""


class StubBackend:
    """A backend that responds by a script.

    The script is called with each request, and returns the bytes of the response, `CLOSE_CONNECTION`, or None
    for no response. After a response that contains `cut`, the connection is closed.

    Attributes:
        script: The script; a test may replace it.
        received: The received requests that the test has not removed yet.
        disconnects: One item for each connection that has ended.
        writers: All connections so far, in the order in which they were accepted.
        address: The address on which it listens, as `host:port`.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        self.disconnects: asyncio.Queue[None] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.append(writer)
        close_at_end(writer)
        try:
            while True:
                request = await read_message(reader)
                self.received.put_nowait(request)
                response = self.script(request)
                if response == CLOSE_CONNECTION:
                    break
                if response is not None:
                    writer.write(response)
                    if b"cut" in response:
                        break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()
        self.disconnects.put_nowait(None)


@asynccontextmanager
async def stub_backend(script: Script) -> AsyncIterator[StubBackend]:
    """Run a backend on a free port until the context ends."""
    stub = StubBackend(script)
    server = await asyncio.start_server(stub.serve, HOST, 0, limit=1 << 20)
    stub.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    try:
        yield stub
    finally:
        server.close()


class StubDiscovery:
    """A discovery service whose watches send the updates that a test passes to it.

    Attributes:
        watch_requests: The targets of the opened watches that the test has not removed yet.
        disconnects: One item for each watch that the proxy has closed.
        writer: The watch that was opened last.
        port: The port on which it listens.
    """

    def __init__(self) -> None:
        self.watch_requests: asyncio.Queue[str] = asyncio.Queue()
        self.disconnects: asyncio.Queue[None] = asyncio.Queue()
        self.writer: asyncio.StreamWriter | None = None
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one watch: send the head of the response; `send_update` and `send_bytes` send its body."""
        close_at_end(writer)
        request = await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED_HEAD)
        self.writer = writer
        self.watch_requests.put_nowait(request.split()[1].decode())
        with suppress(ConnectionError):
            await reader.read()
        writer.close()
        self.disconnects.put_nowait(None)

    def send_update(
        self, index: int, entries: RawEntries, *, snapshot: bool = False, indent: int | None = None
    ) -> None:
        """Send one update on the open watch, on one line, or on several lines if there is an indentation."""
        message = {"index": index, "snapshot": snapshot, "endpoints": entries}
        self.send_bytes(json.dumps(message, indent=indent).encode() + b"\n")

    def send_bytes(self, data: bytes) -> None:
        """Send bytes on the open watch, split into two chunks."""
        assert self.writer is not None
        for chunk in filter(None, (data[:9], data[9:])):
            self.writer.write(encode_chunk(chunk))


@asynccontextmanager
async def stub_discovery() -> AsyncIterator[StubDiscovery]:
    """Run a discovery service on a free port until the context ends."""
    stub = StubDiscovery()
    server = await asyncio.start_server(stub.serve, HOST, 0)
    stub.port = server.sockets[0].getsockname()[1]
    try:
        yield stub
    finally:
        server.close()


def free_port() -> int:
    """Return a port on which no process listens."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Client:
    """A client's connection to a proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def request(self, request: bytes) -> bytes:
        """Send a request, or its remaining bytes, and return the next complete response."""
        self.writer.write(request)
        return await self.response()

    async def response(self) -> bytes:
        """Return the next complete response."""
        return await with_timeout(read_message(self.reader))


async def connect(port: int) -> Client:
    """Open a client's connection to a proxy."""
    reader, writer = await asyncio.open_connection(HOST, port)
    close_at_end(writer)
    return Client(reader, writer)


class ConnectGate:
    """Blocks the proxy's connection attempts, after a given number, until a test releases them.

    Connections to `NO_DISCOVERY_PORT`, which a watch retries all the time, are neither blocked nor counted.

    Attributes:
        blocked: The number of attempts that have been blocked, including those that were released.
        passing: The number of further attempts that are not blocked.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, passing: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self._create_connection: Callable[..., Any] = loop.create_connection
        self.blocked = 0
        self.passing = passing
        self._released = asyncio.Event()
        monkeypatch.setattr(loop, "create_connection", self._attempt)

    def release(self) -> None:
        """Release the blocked attempts, and block no later ones."""
        self._released.set()

    async def _attempt(self, *args: Any, **kwargs: Any) -> Any:
        if args[2:] == (NO_DISCOVERY_PORT,):
            return await self._create_connection(*args, **kwargs)
        if self.passing:
            self.passing -= 1
        else:
            self.blocked += 1
            await self._released.wait()
        return await self._create_connection(*args, **kwargs)


class RunningProxy:
    """A proxy that runs in the process of the test."""

    def __init__(self, proxy: Proxy, port: int) -> None:
        self.proxy, self.port = proxy, port

    @property
    def balancer(self) -> Balancer:
        """The proxy's balancer."""
        return self.proxy.balancer

    @property
    def dispatcher(self) -> Dispatcher:
        """The proxy's dispatcher, with its active requests."""
        return self.proxy.dispatcher

    @property
    def endpoint_table(self) -> EndpointTable:
        """The proxy's endpoint table."""
        return self.proxy.endpoint_table

    @property
    def listener(self) -> Listener:
        """The proxy's listener, with its clients' connections."""
        return self.proxy.listener

    @property
    def pool(self) -> ConnectionPool:
        """The proxy's pool of connections to backends."""
        return self.proxy.pool

    def notify(self, entries: RawEntries) -> None:
        """Deliver an incremental update of the endpoint list, as if discovery had sent it."""
        self.proxy.on_update(UpdateKind.DELTA, self.proxy.reader.read_entries({"endpoints": entries}))

    async def connect(self) -> Client:
        """Open a client's connection to the proxy."""
        return await connect(self.port)


@asynccontextmanager
async def running_proxy(entries: RawEntries, **changed: Any) -> AsyncIterator[RunningProxy]:
    """Run a proxy on a free port until the context ends; the arguments are those of `proxy_config`."""
    proxy = Proxy(proxy_config(entries, **changed))
    sock = await proxy.listener.listen()
    try:
        yield RunningProxy(proxy, sock.getsockname()[1])
    finally:
        await proxy.listener.stop_listening(sock)
        proxy.listener.stop_keepalive()


@asynccontextmanager
async def proxy_with_backends(
    *scripts: Script, **changed: Any
) -> AsyncIterator[tuple[RunningProxy, list[StubBackend]]]:
    """Run a proxy and a backend for each of the scripts; the backends are named "a", "b" and so on."""
    async with AsyncExitStack() as stack:
        backends = [await stack.enter_async_context(stub_backend(script)) for script in scripts]
        entries = [
            endpoint_entry(name, backend.address)
            for name, backend in zip(ascii_lowercase, backends, strict=False)
        ]
        yield await stack.enter_async_context(running_proxy(entries, **changed)), backends
