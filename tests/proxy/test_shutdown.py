"""Signals and invalid configurations of a proxy process, and draining of its listener.

A shutdown must lose no request that arrives before SIGTERM or shortly after it, and no queued connection.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import socket
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from proxy.proxy import Proxy
from testbed.paths import PROJECT_ROOT
from testbed.processes import inherited_environment
from tests.support.config_files import raw_config
from tests.support.loopback import (
    Client,
    connect,
    free_port,
    in_event_loop,
    respond_ok,
    stay_silent,
    stub_backend,
    stub_discovery,
    with_timeout,
)
from tests.support.open_connections import close_at_end
from tests.support.proxy_inputs import (
    HEALTH_REQUEST,
    HOST,
    MAX_WAIT,
    OK_RESPONSE,
    endpoint_entry,
    get_request,
    post_request,
    proxy_config,
    status_of,
)
from tests.support.proxy_process import (
    environment_with_addresses,
    wait_until_ready,
    write_config,
)

if TYPE_CHECKING:
    from pathlib import Path

#: A configuration with an invalid cached endpoint list.
INVALID_LIST = raw_config(limits={"sockets": 64}, known={"index": 1, "endpoints": [{"name": "a"}]})


@in_event_loop
async def test_sigterm_loses_no_request_received_before_or_shortly_after_it(tmp_path: Path) -> None:
    async with stub_discovery() as discovery, stub_backend(stay_silent) as backend:
        port = free_port()
        path, listen, watched = tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:{discovery.port}"
        write_config(path, listen, watched, [endpoint_entry("a", backend.address)])
        environment = environment_with_addresses(path, listen, watched)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "proxy", cwd=PROJECT_ROOT, env=environment
        )
        await wait_until_ready(port)
        idle, early = await connect(port), await connect(port)
        early.writer.write(post_request(1, timeout="15"))
        await with_timeout(backend.received.get())
        process.send_signal(signal.SIGTERM)
        late = await connect(port)  # new connections are still accepted for a short time
        late.writer.write(post_request(2, timeout="15"))
        await with_timeout(backend.received.get())
        assert await with_timeout(idle.reader.read()) == b""
        for writer in backend.writers:
            writer.write(OK_RESPONSE)
        for client in (early, late):
            response = await client.response()
            assert status_of(response) == 200
            assert b"Connection: close\r\n" in response
        assert await with_timeout(process.wait()) == 0


@in_event_loop
async def test_sighup_with_a_new_discovery_address_loses_no_update(tmp_path: Path) -> None:
    async with (
        stub_discovery() as old,
        stub_discovery() as new,
        stub_backend(respond_ok) as backend,
    ):
        port, path = free_port(), tmp_path / "c.json"
        listen, old_address, new_address = f"{HOST}:{port}", f"{HOST}:{old.port}", f"{HOST}:{new.port}"
        write_config(path, listen, old_address, [])
        environment = environment_with_addresses(path, listen, old_address)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "proxy", cwd=PROJECT_ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        assert process.stderr is not None
        await with_timeout(old.watch_requests.get())
        old.send_update(4, [endpoint_entry("b", f"{HOST}:9", "terminating")])
        await wait_until_ready(port)
        path.write_text("{")
        process.send_signal(signal.SIGHUP)  # invalid: it is reported in one line and changes nothing
        assert (await with_timeout(process.stderr.readline())).startswith(b"proxy: reload: ")
        write_config(path, listen, new_address, [])
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        assert await with_timeout(new.watch_requests.get()) == "/v1/servers?follow=1&since=0"
        assert old.disconnects.empty(), "the old watch was closed before the new one had sent a list"
        old.send_update(5, [endpoint_entry("a", backend.address)])  # updates from the old watch still apply
        client = await connect(port)
        for number in itertools.count(1):
            if status_of(await client.request(get_request(number))) == 200:
                break
            await asyncio.sleep(0.01)
        new.send_update(6, [endpoint_entry("a", backend.address)], snapshot=True)
        await with_timeout(old.disconnects.get())
        assert status_of(await client.request(get_request(number + 1))) == 200
        assert new.watch_requests.empty()
        assert old.watch_requests.empty()
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert await with_timeout(process.wait()) == 0


@in_event_loop
async def test_draining_proxy_still_serves_queued_and_new_connections() -> None:
    async with stub_backend(respond_ok) as backend:
        proxy = Proxy(proxy_config([endpoint_entry("a", backend.address)]))
        listening_socket = await proxy.listener.listen()
        port = listening_socket.getsockname()[1]
        shutdown = asyncio.create_task(proxy.shutdown.run(listening_socket))
        await asyncio.sleep(0)  # the proxy is draining
        client = await connect(port)
        assert status_of(await client.request(post_request(1))) == 200
        assert status_of(await client.request(HEALTH_REQUEST)) == 503
        await with_timeout(shutdown)
        assert await with_timeout(client.reader.read()) == b""
        with pytest.raises(ConnectionRefusedError):
            await connect(port)


@in_event_loop
async def test_closing_the_listener_does_not_reset_queued_connections() -> None:
    async with stub_backend(respond_ok) as backend:
        listener = Proxy(proxy_config([endpoint_entry("a", backend.address)])).listener
        listening_socket = await listener.listen()
        queued = [socket.create_connection(listening_socket.getsockname()) for _ in range(20)]
        await listener.stop_listening(listening_socket)
        for sock in queued:
            client = Client(*await asyncio.open_connection(sock=sock))
            close_at_end(client.writer)
            assert status_of(await client.request(post_request())) == 200


@pytest.mark.parametrize("text", ["", "{}", "[]", '{"settings":{}}', json.dumps(INVALID_LIST)])
def test_invalid_configuration_exits_with_one_line_without_a_traceback(tmp_path: Path, text: str) -> None:
    path = tmp_path / "c.json"
    path.write_text(text)
    environment = inherited_environment()
    for variables in ({"RELAY_CONFIG": str(path)}, {"RELAY_CONFIG": str(path / "none")}, {}):
        process = subprocess.run(
            [sys.executable, "-m", "proxy"],
            cwd=PROJECT_ROOT,
            env=environment | variables,
            timeout=MAX_WAIT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert process.returncode == 2
        assert process.stdout == ""
        [line] = process.stderr.splitlines()
        assert line.startswith("proxy: ")
