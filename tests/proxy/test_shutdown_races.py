"""Events during a graceful shutdown must not leave a received request without a response.

The tests run a proxy on loopback sockets with a manual clock.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from proxy.proxy import Proxy
from tests.support.loopback import (
    UNLIMITED,
    Client,
    ConnectGate,
    ManualClock,
    RunningProxy,
    StubBackend,
    connect,
    in_event_loop,
    stay_silent,
    stub_backend,
)
from tests.support.proxy_inputs import (
    OK_RESPONSE,
    endpoint_entry,
    get_request,
    post_request,
    proxy_config,
    status_of,
)

if TYPE_CHECKING:
    import socket

KILL_DELAY = 3.0 + 0.7  # seconds after SIGTERM at which the deployment may send SIGKILL
MAX_SHUTDOWN_TIME = KILL_DELAY + 1.0  # seconds after SIGTERM after which a test fails
ACCEPT_TIME = 0.7  # seconds after SIGTERM at which connections are no longer accepted
CLOCK_STEP = 0.02  # seconds by which the clock is advanced at a time


class StoppingProxy(RunningProxy):
    """A proxy in this process whose shutdown proceeds as its clock is advanced.

    Attributes:
        clock: The event loop's clock.
    """

    def __init__(self, proxy: Proxy, listening_socket: socket.socket, clock: ManualClock) -> None:
        super().__init__(proxy, listening_socket.getsockname()[1])
        self.clock = clock
        self._listening_socket = listening_socket
        self._started_at = clock.now
        self._shutdown: asyncio.Task[None] | None = None

    async def connect(self) -> Client:
        """Open a client connection to the proxy without advancing the clock."""
        return await self.clock.wait_for(connect(self.port))

    async def response(self, client: Client) -> bytes:
        """Return a client's next response without advancing the clock."""
        return await self.clock.wait_for(client.response())

    async def start_shutdown(self) -> None:
        """Start the shutdown, as SIGTERM does."""
        self._started_at = self.clock.now
        self._shutdown = asyncio.create_task(self.proxy.shutdown.run(self._listening_socket))
        await self.clock.settle()

    async def advance_to(self, seconds: float) -> None:
        """Advance the clock to this many seconds after SIGTERM."""
        while self.clock.now < self._started_at + seconds:
            await self.clock.advance(CLOCK_STEP)

    def has_ended(self) -> bool:
        """Return whether the shutdown is complete."""
        assert self._shutdown is not None
        return self._shutdown.done()

    async def finish_shutdown(self) -> None:
        """Advance the clock until the shutdown is complete."""
        assert self._shutdown is not None
        while not self.has_ended():
            assert self.clock.now < self._started_at + MAX_SHUTDOWN_TIME, "the shutdown does not end"
            await self.clock.advance(CLOCK_STEP)
        await self._shutdown


async def start_proxy(backend: StubBackend) -> StoppingProxy:
    """Start a proxy whose endpoint list has one backend."""
    clock = ManualClock()
    proxy = Proxy(proxy_config([endpoint_entry("a", backend.address)]))
    return StoppingProxy(proxy, await proxy.listener.listen(), clock)


@in_event_loop
async def test_request_completed_late_in_a_shutdown_gets_a_response_before_sigkill() -> None:
    async with stub_backend(stay_silent) as backend:
        proxy = await start_proxy(backend)
        client = await proxy.connect()
        client.writer.write(post_request()[:-2])
        await proxy.clock.wait_until(lambda: bool(proxy.listener.connections.reading))
        await proxy.start_shutdown()
        await proxy.advance_to(1.5)
        client.writer.write(post_request()[-2:])
        await proxy.clock.wait_until(lambda: backend.received.qsize() == 1)
        await proxy.advance_to(KILL_DELAY)
        assert status_of(await proxy.response(client)) == 504
        await proxy.finish_shutdown()


@pytest.mark.parametrize("state", ["connecting", "sent", "response started", "partly read", "another queued"])
@in_event_loop
async def test_shutdown_responds_to_received_requests_and_closes_each_connection(
    state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def script(_request: bytes) -> bytes | None:
        return OK_RESPONSE[:-2] if state == "response started" else None

    async with stub_backend(script) as backend:
        proxy = await start_proxy(backend)
        clock = proxy.clock
        client, idle_client = await proxy.connect(), await proxy.connect()
        gate = ConnectGate(monkeypatch, passing=0 if state == "connecting" else UNLIMITED)
        request = post_request(1)
        if state == "partly read":
            client.writer.write(request[:-2])
            await clock.wait_until(lambda: bool(proxy.listener.connections.reading))
        elif state == "connecting":
            client.writer.write(request)
            await clock.wait_until(lambda: bool(proxy.dispatcher.active_requests))
        else:
            client.writer.write(request + (get_request(2) if state == "another queued" else b""))
            await clock.wait_until(lambda: backend.received.qsize() == 1)

        await proxy.start_shutdown()
        await proxy.advance_to(ACCEPT_TIME)
        # Idle connections are closed: no further request can arrive on them.
        assert await clock.wait_for(idle_client.reader.read()) == b""
        assert not proxy.has_ended()

        gate.release()
        if state == "partly read":
            client.writer.write(request[-2:])
        await clock.wait_until(lambda: backend.received.qsize() == 1)
        backend.writers[0].write(OK_RESPONSE[-2:] if state == "response started" else OK_RESPONSE)
        response = await proxy.response(client)
        if state == "another queued":  # the queued request gets a response too
            assert status_of(response) == 200
            assert b"Connection: close\r\n" not in response
            client.writer.write(get_request(3))  # no longer read
            await clock.settle()
            await clock.advance(CLOCK_STEP)  # longer than the reuse delay of the backend's connection
            await clock.wait_until(lambda: backend.received.qsize() == 2)
            backend.writers[0].write(OK_RESPONSE)
            response = await proxy.response(client)
        assert status_of(response) == 200
        assert b"Connection: close\r\n" in response
        await proxy.finish_shutdown()
        assert not proxy.dispatcher.active_requests
        assert backend.received.qsize() == (2 if state == "another queued" else 1)


@pytest.mark.parametrize("disconnects", [False, True], ids=["waits", "disconnects"])
@in_event_loop
async def test_request_pipelined_while_connections_close_is_not_read(*, disconnects: bool) -> None:
    async with stub_backend(stay_silent) as backend:
        proxy = await start_proxy(backend)
        clock = proxy.clock
        client = await proxy.connect()
        client.writer.write(post_request(1))
        await clock.wait_until(lambda: backend.received.qsize() == 1)
        await proxy.start_shutdown()
        await proxy.advance_to(ACCEPT_TIME)
        client.writer.write(post_request(2))  # if it were read, it would need a response
        await clock.settle()
        await clock.advance(CLOCK_STEP)
        if disconnects:  # detected although nothing is read
            client.writer.close()
            await clock.settle()
            await clock.advance(CLOCK_STEP)
            await clock.wait_until(lambda: not proxy.dispatcher.active_requests)
        else:
            backend.writers[0].write(OK_RESPONSE)
            response = await proxy.response(client)
            assert status_of(response) == 200
            assert b"Connection: close\r\n" in response
            assert await clock.wait_for(client.reader.read()) == b""
            client.writer.close()
        await proxy.finish_shutdown()
        assert backend.received.qsize() == 1
        assert proxy.proxy.monitor.summary() == ""
