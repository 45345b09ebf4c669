"""A configuration read again while the proxy runs, on loopback sockets: what is taken, kept and refused."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    ConnectGate,
    ManualClock,
    RunningProxy,
    free_port,
    stub_backend,
    stub_discovery,
    wait_until,
    with_timeout,
)
from proxy_inputs import (
    HOST,
    MAX_WAIT,
    NOT_PROCESSED_RESPONSE,
    OK_RESPONSE,
    RAW_SETTINGS,
    endpoint_entry,
    get_request,
    post_request,
    status_of,
)
from test_config import BAD, bad, lines, path
from test_server import ROOT, up_and_ready

from balancer.balancer import Balancer
from balancer.endpoints import UpdateKind
from proxy.config import load
from proxy.proxy import Proxy
from proxy.upstream import connection_pool

READ, BOOK, ONCE = RAW_SETTINGS["Services"]
__all__ = ["path"]  # a fixture
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"


class File:
    """The configuration file of a proxy."""

    def __init__(self, path: Path, known: list[dict[str, Any]], discovery: int = 9) -> None:
        self.path = path
        self.top: dict[str, Any] = {
            "name": "n0",
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:{discovery}",
            "seed": "1",
            "limits": {"sockets": 1024, "memory_mb": 64},
            "known": {"index": 7, "snapshot": True, "endpoints": known},
            "settings": RAW_SETTINGS,
        }
        self.write()

    def write(self, top: dict[str, Any] | None = None, **settings: Any) -> None:
        """The usual file with other entries at its top, and other settings."""
        self.path.write_text(json.dumps(self.top | {"settings": RAW_SETTINGS | settings} | (top or {})))


class Site(RunningProxy):
    """A proxy in this process, with its file."""

    def __init__(self, proxy: Proxy, port: int, file: File) -> None:
        super().__init__(proxy, port)
        self.file = file

    def reload(self, top: dict[str, Any] | None = None, **settings: Any) -> None:
        """Change the file, and do what SIGHUP does."""
        self.file.write(top, **settings)
        self.proxy.reloader.reload(os.environ)

    async def health(self) -> tuple[int, list[bytes]]:
        """The status and the lines of the body that `/healthz` answers."""
        answer = await (await self.connect()).request(HEALTH)
        return status_of(answer), answer.partition(b"\r\n\r\n")[2].splitlines()


@asynccontextmanager
async def site(path: Path, known: list[dict[str, Any]], discovery: int = 9) -> AsyncIterator[Site]:
    """A proxy on a free port, from its file."""
    file = File(path, known, discovery)
    proxy = Proxy(load(os.environ))
    sock = await proxy.listener.listen()
    try:
        yield Site(proxy, sock.getsockname()[1], file)
    finally:
        await proxy.listener.stop_listening(sock)
        proxy.listener.stop_keepalive()


def of(kind: str, number: int, method: str = "GET") -> bytes:
    """A request of a class."""
    return get_request(number, X_Priority_Class=kind).replace(b"GET", method.encode(), 1)


# ---- requests in flight ------------------------------------------------------------------


@pytest.mark.parametrize(
    "services",
    [
        [BOOK, READ, ONCE | {"Name": "new", "Repeat": "retryable"}],
        [READ | {"Name": "new"}, READ],
        [READ | {"Name": "new"}],
    ],
)
def test_classes_change_under_a_request(path: Path, services: list[dict[str, Any]]) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one, site(path, [endpoint_entry("a", one.address)]) as up:
            client, other = await up.connect(), await up.connect()
            client.writer.write(post_request(1))
            await with_timeout(one.received.get())
            up.reload(Services=services)
            assert status_of(await other.request(of("once", 2))) == 400  # gone
            other = await up.connect()
            other.writer.write(of("new", 3))
            assert b"id3" in await with_timeout(one.received.get())
            for writer in one.writers:
                writer.write(OK_RESPONSE)
            assert status_of(await client.response()) == 200 == status_of(await other.response())
            left = next((row for row in services if row["Name"] == "book"), None)
            one.script = lambda _: OK_RESPONSE
            assert status_of(await client.request(post_request(4))) == (200 if left else 400)

    asyncio.run(play())


@pytest.mark.parametrize(
    ("first", "then"),
    [
        (post_request, [READ, BOOK | {"Repeat": "retryable"}]),  # may be repeated by now
        (get_request, [READ | {"Repeat": "fragile"}, BOOK]),  # may not be repeated any more
        (post_request, [READ]),  # gone
    ],
)
@pytest.mark.parametrize("end", ["resets", "errs"])
def test_what_may_have_run_is_neither_sent_again_nor_refused(
    path: Path, first: Any, then: list[dict[str, Any]], end: str
) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one, site(path, [endpoint_entry("a", one.address)]) as up:
            client = await up.connect()
            client.writer.write(first(1))
            await with_timeout(one.received.get())
            async with stub_backend(lambda _: OK_RESPONSE) as two:
                up.notify([endpoint_entry("b", two.address)])
                up.reload(Services=then)
                if end == "resets":
                    one.writers[0].close()
                else:
                    one.writers[0].write(b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
                assert status_of(await client.response()) == 502
                assert two.received.empty()

    asyncio.run(play())


def test_what_never_ran_goes_on_under_the_class_it_came_with(path: Path) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one, stub_backend(lambda _: OK_RESPONSE) as two:
            async with site(path, [endpoint_entry("a", one.address)]) as up:
                client = await up.connect()
                client.writer.write(post_request(1))
                await with_timeout(one.received.get())
                up.notify([endpoint_entry("b", two.address)])
                up.reload(Services=[READ])
                one.writers[0].write(NOT_PROCESSED_RESPONSE)
                assert status_of(await client.response()) == 200

    asyncio.run(play())


def test_an_answer_that_has_begun_is_waited_for_once_it_can_not_be_asked_for_again(path: Path) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE[:-2]) as one:
            clock = ManualClock()
            async with site(path, [endpoint_entry("a", one.address)]) as up:
                client = await up.connect()
                client.writer.write(get_request(1))
                calls = up.proxy.dispatcher.active_requests
                await clock.wait_until(
                    lambda: any(
                        attempt.connection is not None and attempt.connection._parser.receiving
                        for call in calls.values()
                        for attempt in call.attempts
                    )
                )
                up.reload(Services=[READ | {"Repeat": "fragile"}])
                await clock.advance(1.0)
                one.writers[0].write(OK_RESPONSE[-2:])
                assert status_of(await client.response()) == 200

    asyncio.run(play())


def test_a_request_that_waits_is_classified_when_it_is_taken_up(path: Path) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one, site(path, [endpoint_entry("a", one.address)]) as up:
            client = await up.connect()
            client.writer.write(post_request(1) + of("book", 2) + of("book", 3, "POST"))
            await with_timeout(one.received.get())
            up.reload(Services=[READ, BOOK | {"Repeat": "retryable"}])
            one.script = lambda _: OK_RESPONSE
            one.writers[0].write(OK_RESPONSE)
            assert [status_of(await client.response()) for _ in range(3)] == [200, 200, 400]

    asyncio.run(play())


def test_tenants_change_under_a_request(path: Path) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one, site(path, [endpoint_entry("a", one.address)]) as up:
            client, other = await up.connect(), await up.connect()
            client.writer.write(get_request(1))
            await with_timeout(one.received.get())
            up.reload(Orgs=[{"Name": "new", "AllowancePerS": 9.0}, {"Name": "acme", "AllowancePerS": 5.0}])
            one.script = lambda _: OK_RESPONSE
            assert status_of(await other.request(get_request(2, X_Tenant_Id="new"))) == 200
            assert status_of(await other.request(get_request(3))) == 200
            balancer = up.proxy.balancer
            assert [int(due) for due in balancer.tenant_quotas.tokens] == [45, 0]
            up.reload(Orgs=[{"Name": "new", "AllowancePerS": 9.0}])
            assert status_of(await other.request(get_request(4))) == 400
            one.writers[0].write(OK_RESPONSE)
            assert status_of(await client.response()) == 200

    asyncio.run(play())


# ---- places, servers, limits -----------------------------------------------------------------


def test_zones_and_types_keep_their_meaning_when_their_order_changes(path: Path) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one, stub_backend(lambda _: OK_RESPONSE) as two:
            far = endpoint_entry("b", two.address) | {"zone": "there", "type": "unlisted"}
            strange = endpoint_entry("c", f"{HOST}:9") | {"zone": "nowhere", "type": "strange"}
            listed = [endpoint_entry("a", one.address), far, strange]
            async with site(path, listed) as up:
                client = await up.connect()
                number = 0
                for services, zones, types, got in (
                    ([READ | {"AllowedIn": [1]}], ["there", "here"], ["k"], one),
                    ([READ | {"AllowedIn": [2]}], ["x", "here", "there"], ["y", "k"], two),
                    ([READ | {"BoundTo": [1]}], ["here"], ["k", "unlisted"], two),
                    ([READ | {"BoundTo": [1]}], [], ["unlisted", "k"], one),
                ):
                    up.reload(Services=services, Zones=zones, HostTypes=types, Zone=0)
                    assert list(up.proxy.listener.config.machine_type_indices) == types  # it was taken
                    for again in range(8):
                        number += 1
                        if again == 4:  # a list told from now on is read as the one before
                            up.proxy.on_update(
                                UpdateKind.DELTA, up.proxy.reader.endpoints({"endpoints": listed})
                            )
                        assert status_of(await client.request(get_request(number))) == 200
                        assert b"id%d\r\n" % number in await with_timeout(got.received.get())
                        assert len(up.proxy.balancer.assignment.by_class[0].ready) == 1
                assert one.received.empty()
                assert two.received.empty()

    asyncio.run(play())


def test_what_is_not_sent_yet_goes_where_its_class_may_still_go(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one, stub_backend(lambda _: OK_RESPONSE) as two:
            async with site(path, [endpoint_entry("a", one.address)]) as up:
                client = await up.connect()
                gate = ConnectGate(monkeypatch)
                client.writer.write(post_request(1))
                await wait_until(lambda: gate.held == 1)
                reader = up.proxy.reader
                up.proxy.on_update(
                    UpdateKind.DELTA,
                    reader.endpoints({"endpoints": [endpoint_entry("b", two.address) | {"zone": "there"}]}),
                )
                up.reload(Services=[READ, BOOK | {"AllowedIn": [1]}])
                gate.release()
                assert status_of(await client.response()) == 200
                assert b"id1" in await with_timeout(two.received.get())
                assert one.received.empty()

    asyncio.run(play())


def test_a_server_that_drains_goes_on_draining(path: Path) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            site(path, [endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            assert status_of(await client.request(get_request(1))) == 200
            up.notify([endpoint_entry("a", one.address, "terminating")])
            up.reload(Services=[READ | {"Aim": 30.0}, READ | {"Name": "new"}])
            assert status_of(await client.request(get_request(2))) == 503
            assert status_of(await client.request(of("new", 3))) == 503

    asyncio.run(play())


def test_idle_connections_and_dials_go_by_the_new_times(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            clock = ManualClock()
            async with site(path, [endpoint_entry("a", one.address)]) as up:
                client = await up.connect()
                assert status_of(await client.request(get_request(1))) == 200
                await clock.advance(2.0)
                assert one.disconnects.empty()
                up.reload(
                    Bounds=RAW_SETTINGS["Bounds"] | {"ConnIdle": 3.0, "DialTimeout": 0.5, "MaxAttempts": 1}
                )
                await clock.wait_until(lambda: one.disconnects.qsize() == 1)
                gate = ConnectGate(monkeypatch)
                client.writer.write(get_request(2))
                await clock.wait_until(lambda: gate.held == 1)
                await clock.advance(0.6)
                assert status_of(await client.response()) == 503

    asyncio.run(play())


def test_the_share_of_idle_connections_goes_by_the_new_fleet(path: Path) -> None:
    async def play() -> None:
        async with site(path, [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2")]) as up:
            up.reload(Instances=4)
            assert up.proxy.pool._idle_quota == connection_pool.FLEET_IDLE_PER_BACKEND * 2 / 4

    asyncio.run(play())


@pytest.mark.parametrize("swap", [{"Services": [READ]}, {"Instances": 30, "Ordinal": 7}])
def test_a_swap_at_size_rebuilds_the_lists_once(
    path: Path, monkeypatch: pytest.MonkeyPatch, swap: dict[str, Any]
) -> None:
    async def play() -> None:
        async with site(path, [endpoint_entry(f"s{n}", f"{HOST}:9") for n in range(910)]) as up:
            done: list[str] = []

            def counted(name: str) -> Callable[..., Any]:
                method = getattr(Balancer, name)

                def call(*args: Any) -> Any:
                    done.append(name)
                    return method(*args)

                return call

            for name in ("_rebuild_pools", "on_endpoints_updated"):
                monkeypatch.setattr(Balancer, name, counted(name))
            before = [server.endpoint.id for server in up.proxy.balancer.assignment.pools[0].subset]
            up.reload(**swap)
            assert done == ["_rebuild_pools"]
            after = [server.endpoint.id for server in up.proxy.balancer.assignment.pools[0].subset]
            assert (after != before) == ("Ordinal" in swap)

    asyncio.run(play())


# ---- the version, and what is refused -----------------------------------------------------------


def test_the_version_in_force_is_visible(path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        async with site(path, []) as up:
            up.proxy.listener.ready = True
            code, [word, first] = await up.health()
            assert code == 200
            assert word == b"ok"
            assert first.startswith(b"version 1-")
            up.reload(Instances=2)
            [line] = lines(capfd)
            code, [word, second] = await up.health()
            assert code == 200
            assert second.startswith(b"version 2-")
            assert second[10:] != first[10:]
            assert line == f"proxy: reload: {second.decode()} is in force"
            up.reload({"version": 41}, Instances=2)
            assert lines(capfd) == [f"proxy: reload: version 41-{second[10:].decode()} is in force"]
            up.reload()
            assert (await up.health())[1][1] == b"version 4-" + first[10:]
            up.proxy.listener.ready = False
            assert (await up.health())[0] == 503

    asyncio.run(play())


def test_an_unchanged_configuration_changes_nothing(path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            site(path, [endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            assert status_of(await client.request(get_request(1))) == 200
            proxy, balancer = up.proxy, up.proxy.balancer
            kept = [
                balancer.settings,
                balancer.assignment.pools,
                balancer.statistics.class_latency,
                balancer.tenant_quotas.tokens,
                proxy.pool._sweep_timer,
            ]
            order = dict(reversed(up.file.top.items())) | {"settings": dict(reversed(RAW_SETTINGS.items()))}
            for top in (None, order, {"discovery": f"{HOST}:10"}):
                up.reload(top)
            now = [
                balancer.settings,
                balancer.assignment.pools,
                balancer.statistics.class_latency,
                balancer.tenant_quotas.tokens,
                proxy.pool._sweep_timer,
            ]
            assert all(a is b for a, b in zip(kept, now, strict=True))
            assert lines(capfd) == [f"proxy: reload: discovery is at {HOST}:10"]
            assert (await up.health())[1][1].startswith(b"version 1-")

    asyncio.run(play())


def test_what_identifies_the_process_stays(path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            site(path, [endpoint_entry("a", one.address)]) as up,
        ):
            top = {
                "name": "n1",
                "listen": f"{HOST}:1",
                "seed": "2",
                "limits": {"sockets": 1, "memory_mb": 1},
                "known": {"index": 9, "endpoints": []},
            }
            up.reload(top)
            said = [line.split()[2] for line in lines(capfd)]
            assert said == ["name", "listen", "seed", "sockets", "memory", "known"]
            assert status_of(await (await up.connect()).request(get_request(1))) == 200
            assert up.proxy.listener.config.name == "n0"
            assert up.proxy.listener.config.max_sockets == 1024
            up.reload(top, Instances=2)  # the settings beside them are taken
            assert "in force" in lines(capfd)[-1]

    asyncio.run(play())


RESTART: dict[str, bytes] = {
    "tier": bad(Tier=1, Tiers=["one", "two"]),
    "discovery": bad(RegistryMode="on_request"),
}


@pytest.mark.parametrize("data", [*BAD.values(), *RESTART.values(), None], ids=[*BAD, *RESTART, "no file"])
def test_a_bad_file_keeps_the_last_good_one_and_prints_one_line(
    path: Path, data: bytes | None, capfd: pytest.CaptureFixture[str]
) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            site(path, [endpoint_entry("a", one.address)]) as up,
        ):
            up.reload(Instances=3)
            version = up.proxy.listener.version
            assert len(lines(capfd)) == 1
            before = up.proxy.listener.config
            settings = up.proxy.balancer.settings
            if data is None:
                path.unlink()
            else:
                path.write_bytes(data)
            up.proxy.reloader.reload(os.environ)
            [line] = lines(capfd)
            assert line.startswith(f"proxy: reload: refused, version {version} stays: ")
            assert "Traceback" not in line
            assert len(line) < 600
            assert line.isprintable()
            assert up.proxy.listener.config is before
            assert up.proxy.balancer.settings is settings
            assert status_of(await (await up.connect()).request(get_request(1))) == 200
            up.reload()
            assert "in force" in lines(capfd)[0]

    asyncio.run(play())


def test_a_log_that_nobody_empties_does_not_stop_the_proxy(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            site(path, [endpoint_entry("a", one.address)]) as up,
        ):
            source, sink = os.pipe()
            os.set_blocking(sink, False)
            with suppress(BlockingIOError):
                while True:
                    os.write(sink, bytes(4096))
            os.set_blocking(sink, True)
            with open(sink, "w") as log:
                monkeypatch.setattr(sys, "stderr", log)
                up.file.write(Instances=2)
                done = threading.Event()
                loop = asyncio.get_running_loop()
                # Lets the test end where the proxy waits for somebody to read.
                reader = threading.Thread(target=lambda: done.wait(MAX_WAIT) or os.read(source, 1 << 20))
                reader.start()
                begun = loop.time()
                up.proxy.reloader.reload(os.environ)
                waited = loop.time() - begun
                done.set()
                reader.join()
                monkeypatch.undo()
            os.close(source)
            assert waited < MAX_WAIT / 2.0
            assert up.proxy.listener.version.startswith("2-")

    asyncio.run(play())


# ---- signals ------------------------------------------------------------------------------------


def test_one_signal_brings_settings_and_discovery(tmp_path: Path) -> None:
    async def play() -> None:
        async with stub_discovery() as old, stub_discovery() as new, stub_backend(lambda _: None) as one:
            port = free_port()
            file = File(tmp_path / "c.json", [], old.port)
            file.top["listen"] = f"{HOST}:{port}"
            file.write()
            env = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "proxy",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
                env=env | {"RELAY_CONFIG": str(file.path)},
            )
            assert process.stderr is not None
            await with_timeout(old.watch_requests.get())
            old.send_update(8, [endpoint_entry("a", one.address)])
            await up_and_ready(port)
            client = RunningProxy(None, port)  # type: ignore[arg-type]
            caller = await client.connect()
            caller.writer.write(post_request(1, timeout="15"))
            await with_timeout(one.received.get())
            file.top["discovery"] = f"{HOST}:{new.port}"
            file.write({"version": "v2"}, Services=[READ, READ | {"Name": "new"}])
            process.send_signal(signal.SIGHUP)
            assert (await with_timeout(process.stderr.readline())).startswith(b"proxy: reload: version v2-")
            line = await with_timeout(process.stderr.readline())
            assert line.decode() == f"proxy: reload: discovery is at {HOST}:{new.port}\n"
            await with_timeout(new.watch_requests.get())
            for _ in range(5):  # the same file again and again: nothing to say
                process.send_signal(signal.SIGHUP)
            other = await client.connect()
            other.writer.write(of("new", 2))
            assert b"id2" in await with_timeout(one.received.get())
            process.send_signal(signal.SIGTERM)
            late = await client.connect()
            late.writer.write(of("new", 3))  # it has begun to end
            assert b"id3" in await with_timeout(one.received.get())
            health = await (await client.connect()).request(HEALTH)
            while status_of(health) != 503:
                health = await (await client.connect()).request(HEALTH)
            file.write(Services=[READ])
            process.send_signal(signal.SIGHUP)
            line = await with_timeout(process.stderr.readline())
            assert line.startswith(b"proxy: reload: the process is ending: version v2-")
            for writer in one.writers:
                writer.write(OK_RESPONSE)
            for waiting in (caller, other, late):
                assert status_of(await waiting.response()) == 200
            assert await with_timeout(process.wait()) == 0
            assert await process.stderr.read() == b""

    asyncio.run(play())
