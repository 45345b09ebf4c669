"""The callers' side on loopback sockets: odd requests, limits, start and shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from loopback import Client, free_port, running_proxy, stub_backend, stub_discovery, wait_until, with_timeout
from proxy_inputs import (
    HOST,
    MAX_WAIT,
    OK_RESPONSE,
    RAW_SETTINGS,
    endpoint_entry,
    get_request,
    post_request,
    proxy_config,
    status_of,
)

from proxy.proxy import Proxy

ROOT = Path(__file__).parent.parent
CHUNKED = post_request(
    Content_Length="", Transfer_Encoding="chunked", body=b"2\r\nro\r\n2\r\nom\r\n0\r\n\r\n"
)


@pytest.mark.parametrize(
    ("request_", "expected"),
    [
        (post_request(X_Priority_Class="odd"), 400),
        (post_request(X_Priority_Class=""), 400),
        (post_request(X_Tenant_Id="odd"), 400),
        (post_request(X_Request_ID=""), 400),
        (post_request().replace(b"POST", b"PUT"), 400),
        (post_request().replace(b"POST", b"GET"), 400),
        (post_request(X_Priority_Class="once"), 400),
        (post_request(X_Priority_Class="once", Idempotency_Key="k"), 200),
        *((post_request(timeout=time), 400) for time in ("", "soon", "nan", "inf", "-1", "1e9", "1_0")),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost h\r\n\r\n", 400),
        (post_request().replace(b"/api/k", b"/apis"), 404),
        (b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (post_request(body=b"x" * (64 * 1024 + 1)), 413),
        (post_request(body=b"x" * (1 << 20)), 413),
        (post_request(timeout="0.000"), 503),
        (get_request(target="/api"), 200),
        (CHUNKED, 200),
        (CHUNKED.replace(b"chunked", b"gzip, chunked"), 400),
        (CHUNKED.replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\n", 1), 400),
        (post_request().replace(b"Content-Length: 4", b"Content-Length: 4\r\nContent-Length: 4"), 400),
        (post_request().replace(b"Content-Length: 4", b"Content-Length: -4"), 400),
        (post_request().replace(b"Content-Length: 4", b"Content-Length: 3000000000"), 413),
        (post_request(X_Pad="p" * (17 << 10)), 431),
        (post_request(X_Pad="p" * (300 << 10)), 431),
        (b"GET /api/k HTTP/1.1\r\n" + b"X-Pad: p\r\n" * 4000, 431),
        (post_request().replace(b"\r\nX-Timeout", b"\r\nX-Request-Id: id2\r\nX-Timeout"), 400),
        (post_request(X_Request_ID="id 1"), 400),
        (post_request(X_Request_ID="i" * 65), 400),
        (post_request(X_Note="\xff"), 400),
        (post_request(Connection="X-Request-ID"), 400),
        (post_request(Connection="upgrade", Upgrade="h2c"), 400),
        (b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (post_request().replace(b"Host: h\r\n", b""), 400),
        (post_request().replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
        (get_request(target="/api/k#part"), 400),
        (b"".join(get_request(number) for number in range(200)), 400),
    ],
)
def test_odd_requests_get_one_answer_and_the_proxy_goes_on(request_: bytes, expected: int) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            answer = await client.request(request_)
            assert status_of(answer) == expected
            assert answer.count(b"\n", answer.index(b"\r\n\r\n") + 4) <= 1, "more than one line of reason"
            if expected not in (200, 503):
                assert await with_timeout(client.reader.read()) == b""  # half closed, not reset
            assert one.received.qsize() == (expected == 200)
            if request_ is CHUNKED:
                assert one.received.get_nowait().endswith(b"Content-Length: 4\r\n\r\nroom")
            assert status_of(await (await up.connect()).request(post_request(2))) == 200

    asyncio.run(play())


def test_split_kept_and_back_to_back_requests_are_answered_in_order() -> None:
    async def play() -> None:
        def script(request: bytes) -> bytes:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + request[request.index(b"id") + 2 :][:1]

        async with stub_backend(script) as one, running_proxy([endpoint_entry("a", one.address)]) as up:
            client = await up.connect()
            whole = post_request(1) + get_request(2) + CHUNKED.replace(b"id1", b"id3")
            client.writer.write(whole)
            assert [(await client.response())[-1:] for _ in range(3)] == [b"1", b"2", b"3"]
            for at in range(len(whole)):
                client.writer.write(whole[at : at + 1])
                await asyncio.sleep(0)
            assert [(await client.response())[-1:] for _ in range(3)] == [b"1", b"2", b"3"]
            last = await client.request(post_request(4, Connection="close"))
            assert b"Connection: close\r\n" in last
            assert await with_timeout(client.reader.read()) == b""

    asyncio.run(play())


@pytest.mark.parametrize(
    "sent", [b"", b"\r\n", b"POST /api/k HT", post_request(body=b"room")[:-1], CHUNKED[:-4]]
)
def test_a_caller_that_does_not_finish_is_let_go(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            client.writer.write(sent)
            got = await with_timeout(client.reader.read())
            assert got.startswith(b"HTTP/1.1 408 ") if len(sent) > 2 else got == b""
            assert one.received.empty()
            client.writer.close()
            await wait_until(
                lambda: not up.proxy.listener.connections.open and not up.proxy.listener.connections.closing
            )

    monkeypatch.setattr("proxy.downstream.eviction.FIRST_REQUEST_TIMEOUT", 0.5)
    asyncio.run(play())


def test_an_idle_caller_is_let_go(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            assert status_of(await client.request(post_request())) == 200
            assert await with_timeout(client.reader.read()) == b""
            assert not up.proxy.listener.connections.open

    monkeypatch.setattr("proxy.downstream.eviction.IDLE_TIMEOUT", 0.1)
    asyncio.run(play())


def test_half_bodies_may_not_fill_the_memory() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            limit = 400 << 10  # 100 KiB for half bodies
            async with running_proxy([endpoint_entry("a", one.address)], memory_limit=limit) as up:
                whole = [post_request(number, body=b"x" * (60 << 10)) for number in range(2)]
                first, second = await up.connect(), await up.connect()
                first.writer.write(whole[0][:-1])
                await wait_until(lambda: up.proxy.listener.buffered_bytes > 60_000)
                assert status_of(await second.request(whole[1][:-1])) == 503
                assert status_of(await first.request(whole[0][-1:])) == 200
                await wait_until(lambda: up.proxy.listener.buffered_bytes == 0)
                assert one.received.qsize() == 1

    asyncio.run(play())


def test_silent_callers_make_room_before_good_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            async with running_proxy(
                [endpoint_entry("a", one.address)], max_sockets=48 + 8
            ) as up:  # 4 callers
                front = up.proxy.listener
                good, half = await up.connect(), await up.connect()
                assert status_of(await good.request(post_request(1))) == 200
                half.writer.write(post_request(2)[:-1])
                await wait_until(lambda: bool(front.connections.reading))
                bad = await up.connect()
                assert status_of(await bad.request(b"nonsense\r\n\r\n")) == 400
                silent = [await up.connect() for _ in range(12)]  # far more than there is room for
                await wait_until(lambda: not front.connections.closing and len(front.connections.open) == 4)
                for client in silent[:-2]:
                    assert await with_timeout(client.reader.read()) == b""
                assert status_of(await good.request(post_request(3))) == 200
                assert status_of(await half.request(post_request(2)[-1:])) == 200

    for name in (
        "FIRST_REQUEST_TIMEOUT",
        "REQUEST_TIMEOUT",
        "MIN_IDLE_TIMEOUT",
        "IDLE_TIMEOUT",
        "CLOSING_TIMEOUT",
    ):
        monkeypatch.setattr(f"proxy.downstream.eviction.{name}", 3 * MAX_WAIT)
    monkeypatch.setattr("proxy.downstream.eviction.SETTLING_TIME", 0.0)
    asyncio.run(play())


def test_an_id_that_is_open_here_is_not_passed_on() -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: None) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client, other = await up.connect(), await up.connect()
            client.writer.write(post_request(1))
            await with_timeout(one.received.get())
            assert status_of(await other.request(post_request(1))) == 409
            for writer in one.writers:
                writer.write(OK_RESPONSE)
            assert status_of(await client.response()) == 200
            client.writer.write(post_request(1))  # not open any more
            assert b"id1" in await with_timeout(one.received.get())

    asyncio.run(play())


def test_what_connection_names_and_trailers_end_here() -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            hops = post_request(1, Connection="keep-alive, X-Hop", X_Hop="1", X_End="2")
            assert status_of(await client.request(hops)) == 200
            sent = await with_timeout(one.received.get())
            assert b"X-Hop" not in sent
            assert b"X-End: 2" in sent
            trailed = CHUNKED.replace(b"0\r\n\r\n", b"0\r\nX-Request-ID: id7\r\n\r\n")
            trailed = trailed.replace(b"X-Tenant", b"Transfer_Encoding: a\r\nX-Tenant")
            assert status_of(await client.request(trailed)) == 200
            sent = await with_timeout(one.received.get())
            assert b"id7" not in sent
            assert b"Transfer" not in sent

    asyncio.run(play())


def test_answers_that_are_not_read_hold_up_further_requests() -> None:
    async def play() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65536
        async with (
            stub_backend(lambda _: large) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (HOST, up.port))
            await wait_until(lambda: bool(up.proxy.listener.connections.open))
            [caller] = up.proxy.listener.connections.open
            number = 0
            while not caller._write_paused:
                sock.send(get_request(number := number + 1))
                await wait_until(lambda sent=number: caller._write_paused or one.received.qsize() == sent)  # type: ignore[misc]
            assert caller._transport.get_write_buffer_size() < 3 * 65536
            sock.close()

    asyncio.run(play())


def test_the_limit_on_callers() -> None:
    async def play() -> None:
        async with stub_backend(lambda request: OK_RESPONSE if b"id1" in request else None) as one:
            async with running_proxy(
                [endpoint_entry("a", one.address)], max_sockets=48 + 8
            ) as up:  # 4 callers
                idle = await up.connect()
                assert status_of(await idle.request(post_request(1))) == 200
                busy = []
                for number in range(4):
                    busy.append(await up.connect())
                    busy[-1].writer.write(post_request(20 + number))
                    await with_timeout(one.received.get())
                assert await with_timeout(idle.reader.read()) == b"", "the idle one made no room"
                refused = await (await up.connect()).request(post_request(3))
                assert status_of(refused) == 503
                assert b"Connection: close\r\n" in refused
                busy[0].writer.close()
                front = up.proxy.listener
                await wait_until(lambda: len(front.connections.open) - len(front.connections.closing) == 3)
                assert status_of(await (await up.connect()).request(post_request(1))) == 200

    asyncio.run(play())


def environment(path: Path, listen: str, discovery: str, known: list[dict[str, object]]) -> dict[str, str]:
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": listen,
                "discovery": discovery,
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"index": 3, "snapshot": True, "endpoints": known},
                "settings": RAW_SETTINGS,
            }
        )
    )
    return {**os.environ, "RELAY_CONFIG": str(path), "RELAY_LISTEN": listen, "RELAY_DISCOVERY": discovery}


async def connect(port: int) -> Client:
    return Client(*await asyncio.open_connection(HOST, port))


async def up_and_ready(port: int) -> None:
    """Wait until a process answers that it is ready."""
    async with asyncio.timeout(MAX_WAIT):
        while True:
            try:
                client = await connect(port)
                if status_of(await client.request(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")) == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)


def test_what_was_taken_is_finished_after_sigterm(tmp_path: Path) -> None:
    async def play() -> None:
        async with stub_discovery() as registry, stub_backend(lambda _: None) as one:
            port = free_port()
            env = environment(
                tmp_path / "c.json",
                f"{HOST}:{port}",
                f"{HOST}:{registry.port}",
                [endpoint_entry("a", one.address)],
            )
            process = await asyncio.create_subprocess_exec(sys.executable, "-m", "proxy", cwd=ROOT, env=env)
            await up_and_ready(port)
            idle, early = await connect(port), await connect(port)
            early.writer.write(post_request(1, timeout="15"))
            await with_timeout(one.received.get())
            process.send_signal(signal.SIGTERM)
            late = await connect(port)  # new connections still come for a moment
            late.writer.write(post_request(2, timeout="15"))
            await with_timeout(one.received.get())
            assert await with_timeout(idle.reader.read()) == b""
            for writer in one.writers:
                writer.write(OK_RESPONSE)
            for client in (early, late):
                answer = await client.response()
                assert status_of(answer) == 200
                assert b"Connection: close\r\n" in answer
            assert await with_timeout(process.wait()) == 0

    asyncio.run(play())


def test_sighup_moves_the_watch_and_loses_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        async with (
            stub_discovery() as old,
            stub_discovery() as new,
            stub_backend(lambda _: OK_RESPONSE) as one,
        ):
            port, path = free_port(), tmp_path / "c.json"
            env = environment(path, f"{HOST}:{port}", f"{HOST}:{old.port}", [])
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "proxy", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
            )
            assert process.stderr is not None
            await with_timeout(old.watch_requests.get())
            old.send_update(4, [endpoint_entry("b", f"{HOST}:9", "terminating")])
            await up_and_ready(port)
            path.write_text("{")
            process.send_signal(signal.SIGHUP)  # can't be read: one line, and all stays
            assert (await with_timeout(process.stderr.readline())).startswith(b"proxy: reload: ")
            environment(path, f"{HOST}:{port}", f"{HOST}:{new.port}", [])
            for _ in range(3):
                process.send_signal(signal.SIGHUP)
            assert await with_timeout(new.watch_requests.get()) == "/v1/servers?follow=1&since=0"
            assert old.disconnects.empty(), "the old watch went before the new one told anything"
            old.send_update(5, [endpoint_entry("a", one.address)])  # still counts
            client = await connect(port)
            number = 0
            while status_of(await client.request(get_request(number := number + 1))) != 200:
                await asyncio.sleep(0.01)
            new.send_update(6, [endpoint_entry("a", one.address)], snapshot=True)
            await with_timeout(old.disconnects.get())
            assert status_of(await client.request(get_request(number + 1))) == 200
            assert new.watch_requests.empty()
            assert old.watch_requests.empty()
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            assert await with_timeout(process.wait()) == 0

    asyncio.run(play())


def test_a_proxy_out_of_descriptors_complains_little_and_recovers(tmp_path: Path) -> None:
    async def play() -> None:
        port = free_port()
        env = environment(
            tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:9", [endpoint_entry("a", f"{HOST}:9")]
        )
        with open(tmp_path / "log", "wb") as log:
            process = await asyncio.create_subprocess_shell(
                f"ulimit -n 30; exec {sys.executable} -m proxy", cwd=ROOT, env=env, stderr=log
            )
        await up_and_ready(port)
        many = [socket.create_connection((HOST, port)) for _ in range(60)]
        await wait_until(lambda: b"out of system resource" in (tmp_path / "log").read_bytes())
        for sock in many:
            sock.close()
        await up_and_ready(port)
        process.send_signal(signal.SIGTERM)
        assert await with_timeout(process.wait()) == 0
        assert (tmp_path / "log").read_bytes().count(b"out of system resource") < 500

    asyncio.run(play())


ODD_LIST = {
    "name": "n0",
    "listen": f"{HOST}:0",
    "discovery": f"{HOST}:9",
    "seed": "1",
    "limits": {"sockets": 64},
    "known": {"index": 1, "endpoints": [{"name": "a"}]},
    "settings": RAW_SETTINGS,
}


def test_a_drain_takes_what_is_queued_and_what_still_comes() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            proxy = Proxy(proxy_config([endpoint_entry("a", one.address)]))
            listener = await proxy.listener.listen()
            port = listener.getsockname()[1]
            ending = asyncio.create_task(proxy.shutdown.run(listener))
            await asyncio.sleep(0)  # the drain has begun
            client = await connect(port)
            assert status_of(await client.request(post_request(1))) == 200
            assert status_of(await client.request(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")) == 503
            await with_timeout(ending)
            assert await with_timeout(client.reader.read()) == b""
            with pytest.raises(ConnectionRefusedError):
                await connect(port)

    asyncio.run(play())


def test_closing_the_listener_loses_nothing_that_is_queued() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            front = Proxy(proxy_config([endpoint_entry("a", one.address)])).listener
            listener = await front.listen()
            queued = [socket.create_connection(listener.getsockname()) for _ in range(20)]
            await front.stop_listening(listener)
            for sock in queued:
                client = Client(*await asyncio.open_connection(sock=sock))
                assert status_of(await client.request(post_request())) == 200

    asyncio.run(play())


@pytest.mark.parametrize("text", ["", "{}", "[]", '{"settings":{}}', json.dumps(ODD_LIST)])
def test_a_bad_configuration_ends_with_one_plain_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "c.json"
    path.write_text(text)
    env = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
    for more in ({"RELAY_CONFIG": str(path)}, {"RELAY_CONFIG": str(path / "none")}, {}):
        done = subprocess.run(
            [sys.executable, "-m", "proxy"],
            cwd=ROOT,
            env=env | more,
            timeout=MAX_WAIT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2
        assert done.stdout == ""
        [line] = done.stderr.splitlines()
        assert line.startswith("proxy: ")
