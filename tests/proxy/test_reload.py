"""A configuration that is read again while the proxy runs: what is taken over, what stays, what is rejected.

`test_reload_active_requests` holds what becomes of the active requests.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING, Any

import pytest

from balancer.balancer import Balancer
from proxy.upstream.idle_connections import FLEET_IDLE_PER_BACKEND
from tests.support.config_files import BAD_FILES, READ_CLASS, file_with_settings
from tests.support.loopback import (
    Client,
    ConnectGate,
    ManualClock,
    StubBackend,
    connect,
    free_port,
    in_event_loop,
    respond_ok,
    stay_silent,
    stub_backend,
    stub_discovery,
    with_timeout,
)
from tests.support.proxy_inputs import (
    HEALTH_REQUEST,
    HOST,
    MAX_WAIT,
    OK_RESPONSE,
    RAW_SETTINGS,
    endpoint_entry,
    get_request,
    post_request,
    status_of,
)
from tests.support.proxy_internals import idle_quota, sweep_timer
from tests.support.proxy_process import proxy_process, wait_until_ready
from tests.support.reloadable_proxy import (
    ConfigFile,
    ReloadableProxy,
    reloadable_proxy,
    reloadable_proxy_with_backend,
    request_of_class,
)

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from pathlib import Path

MAX_LOG_LINE = 600  # characters
BACKENDS_AT_SIZE = 910

LogLines = Callable[[], list[str]]


# ---- what is taken over ----------------------------------------------------------------------


@in_event_loop
async def test_zones_and_machine_types_keep_their_meaning_when_their_order_changes(config_path: Path) -> None:
    async with stub_backend(respond_ok) as near, stub_backend(respond_ok) as far:
        entries = [
            endpoint_entry("a", near.address),
            endpoint_entry("b", far.address) | {"zone": "there", "type": "unlisted"},
            endpoint_entry("c", f"{HOST}:9") | {"zone": "nowhere", "type": "strange"},
        ]
        async with reloadable_proxy(config_path, entries) as proxy:
            client = await proxy.connect()
            number = 0
            for restriction, zones, machine_types, expected_backend in (
                ({"AllowedIn": [1]}, ["there", "here"], ["k"], near),
                ({"AllowedIn": [2]}, ["x", "here", "there"], ["y", "k"], far),
                ({"BoundTo": [1]}, ["here"], ["k", "unlisted"], far),
                ({"BoundTo": [1]}, [], ["unlisted", "k"], near),
            ):
                proxy.reload(
                    Services=[READ_CLASS | restriction], Zones=zones, HostTypes=machine_types, Zone=0
                )
                assert list(proxy.listener.config.machine_type_indices) == machine_types  # taken over
                for repetition in range(8):
                    number += 1
                    if repetition == 4:  # an update from now on is read as the list before the reload
                        proxy.notify(entries)
                    assert status_of(await client.request(get_request(number))) == 200
                    assert b"id%d\r\n" % number in await with_timeout(expected_backend.received.get())
                    assert len(proxy.balancer.assignment.by_class[0].ready) == 1
            assert near.received.empty()
            assert far.received.empty()


@in_event_loop
async def test_draining_backend_stays_draining(config_path: Path) -> None:
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, backend):
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        proxy.notify([endpoint_entry("a", backend.address, "terminating")])
        proxy.reload(Services=[READ_CLASS | {"Aim": 30.0}, READ_CLASS | {"Name": "new"}])
        assert status_of(await client.request(get_request(2))) == 503
        assert status_of(await client.request(request_of_class("new", 3))) == 503


@in_event_loop
async def test_idle_connections_and_connection_attempts_go_by_the_new_timeouts(
    config_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock()
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, backend):
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        await clock.advance(2.0)
        assert backend.disconnects.empty()
        timeouts = {"ConnIdle": 3.0, "DialTimeout": 0.5}
        proxy.reload(Bounds=RAW_SETTINGS["Bounds"] | timeouts | {"MaxAttempts": 1})
        await clock.wait_until(lambda: backend.disconnects.qsize() == 1)
        gate = ConnectGate(monkeypatch)
        client.writer.write(get_request(2))
        await clock.wait_until(lambda: gate.held == 1)
        await clock.advance(0.6)
        assert status_of(await client.response()) == 503


@in_event_loop
async def test_idle_quota_goes_by_the_new_fleet_size(config_path: Path) -> None:
    entries = [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2")]
    async with reloadable_proxy(config_path, entries) as proxy:
        proxy.reload(Instances=4)
        assert idle_quota(proxy.pool) == FLEET_IDLE_PER_BACKEND * 2 / 4


def record_calls(monkeypatch: pytest.MonkeyPatch, names: list[str]) -> list[str]:
    """Return a list to which each call of these methods of `Balancer` appends the method's name."""
    calls: list[str] = []

    def recording(name: str) -> Callable[..., Any]:
        method = getattr(Balancer, name)

        def call(*args: Any) -> Any:
            calls.append(name)
            return method(*args)

        return call

    for name in names:
        monkeypatch.setattr(Balancer, name, recording(name))
    return calls


