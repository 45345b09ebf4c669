"""A tier that starts all at once while discovery is down, with the clock in hand: who is ready when."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import HOST, WIRE, Client, Clock, Gate, config, entry, free_port, status

from balancer.settings_reader import read_settings
from proxy.__main__ import serve
from proxy.config import Address

WITHIN = 10.0  # seconds in which nine in ten processes have to be ready
TIER = 20  # processes
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
KNOWN: dict[str, list[dict[str, Any]]] = {
    "known": [entry("a", f"{HOST}:1")],
    "all drain": [entry("a", f"{HOST}:1", "terminating")],
    "nothing known": [],
}


async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A call that comes up, and is never answered."""
    await reader.read()
    writer.close()


async def healthy(clock: Clock, port: int) -> bool:
    """Whether a process says that it is ready, without any more time."""
    opening = asyncio.ensure_future(asyncio.open_connection(HOST, port))
    await clock.until(opening.done)
    client = Client(*opening.result())
    answer = asyncio.ensure_future(client.ask(HEALTH))
    await clock.settle()
    said = answer.done() and status(answer.result()) == 200
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
        clock = Clock()
        at = free_port() if discovery == "refuses" else int(agent.sockets[0].getsockname()[1])
        gate = Gate(monkeypatch, free=0 if discovery == "never comes up" else 1 << 30)
        settings = read_settings(WIRE | {"RegistryMode": mode})
        ports = [free_port() for _ in range(TIER)]
        tier = [
            asyncio.create_task(
                serve(config(KNOWN[known], at, seed=seed, listen=Address(HOST, port), settings=settings))
            )
            for seed, port in enumerate(ports)
        ]
        begun = clock.now
        while clock.now < begun + WITHIN - 0.25:
            await clock.move(0.25)
        gate.free = 1 << 30  # from here on the test's own connections
        said = [await healthy(clock, port) for port in ports]
        assert sum(said) >= 0.9 * TIER, f"{sum(said)} of {TIER} are ready"
        for process in tier:
            process.cancel()
        await asyncio.gather(*tier, return_exceptions=True)
        agent.close()

    asyncio.run(play())
