"""Clients that fill the descriptors while discovery is down, on loopback sockets and at a process's limit."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from pathlib import Path

import pytest
from loopback import (
    Client,
    ManualClock,
    RunningProxy,
    StubDiscovery,
    free_port,
    running_proxy,
    stub_backend,
    with_timeout,
)
from proxy_inputs import HOST, MAX_WAIT, OK_RESPONSE, RAW_SETTINGS, endpoint_entry, post_request, status_of

ROOT = Path(__file__).parent.parent
SOCKETS = 100  # descriptors that the settings give
OWN = 12  # descriptors of the process itself: standard streams, the loop's, the listener, two watches
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
#: What clients that fill the descriptors send: nothing, a part of a request, or one that is answered.
KINDS = {
    "silent": b"",
    "half": post_request(2)[:-1],
    "head": b"POST /api/k HTTP/1.1\r\nX-",
    "answered": HEALTH,
}


async def fill(clock: ManualClock, up: RunningProxy, sent: bytes) -> tuple[list[socket.socket], int]:
    """Open far more connections than there is room for; also gives the most that the proxy held at once."""
    front, socks, most = up.proxy.listener, [], 0
    for _ in range(4 * SOCKETS):
        accepted, before = front.last_accepted_at, front.connections.open.copy()
        sock = socket.create_connection((HOST, up.port))
        socks.append(sock)
        await clock.wait_until(lambda before=before: bool(front.connections.open - before))  # type: ignore[misc]
        assert front.last_accepted_at >= accepted
        sock.setblocking(False)
        try:
            sock.send(sent)
        except OSError:  # shut already
            continue
        await clock.settle()
        most = max(most, len(front.connections.open))
    return socks, most


@pytest.mark.parametrize("kind", KINDS)
def test_idle_clients_leave_room_for_the_watch_and_for_requests(kind: str) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            port, registry = free_port(), StubDiscovery()
            clock = ManualClock()
            async with running_proxy(
                [endpoint_entry("a", one.address)], discovery=port, max_sockets=SOCKETS
            ) as up:
                socks, most = await fill(clock, up, KINDS[kind])
                # As many attempts may be out, and all together have to fit.
                assert most + up.proxy.pool._max_connections + OWN <= SOCKETS
                good = Client(*await asyncio.open_connection(HOST, up.port))
                good.writer.write(post_request(1))
                answer = asyncio.ensure_future(good.response())
                await clock.wait_until(answer.done)
                assert status_of(answer.result()) == 200
                server = await asyncio.start_server(registry.serve, HOST, port)
                await clock.advance(0.5)
                await clock.wait_until(lambda: registry.watch_requests.qsize() == 1)
                server.close()
                for sock in socks:
                    sock.close()

    asyncio.run(play())


def spent(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("kind", KINDS)
def test_at_the_limit_of_the_process_nothing_spins_and_the_watch_comes_up(tmp_path: Path, kind: str) -> None:
    async def play() -> None:
        registry, port, discovery = StubDiscovery(), free_port(), free_port()
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            path, log = tmp_path / "c.json", tmp_path / "log"
            path.write_text(
                json.dumps(
                    {
                        "name": "n0",
                        "listen": f"{HOST}:{port}",
                        "discovery": f"{HOST}:{discovery}",
                        "seed": "1",
                        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
                        "known": {
                            "index": 3,
                            "snapshot": True,
                            "endpoints": [endpoint_entry("a", one.address)],
                        },
                        "settings": RAW_SETTINGS,
                    }
                )
            )
            env = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
            with log.open("wb") as file:
                process = await asyncio.create_subprocess_shell(
                    f"ulimit -n {SOCKETS}; exec {sys.executable} -m proxy",
                    cwd=ROOT,
                    stderr=file,
                    env=env | {"RELAY_CONFIG": str(path)},
                )
            try:
                await ready(port)
                socks = []
                for _ in range(3 * SOCKETS):
                    socks.append(socket.create_connection((HOST, port), timeout=MAX_WAIT))
                    try:
                        socks[-1].send(KINDS[kind])
                    except OSError:  # shut already
                        continue
                used = spent(process.pid)
                await asyncio.sleep(1.0)
                assert spent(process.pid) - used < 0.5, "it spins"
                server = await asyncio.start_server(registry.serve, HOST, discovery)
                assert await with_timeout(registry.watch_requests.get()) == "/v1/servers?follow=1&since=3"
                good = Client(*await asyncio.open_connection(HOST, port))
                assert status_of(await good.request(post_request(1))) == 200
                assert b"out of system resource" not in log.read_bytes()
                server.close()
                for sock in socks:
                    sock.close()
            finally:
                process.kill()
                await process.wait()

    asyncio.run(play())


async def ready(port: int) -> None:
    """Wait until a process answers that it is ready."""
    async with asyncio.timeout(MAX_WAIT):
        while True:
            try:
                client = Client(*await asyncio.open_connection(HOST, port))
                if status_of(await client.request(HEALTH)) == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