def first_subset(proxy: ReloadableProxy) -> list[Any]:
    """Return the ids of the backends in the subset of the first pool."""
    return [state.endpoint.id for state in proxy.balancer.assignment.pools[0].subset]


@pytest.mark.parametrize("settings", [{"Services": [READ_CLASS]}, {"Instances": 30, "Ordinal": 7}])
@in_event_loop
async def test_reload_at_size_rebuilds_the_pools_once(
    config_path: Path, monkeypatch: pytest.MonkeyPatch, settings: dict[str, Any]
) -> None:
    entries = [endpoint_entry(f"s{number}", f"{HOST}:9") for number in range(BACKENDS_AT_SIZE)]
    async with reloadable_proxy(config_path, entries) as proxy:
        calls = record_calls(monkeypatch, ["rebuild_pools", "on_endpoints_updated"])
        before = first_subset(proxy)
        proxy.reload(**settings)
        assert calls == ["rebuild_pools"]
        assert (first_subset(proxy) != before) == ("Ordinal" in settings)


# ---- the version ------------------------------------------------------------------------------


@in_event_loop
async def test_version_in_force_is_visible_in_the_health_response_and_the_log(
    config_path: Path, log_lines: LogLines
) -> None:
    async with reloadable_proxy(config_path, []) as proxy:
        proxy.listener.ready = True
        status, [word, first_version] = await proxy.health()
        assert status == 200
        assert word == b"ok"
        assert first_version.startswith(b"version 1-")
        proxy.reload(Instances=2)
        [line] = log_lines()
        status, [word, second_version] = await proxy.health()
        assert status == 200
        assert second_version.startswith(b"version 2-")
        first_digest, second_digest = first_version[10:], second_version[10:]
        assert second_digest != first_digest
        assert line == f"proxy: reload: {second_version.decode()} is in force"
        proxy.reload({"version": 41}, Instances=2)
        assert log_lines() == [f"proxy: reload: version 41-{second_digest.decode()} is in force"]
        proxy.reload()
        assert (await proxy.health())[1][1] == b"version 4-" + first_digest
        proxy.listener.ready = False
        assert (await proxy.health())[0] == 503


def state_that_settings_replace(proxy: ReloadableProxy) -> list[Any]:
    """Return the objects that new settings replace."""
    balancer = proxy.balancer
    return [
        balancer.settings,
        balancer.assignment.pools,
        balancer.statistics.class_latency,
        balancer.tenant_quotas.tokens,
        sweep_timer(proxy.pool),
    ]


@in_event_loop
async def test_unchanged_settings_replace_nothing(config_path: Path, log_lines: LogLines) -> None:
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, _backend):
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        before = state_that_settings_replace(proxy)
        in_other_order = dict(reversed(proxy.file.content.items()))
        in_other_order |= {"settings": dict(reversed(RAW_SETTINGS.items()))}
        for top_entries in (None, in_other_order, {"discovery": f"{HOST}:10"}):
            proxy.reload(top_entries)
        after = state_that_settings_replace(proxy)
        assert all(old is new for old, new in zip(before, after, strict=True))
        assert log_lines() == [f"proxy: reload: discovery is at {HOST}:10"]
        assert (await proxy.health())[1][1].startswith(b"version 1-")


