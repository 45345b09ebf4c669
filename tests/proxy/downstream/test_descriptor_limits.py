"""Clients must not use up the descriptors that the proxy needs for discovery, backends and its own process.

Discovery is down at first, so that its watch needs a new descriptor after the clients have connected.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

from testbed.paths import PROJECT_ROOT
from testbed.processes import inherited_environment
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
    wait_until_ready,
    write_config,
)

MAX_SOCKETS = 100  # the descriptors that the configuration allows the proxy to use

OWN_DESCRIPTORS = 12  # of the process itself: standard streams, the event loop, the listener, two watches

#: The bytes that each of too many clients sends, by test id: none, a part of a request, or a complete one.
CLIENT_BYTES = {
    "silent": b"",
    "half": post_request(2)[:-1],
    "head": b"POST /api/k HTTP/1.1\r\nX-",
    "responded": HEALTH_REQUEST,
}


@dataclass
class ExcessClients:
    """More clients than a proxy admits.

    Attributes:
        sockets: The clients' sockets.
        peak: The largest number of connections that the proxy had open at once.
    """

    sockets: list[socket.socket]
    peak: int


async def connect_excess_clients(clock: ManualClock, proxy: RunningProxy, sent: bytes) -> ExcessClients:
    """Open far more connections than the limit, and send the same bytes on each."""
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
    return ExcessClients(client_sockets, peak)


def bound_socket() -> socket.socket:
    """Return a socket that is bound to a port but does not listen yet: connecting to it fails.

    The port is reserved, whereas another socket could bind to a port that is only free.
    """
    sock = socket.socket()
    sock.bind((HOST, 0))
    return sock


def processor_seconds(pid: int) -> float:
    """Return the seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@in_event_loop
async def test_proxy_out_of_descriptors_logs_little_and_recovers(tmp_path: Path) -> None:
    port = free_port()
    path, log_path = tmp_path / "c.json", tmp_path / "log"
    listen, unused_address = f"{HOST}:{port}", f"{HOST}:{NO_DISCOVERY_PORT}"
    write_config(path, listen, unused_address, [endpoint_entry("a", unused_address)])
    environment = environment_with_addresses(path, listen, unused_address)
    with log_path.open("wb") as log:
        process = await asyncio.create_subprocess_shell(
            f"ulimit -n 30; exec {sys.executable} -m proxy", cwd=PROJECT_ROOT, env=environment, stderr=log
        )
    await wait_until_ready(port)
    client_sockets = [socket.create_connection((HOST, port)) for _ in range(60)]
    await wait_until(lambda: b"proxy: accept: Too many open files" in log_path.read_bytes())
    for sock in client_sockets:
        sock.close()
    await wait_until_ready(port)
    process.send_signal(signal.SIGTERM)
    assert await with_timeout(process.wait()) == 0
    assert log_path.read_bytes().count(b"\n") < 50  # one line a second while descriptors are used up


@pytest.mark.parametrize("kind", CLIENT_BYTES)
@in_event_loop
async def test_idle_clients_leave_descriptors_for_the_watch_and_for_requests(kind: str) -> None:
    async with stub_backend(respond_ok) as backend:
        discovery, discovery_socket = StubDiscovery(), bound_socket()
        discovery_port = discovery_socket.getsockname()[1]
        clock = ManualClock()
        async with running_proxy(
            [endpoint_entry("a", backend.address)], discovery=discovery_port, max_sockets=MAX_SOCKETS
        ) as proxy:
            excess = await connect_excess_clients(clock, proxy, CLIENT_BYTES[kind])
            # The connections to backends have to fit as well.
            assert excess.peak + max_connections(proxy.pool) + OWN_DESCRIPTORS <= MAX_SOCKETS
            client = await proxy.connect()
            client.writer.write(post_request(1))
            assert status_of(await clock.wait_for(client.response())) == 200
            server = await asyncio.start_server(discovery.serve, sock=discovery_socket)
            await clock.advance(0.5)
            await clock.wait_until(lambda: discovery.watch_requests.qsize() == 1)
            server.close()
            for sock in excess.sockets:
                sock.close()


@pytest.mark.parametrize("kind", CLIENT_BYTES)
@in_event_loop
async def test_process_at_its_descriptor_limit_does_not_spin_and_starts_its_watch(
    tmp_path: Path, kind: str
) -> None:
    discovery, discovery_socket = StubDiscovery(), bound_socket()
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
                env=inherited_environment() | {"RELAY_CONFIG": str(path)},
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
            assert processor_seconds(process.pid) - used_before < 0.5, "the process spins"
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
