"""Clients that fill the descriptors while discovery is down, on loopback sockets and at a process's limit."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from testbed.paths import PROJECT_ROOT
from tests.support.config_files import raw_config
from tests.support.loopback import (
    ManualClock,
    RunningProxy,
    StubDiscovery,
    connect,
    free_port,
    in_event_loop,
    respond_ok,
    running_proxy,
    stub_backend,
    wait_until,
    with_timeout,
)
from tests.support.proxy_inputs import (
    HEALTH_REQUEST,
    HOST,
    MAX_WAIT,
    NO_DISCOVERY_PORT,
    endpoint_entry,
    post_request,
    status_of,
)
from tests.support.proxy_internals import max_connections
from tests.support.proxy_process import (
    environment_with_addresses,
    environment_without_proxy,
    wait_until_ready,
    write_config,
)

MAX_SOCKETS = 100  # descriptors that the configuration gives

OWN_DESCRIPTORS = 12  # of the process itself: standard streams, the loop's, the listener, two watches

#: What clients that fill the descriptors send: nothing, a part of a request, or one that is answered.
CLIENT_BYTES = {
    "silent": b"",
    "half": post_request(2)[:-1],
    "head": b"POST /api/k HTTP/1.1\r\nX-",
    "answered": HEALTH_REQUEST,
}


async def fill_descriptors(
    clock: ManualClock, proxy: RunningProxy, sent: bytes
) -> tuple[list[socket.socket], int]:
    """Open far more connections than the limit; also returns the peak of those that the proxy had open."""
    listener = proxy.listener
    client_sockets = []
    peak = 0
    for _ in range(4 * MAX_SOCKETS):
        last_accepted_at = listener.last_accepted_at
        open_before = listener.connections.open.copy()
        sock = socket.create_connection((HOST, proxy.port))
        client_sockets.append(sock)
        await clock.wait_until(lambda before=open_before: bool(listener.connections.open - before))  # type: ignore[misc]
        assert listener.last_accepted_at >= last_accepted_at
        sock.setblocking(False)
        try:
            sock.send(sent)
        except OSError:  # closed by the proxy already
            continue
        await clock.settle()
        peak = max(peak, len(listener.connections.open))
    return client_sockets, peak


def socket_that_refuses() -> socket.socket:
    """Return a socket that refuses connections until it listens.

    It holds its port: one that is merely free may be taken by another socket before it is needed.
    """
    sock = socket.socket()
    sock.bind((HOST, 0))
    return sock


def processor_seconds(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@in_event_loop
async def test_proxy_out_of_descriptors_logs_little_and_recovers(tmp_path: Path) -> None:
    port = free_port()
    path, listen, nobody = tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:{NO_DISCOVERY_PORT}"
    write_config(path, listen, nobody, [endpoint_entry("a", nobody)])
    environment = environment_with_addresses(path, listen, nobody)
    with open(tmp_path / "log", "wb") as log:
        process = await asyncio.create_subprocess_shell(
            f"ulimit -n 30; exec {sys.executable} -m proxy", cwd=PROJECT_ROOT, env=environment, stderr=log
        )
    await wait_until_ready(port)
    client_sockets = [socket.create_connection((HOST, port)) for _ in range(60)]
    await wait_until(lambda: b"proxy: accept: Too many open files" in (tmp_path / "log").read_bytes())
    for sock in client_sockets:
        sock.close()
    await wait_until_ready(port)
    process.send_signal(signal.SIGTERM)
    assert await with_timeout(process.wait()) == 0
    assert (tmp_path / "log").read_bytes().count(b"\n") < 50  # one line a second, while any wait lasts


@pytest.mark.parametrize("kind", CLIENT_BYTES)
@in_event_loop
async def test_idle_clients_leave_descriptors_for_the_watch_and_for_requests(kind: str) -> None:
    async with stub_backend(respond_ok) as backend:
        discovery, discovery_socket = StubDiscovery(), socket_that_refuses()
        discovery_port = discovery_socket.getsockname()[1]
        clock = ManualClock()
        async with running_proxy(
            [endpoint_entry("a", backend.address)], discovery=discovery_port, max_sockets=MAX_SOCKETS
        ) as proxy:
            client_sockets, peak = await fill_descriptors(clock, proxy, CLIENT_BYTES[kind])
            # As many attempts may be in flight, and all together have to fit.
            assert peak + max_connections(proxy.pool) + OWN_DESCRIPTORS <= MAX_SOCKETS
            client = await proxy.connect()
            client.writer.write(post_request(1))
            assert status_of(await clock.wait_for(client.response())) == 200
            server = await asyncio.start_server(discovery.serve, sock=discovery_socket)
            await clock.advance(0.5)
            await clock.wait_until(lambda: discovery.watch_requests.qsize() == 1)
            server.close()
            for sock in client_sockets:
                sock.close()


@pytest.mark.parametrize("kind", CLIENT_BYTES)
@in_event_loop
async def test_process_at_its_descriptor_limit_does_not_spin_and_starts_its_watch(
    tmp_path: Path, kind: str
) -> None:
    discovery, discovery_socket = StubDiscovery(), socket_that_refuses()
    port, discovery_port = free_port(), discovery_socket.getsockname()[1]
    async with stub_backend(respond_ok) as backend:
        path, log = tmp_path / "c.json", tmp_path / "log"
        content = raw_config(
            listen=f"{HOST}:{port}",
            discovery=f"{HOST}:{discovery_port}",
            limits={"cores": 1.0, "memory_mb": 192, "sockets": MAX_SOCKETS},
            known={"index": 3, "snapshot": True, "endpoints": [endpoint_entry("a", backend.address)]},
        )
        path.write_text(json.dumps(content))
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_shell(
                f"ulimit -n {MAX_SOCKETS}; exec {sys.executable} -m proxy",
                cwd=PROJECT_ROOT,
                stderr=file,
                env=environment_without_proxy() | {"RELAY_CONFIG": str(path)},
            )
        try:
            await wait_until_ready(port)
            client_sockets = []
            for _ in range(3 * MAX_SOCKETS):
                client_sockets.append(socket.create_connection((HOST, port), timeout=MAX_WAIT))
                try:
                    client_sockets[-1].send(CLIENT_BYTES[kind])
                except OSError:  # closed by the proxy already
                    continue
            used_before = processor_seconds(process.pid)
            await asyncio.sleep(1.0)
            assert processor_seconds(process.pid) - used_before < 0.5, "it spins"
            server = await asyncio.start_server(discovery.serve, sock=discovery_socket)
            assert await with_timeout(discovery.watch_requests.get()) == "/v1/servers?follow=1&since=3"
            client = await connect(port)
            assert status_of(await client.request(post_request(1))) == 200
            assert b"out of system resource" not in log.read_bytes()
            server.close()
            for sock in client_sockets:
                sock.close()
        finally:
            process.kill()
            await process.wait()