# ---- what stays -------------------------------------------------------------------------------


@in_event_loop
async def test_what_identifies_the_process_stays(config_path: Path, log_lines: LogLines) -> None:
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, _backend):
        other_identity = {
            "name": "n1",
            "listen": f"{HOST}:1",
            "seed": "2",
            "limits": {"sockets": 1, "memory_mb": 1},
            "known": {"index": 9, "endpoints": []},
        }
        proxy.reload(other_identity)
        logged_fields = [line.split()[2] for line in log_lines()]
        assert logged_fields == ["name", "listen", "seed", "sockets", "memory", "known"]
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        assert proxy.listener.config.name == "n0"
        assert proxy.listener.config.max_sockets == 1024
        proxy.reload(other_identity, Instances=2)  # the settings beside them are taken over
        assert "in force" in log_lines()[-1]


#: Files that are good at a start, but change settings that need a restart.
RESTART_FILES: dict[str, bytes] = {
    "another tier": file_with_settings(Tier=1, Tiers=["one", "two"]),
    "another discovery mode": file_with_settings(RegistryMode="on_request"),
}


@pytest.mark.parametrize(
    "content",
    [*BAD_FILES.values(), *RESTART_FILES.values(), None],
    ids=[*BAD_FILES, *RESTART_FILES, "no file"],
)
@in_event_loop
async def test_bad_file_leaves_the_last_good_one_in_force_and_logs_one_line(
    config_path: Path, content: bytes | None, log_lines: LogLines
) -> None:
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, _backend):
        proxy.reload(Instances=3)
        version = proxy.listener.version
        assert len(log_lines()) == 1
        config_before = proxy.listener.config
        settings_before = proxy.balancer.settings
        if content is None:
            config_path.unlink()
        else:
            config_path.write_bytes(content)
        proxy.reload_file()
        [line] = log_lines()
        assert line.startswith(f"proxy: reload: refused, version {version} stays: ")
        assert "Traceback" not in line
        assert len(line) < MAX_LOG_LINE
        assert line.isprintable()
        assert proxy.listener.config is config_before
        assert proxy.balancer.settings is settings_before
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        proxy.reload()
        assert "in force" in log_lines()[0]


@contextmanager
def full_pipe() -> Iterator[tuple[int, int]]:
    """Open a pipe that is full, and yield its ends; a write to it waits until somebody reads.

    The caller closes the end to write to.
    """
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with suppress(BlockingIOError):
        while True:
            os.write(write_end, bytes(4096))
    os.set_blocking(write_end, True)
    try:
        yield read_end, write_end
    finally:
        os.close(read_end)


@in_event_loop
async def test_log_that_nobody_reads_does_not_stop_the_proxy(
    config_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = asyncio.get_running_loop()
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, _backend):
        with full_pipe() as (read_end, write_end):
            with open(write_end, "w") as log:
                monkeypatch.setattr(sys, "stderr", log)
                proxy.file.write(Instances=2)
                reload_done = threading.Event()
                # Lets the test end where the proxy waits for somebody to read.
                reader = threading.Thread(
                    target=lambda: reload_done.wait(MAX_WAIT) or os.read(read_end, 1 << 20)
                )
                reader.start()
                began_at = loop.time()
                proxy.reload_file()
                duration = loop.time() - began_at
                reload_done.set()
                reader.join()
                monkeypatch.undo()
        assert duration < MAX_WAIT / 2.0
        assert proxy.listener.version.startswith("2-")


# ---- signals ----------------------------------------------------------------------------------


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


async def wait_until_shutdown_has_begun(port: int) -> None:
    """Ask for a proxy's health until it says that it is ending."""
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
            for _ in range(5):  # the same file again and again: nothing to log
                process.send_signal(signal.SIGHUP)
            second = await request_in_flight(port, backend, request_of_class("new", 2), b"id2")

            process.send_signal(signal.SIGTERM)
            third = await request_in_flight(port, backend, request_of_class("new", 3), b"id3")
            await wait_until_shutdown_has_begun(port)
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
