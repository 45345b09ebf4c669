"""A tier that starts all at once while discovery is down, with the clock in hand: who is ready when."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import Client, ConnectGate, ManualClock, free_port
from proxy_inputs import HOST, RAW_SETTINGS, endpoint_entry, proxy_config, status_of

from balancer.settings_reader import read_settings
from proxy.__main__ import serve
from proxy.config import Address

WITHIN = 10.0  # seconds in which nine in ten processes have to be ready
TIER = 20  # processes
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
KNOWN: dict[str, list[dict[str, Any]]] = {
    "known": [endpoint_entry("a", f"{HOST}:1")],
    "all drain": [endpoint_entry("a", f"{HOST}:1", "terminating")],
    "nothing known": [],
}


async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A call that comes up, and is never answered."""
    await reader.read()
    writer.close()


async def healthy(clock: ManualClock, port: int) -> bool:
    """Whether a process says that it is ready, without any more time."""
    opening = asyncio.ensure_future(asyncio.open_connection(HOST, port))
    await clock.wait_until(opening.done)
    client = Client(*opening.result())
    answer = asyncio.ensure_future(client.request(HEALTH))
    await clock.settle()
    said = answer.done() and status_of(answer.result()) == 200
    answer.cancel()
    client.writer.close()
    return said


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("known", KNOWN)
@pytest.mark.parametrize("discovery", ["refuses", "is silent", "never comes up"])
def test_a_tier_that_starts_without_discovery_is_ready(
    mode: str, known: str, discovery: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        agent = await asyncio.start_server(silent, HOST, 0)
        clock = ManualClock()
        at = free_port() if discovery == "refuses" else int(agent.sockets[0].getsockname()[1])
        gate = ConnectGate(monkeypatch, unheld=0 if discovery == "never comes up" else 1 << 30)
        settings = read_settings(RAW_SETTINGS | {"RegistryMode": mode})
        ports = [free_port() for _ in range(TIER)]
        tier = [
            asyncio.create_task(
                serve(
                    proxy_config(KNOWN[known], at, seed=seed, listen=Address(HOST, port), settings=settings)
                )
            )
            for seed, port in enumerate(ports)
        ]
        begun = clock.now
        while clock.now < begun + WITHIN - 0.25:
            await clock.advance(0.25)
        gate.unheld = 1 << 30  # from here on the test's own connections
        said = [await healthy(clock, port) for port in ports]
        assert sum(said) >= 0.9 * TIER, f"{sum(said)} of {TIER} are ready"
        for process in tier:
            process.cancel()
        await asyncio.gather(*tier, return_exceptions=True)
        agent.close()

    asyncio.run(play())
