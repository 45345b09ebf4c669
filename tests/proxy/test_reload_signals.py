"""SIGHUP to a proxy's process: it applies a new configuration, and not any more during a shutdown."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from tests.support.config_files import READ_CLASS
from tests.support.loopback import (
    Client,
    StubBackend,
    connect,
    free_port,
    in_event_loop,
    stay_silent,
    stub_backend,
    stub_discovery,
    with_timeout,
)
from tests.support.proxy_inputs import (
    HEALTH_REQUEST,
    HOST,
    OK_RESPONSE,
    endpoint_entry,
    post_request,
    status_of,
)
from tests.support.proxy_process import proxy_process, wait_until_ready
from tests.support.reloadable_proxy import (
    ConfigFile,
    request_of_class,
)

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from pathlib import Path


async def next_log_line(process: Process) -> bytes:
    """Return the next line that a process logs."""
    assert process.stderr is not None
    return await with_timeout(process.stderr.readline())


async def request_in_flight(port: int, backend: StubBackend, request: bytes, request_id: bytes) -> Client:
    """Send a request to a proxy, wait until it has reached the backend, and return its client."""
    client = await connect(port)
    client.writer.write(request)
    assert request_id in await with_timeout(backend.received.get())
    return client


async def wait_until_draining(port: int) -> None:
    """Poll a proxy's health check until it reports that the proxy is shutting down."""
    while True:
        client = await connect(port)
        if status_of(await client.request(HEALTH_REQUEST)) == 503:
            return


@in_event_loop
async def test_one_sighup_applies_settings_and_moves_the_watch_until_shutdown(tmp_path: Path) -> None:
    async with (
        stub_discovery() as old_discovery,
        stub_discovery() as new_discovery,
        stub_backend(stay_silent) as backend,
    ):
        port = free_port()
        file = ConfigFile(tmp_path / "c.json", [], old_discovery.port)
        file.content["listen"] = f"{HOST}:{port}"
        file.write()
        async with proxy_process(file.path) as process:
            assert process.stderr is not None
            await with_timeout(old_discovery.watch_requests.get())
            old_discovery.send_update(8, [endpoint_entry("a", backend.address)])
            await wait_until_ready(port)
            first = await request_in_flight(port, backend, post_request(1, timeout="15"), b"id1")

            file.content["discovery"] = f"{HOST}:{new_discovery.port}"
            file.write({"version": "v2"}, Services=[READ_CLASS, READ_CLASS | {"Name": "new"}])
            process.send_signal(signal.SIGHUP)
            assert (await next_log_line(process)).startswith(b"proxy: reload: version v2-")
            line = await next_log_line(process)
            assert line.decode() == f"proxy: reload: discovery is at {HOST}:{new_discovery.port}\n"
            await with_timeout(new_discovery.watch_requests.get())
            for _ in range(5):  # the same file several times: nothing to log
                process.send_signal(signal.SIGHUP)
            second = await request_in_flight(port, backend, request_of_class("new", 2), b"id2")

            process.send_signal(signal.SIGTERM)
            third = await request_in_flight(port, backend, request_of_class("new", 3), b"id3")
            await wait_until_draining(port)
            file.write(Services=[READ_CLASS])
            process.send_signal(signal.SIGHUP)
            line = await next_log_line(process)
            assert line.startswith(b"proxy: reload: the process is ending: version v2-")

            for writer in backend.writers:
                writer.write(OK_RESPONSE)
            for client in (first, second, third):
                assert status_of(await client.response()) == 200
            assert await with_timeout(process.wait()) == 0
            assert await process.stderr.read() == b""
