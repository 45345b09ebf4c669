"""SIGHUP to a proxy process: it applies the changed file, but no new settings during a shutdown."""

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
    """Return the next line in the log of a process."""
    assert process.stderr is not None
    return await with_timeout(process.stderr.readline())


async def send_and_wait_until_received(
    port: int, backend: StubBackend, request: bytes, request_id: bytes
) -> Client:
    """Send a request to a proxy, wait until the backend has received it, and return the client."""
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
async def test_sighup_applies_settings_and_the_discovery_address_until_shutdown(tmp_path: Path) -> None:
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
            first = await send_and_wait_until_received(port, backend, post_request(1, timeout="15"), b"id1")

            file.content["discovery"] = f"{HOST}:{new_discovery.port}"
            file.write({"version": "v2"}, Services=[READ_CLASS, READ_CLASS | {"Name": "new"}])
            process.send_signal(signal.SIGHUP)
            assert (await next_log_line(process)).startswith(b"proxy: reload: version v2-")
            line = await next_log_line(process)
            assert line.decode() == f"proxy: reload: discovery is at {HOST}:{new_discovery.port}\n"
            await with_timeout(new_discovery.watch_requests.get())
            for _ in range(5):  # the same file again: nothing is logged
                process.send_signal(signal.SIGHUP)
            second = await send_and_wait_until_received(port, backend, request_of_class("new", 2), b"id2")

            process.send_signal(signal.SIGTERM)
            third = await send_and_wait_until_received(port, backend, request_of_class("new", 3), b"id3")
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
