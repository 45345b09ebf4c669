"""The start of proxies, with a manual clock: when they report that they are ready and accept requests."""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from balancer.settings_reader import read_settings
from proxy.address import Address
from proxy.process import serve
from tests.support.loopback import (
    UNLIMITED,
    ConnectGate,
    ManualClock,
    connect,
    free_port,
    in_event_loop,
    respond_ok,
    stub_backend,
    stub_discovery,
)
from tests.support.open_connections import close_at_end
from tests.support.proxy_inputs import (
    HEALTH_REQUEST,
    HOST,
    RAW_SETTINGS,
    endpoint_entry,
    post_request,
    proxy_config,
    status_of,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READINESS_DEADLINE = 10.0  # seconds after the start when `READY_FRACTION` of the proxies must be ready
READY_FRACTION = 0.9
TIER_SIZE = 20  # proxies
CLOCK_STEP = 0.25  # seconds by which the clock is advanced at a time

CACHED_ENTRIES = {
    "one backend": [endpoint_entry("a", f"{HOST}:1")],
    "all drain": [endpoint_entry("a", f"{HOST}:1", "terminating")],
    "no backend": [],
}


@asynccontextmanager
async def silent_discovery() -> AsyncIterator[int]:
    """Run a discovery service that accepts connections and never responds, and yield its port."""

    async def serve_silently(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        close_at_end(writer)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve_silently, HOST, 0)
    try:
        yield int(server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def is_ready(clock: ManualClock, port: int) -> bool:
    """Return whether a proxy's health check passes at the current time of the clock."""
    client = await clock.wait_for(connect(port))
    response = asyncio.ensure_future(client.request(HEALTH_REQUEST))
    await clock.settle()
    ready = response.done() and status_of(response.result()) == 200
    response.cancel()
    client.writer.close()
    return ready


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("cached", CACHED_ENTRIES)
@pytest.mark.parametrize("discovery", ["refuses", "is silent", "never connects"])
@in_event_loop
async def test_tier_that_starts_without_discovery_is_ready_in_time(
    mode: str, cached: str, discovery: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with silent_discovery() as silent_port:
        clock = ManualClock()
        discovery_port = free_port() if discovery == "refuses" else silent_port
        gate = ConnectGate(monkeypatch, passing=0 if discovery == "never connects" else UNLIMITED)
        settings = read_settings(RAW_SETTINGS | {"RegistryMode": mode})
        ports = [free_port() for _ in range(TIER_SIZE)]
        configs = [
            proxy_config(
                CACHED_ENTRIES[cached],
                discovery_port,
                seed=seed,
                listen=Address(HOST, port),
                settings=settings,
            )
            for seed, port in enumerate(ports)
        ]
        tier = [asyncio.create_task(serve(config)) for config in configs]
        began_at = clock.now
        while clock.now < began_at + READINESS_DEADLINE - CLOCK_STEP:
            await clock.advance(CLOCK_STEP)
        gate.passing = UNLIMITED  # the test's own connections must not be blocked
        ready = [await is_ready(clock, port) for port in ports]
        assert sum(ready) >= READY_FRACTION * TIER_SIZE, f"{sum(ready)} of {TIER_SIZE} are ready"
        for proxy in tier:
            proxy.cancel()
        await asyncio.gather(*tier, return_exceptions=True)


@pytest.mark.parametrize("has_list", [True, False])
@in_event_loop
async def test_no_request_is_accepted_before_the_list_has_arrived_or_timed_out(*, has_list: bool) -> None:
    async with (
        stub_discovery() as discovery,
        stub_backend(respond_ok) as cached_backend,
        stub_backend(respond_ok) as new_backend,
    ):
        port = free_port()
        clock = ManualClock()
        cached_entries = [endpoint_entry("a", cached_backend.address)]
        config = proxy_config(cached_entries, discovery.port, listen=Address(HOST, port))
        proxy = asyncio.create_task(serve(config))
        await clock.wait_until(lambda: discovery.watch_requests.qsize() == 1)
        client = await clock.wait_for(connect(port))
        client.writer.write(post_request())
        await clock.settle()
        assert cached_backend.received.empty()
        if has_list:
            # An update that discovery has when the proxy starts must apply to the first request.
            draining = endpoint_entry("a", cached_backend.address, "terminating")
            discovery.send_update(8, [draining, endpoint_entry("b", new_backend.address)])
            await clock.wait_until(lambda: new_backend.received.qsize() == 1)
            assert cached_backend.received.empty()
        else:  # discovery is down
            await clock.advance(0.5)
            await clock.wait_until(lambda: cached_backend.received.qsize() == 1)
        assert status_of(await client.response()) == 200
        os.kill(os.getpid(), signal.SIGTERM)
        while not proxy.done():
            await clock.advance(0.1)
        await proxy
