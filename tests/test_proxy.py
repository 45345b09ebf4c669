"""The proxy on loopback sockets: what goes on, what comes back, and what a failure means."""

from __future__ import annotations

import asyncio
import gc
import time
from dataclasses import replace
from typing import Any

import pytest
from loopback import (
    CLOSE_CONNECTION,
    StubBackend,
    running_proxy,
    stub_backend,
    stub_discovery,
    wait_until,
    with_timeout,
)
from proxy_inputs import (
    HOST,
    MAX_WAIT,
    MAYBE_PROCESSED_RESPONSE,
    NOT_PROCESSED_RESPONSE,
    OK_RESPONSE,
    RAW_SETTINGS,
    endpoint_entry,
    get_request,
    post_request,
    proxy_config,
    status_of,
)

from balancer.events import Outcome, Reject
from balancer.settings import Settings
from balancer.settings_reader import read_settings
from proxy.active_request import ActiveRequest
from proxy.config import Address
from proxy.downstream.connection import DownstreamConnection
from proxy.downstream.request_parser import RequestParser
from proxy.proxy import Proxy
from proxy.upstream import connection_pool, keepalive_policy
from proxy.upstream.attempt import MAX_RESPONSE_STALL, UpstreamAttempt
from proxy.upstream.backend import Backend as Known
from proxy.upstream.connection import UpstreamConnection
from proxy.upstream.connection_pool import ConnectionPool
from proxy.upstream.response_parser import ResponseParser, UpstreamResponse


def test_a_request_goes_on_unchanged_and_its_answer_comes_back() -> None:
    body = bytes(range(256)) * 256  # 64 KiB

    async def play() -> None:
        answer = b"HTTP/1.1 200 OK\r\nX-Note: n\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        async with (
            stub_backend(lambda _: answer) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            got = await client.request(post_request(body=body, timeout="25", X_Odd="kept"))
            assert status_of(got) == 200
            assert got.endswith(b"\r\n\r\n" + body)
            assert b"X-Note: n" in got
            sent = await with_timeout(one.received.get())
            assert sent.startswith(b"POST /api/k HTTP/1.1\r\n")
            assert sent.endswith(b"\r\n\r\n" + body)
            assert b"X-Request-ID: id1\r\n" in sent
            assert b"X-Odd: kept\r\n" in sent
            [left] = [line for line in sent.split(b"\r\n") if line.startswith(b"X-Timeout: ")]
            assert 5.0 < float(left.partition(b":")[2]) < 25.0
            await client.request(post_request(3, X_Priority_Class="once", Idempotency_Key="k1"))
            assert b"Idempotency-Key: k1\r\n" in await with_timeout(one.received.get())
            await client.request(get_request(2, target="/api/k%20y?q=a+b&c"))
            assert (await with_timeout(one.received.get())).startswith(b"GET /api/k%20y?q=a+b&c HTTP/1.1\r\n")

    asyncio.run(play())


def first(answer: bytes | None) -> Any:
    """A script for several backends: this for the first request, then OK."""
    left = [answer]
    return lambda _: left.pop() if left else OK_RESPONSE


@pytest.mark.parametrize(
    ("answer", "expected", "sent"),
    [
        (OK_RESPONSE, 200, 1),
        (NOT_PROCESSED_RESPONSE, 200, 2),
        (MAYBE_PROCESSED_RESPONSE, 502, 1),
        (b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", 502, 1),
        (CLOSE_CONNECTION, 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", 502, 1),
        (b"HTTP/1.1 200 OK\r\n\r\ncut", 502, 1),
        (b"nonsense cut", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ndone", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", 502, 1),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 502, 1),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n", 502, 1),
        (b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppp\r\n" * 2000, 502, 1),
        (b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 200000, 502, 1),
        (b"HTTP/1.1 101 Other\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", 502, 1),
        (b"HTTP/1.1 100 Continue\r\n\r\n" * 40, 502, 1),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-Note: a\r\n\r\n" + OK_RESPONSE, 200, 1),
        (OK_RESPONSE + OK_RESPONSE, 200, 1),
        (OK_RESPONSE + b"\x16\xcb noise\r\n\r\n", 200, 1),
        (OK_RESPONSE.replace(b"\r\n", b"\r\nX-Server-Load: {\r\nX-Server-Load: \xff=,\r\n", 1), 200, 1),
        (b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", 400, 1),
        (b"HTTP/1.1 499 Odd\r\nContent-Length: 0\r\n\r\n", 499, 1),
        (b"HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n", 502, 1),
    ],
)
def test_an_unsafe_request_is_sent_again_only_if_it_never_ran(
    answer: bytes, expected: int, sent: int
) -> None:
    async def play() -> None:
        script = first(answer)
        async with stub_backend(script) as one, stub_backend(script) as two:
            async with running_proxy(
                [endpoint_entry("a", one.address), endpoint_entry("b", two.address)]
            ) as up:
                client = await up.connect()
                assert status_of(await client.request(post_request())) == expected
                assert one.received.qsize() + two.received.qsize() == sent

    asyncio.run(play())


def test_a_refused_connection_never_ran() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as gone:
            pass
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            async with running_proxy(
                [endpoint_entry("a", one.address), endpoint_entry("b", gone.address)]
            ) as up:
                client = await up.connect()
                for number in range(6):
                    assert status_of(await client.request(post_request(number))) == 200
        assert one.received.qsize() == 6

    asyncio.run(play())


def test_a_dead_kept_connection_is_no_reason_to_send_again() -> None:
    async def play() -> None:
        answers = [OK_RESPONSE, CLOSE_CONNECTION, OK_RESPONSE]
        async with (
            stub_backend(lambda _: answers.pop(0)) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            assert [status_of(await client.request(post_request(n))) for n in range(3)] == [200, 502, 200]
            assert one.received.qsize() == 3

    asyncio.run(play())


def test_the_time_is_kept_when_the_backend_is_silent() -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: None) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            assert status_of(await client.request(post_request(timeout="0.2"))) == 504
            await with_timeout(one.disconnects.get())  # the attempt was given up by closing its connection

    asyncio.run(play())


def test_the_time_is_kept_when_the_module_is_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            with monkeypatch.context() as patch:
                patch.setattr(up.proxy.balancer, "on_request", lambda *_: [])
                client = await up.connect()
                assert status_of(await client.request(post_request(timeout="0.1"))) == 504
            assert status_of(await client.request(post_request(2))) == 200

    asyncio.run(play())


def test_an_exception_of_the_module_fails_one_request(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def fault(*_: object) -> None:
        raise RuntimeError("odd")

    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            for event in ("on_request", "on_attempt_finished"):
                with monkeypatch.context() as patch:
                    patch.setattr(up.proxy.balancer, event, fault)
                    # An answer that came before the fault stands.
                    assert status_of(await client.request(post_request())) == (
                        500 if event == "on_request" else 200
                    )
            assert status_of(await client.request(post_request(2))) == 200
            assert not up.proxy.dispatcher.active_requests

    asyncio.run(play())
    assert capsys.readouterr().err.count("RuntimeError: odd") == 1  # the log is no flood


def test_the_time_counts_from_the_first_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        deadlines: list[float] = []
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            ask = up.proxy.balancer.on_request

            def request(*args: Any) -> Any:
                deadlines.append(args[4])
                return ask(*args)

            monkeypatch.setattr(up.proxy.balancer, "on_request", request)
            client = await up.connect()
            client.writer.write(post_request()[:30])
            await wait_until(lambda: bool(up.proxy.listener.connections.reading))
            seen = time.time()
            await asyncio.sleep(0.05)
            assert status_of(await client.request(post_request()[30:])) == 200
            assert seen + 25.0 < deadlines[0] < seen + 30.0

    asyncio.run(play())


def test_the_modules_clock_is_the_lists_clock() -> None:
    async def play() -> None:
        async with running_proxy([]) as up:
            assert abs(up.proxy.clock.now() - time.time()) < 5.0

    asyncio.run(play())


@pytest.mark.parametrize("change", ["drained", "left", "late"])
def test_nothing_is_sent_when_the_world_moved_on_while_dialling(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            loop = asyncio.get_running_loop()
            connect, dialled, gate = loop.create_connection, asyncio.Event(), asyncio.Event()

            async def slow(*args: Any, **more: Any) -> Any:
                dialled.set()
                await gate.wait()
                return await connect(*args, **more)

            client = await up.connect()
            monkeypatch.setattr(loop, "create_connection", slow)
            client.writer.write(post_request(timeout="0.3" if change == "late" else "30"))
            await with_timeout(dialled.wait())
            if change == "drained":
                up.notify([endpoint_entry("a", one.address, "terminating")])
            elif change == "left":
                client.writer.close()
                await wait_until(lambda: not up.proxy.dispatcher.active_requests)
            else:
                assert status_of(await client.response()) >= 500
            gate.set()
            if change == "drained":
                assert status_of(await client.response()) == 503
            pool = up.proxy.pool
            await wait_until(lambda: pool._dialling == pool._connected == 0)
            assert one.received.empty()

    asyncio.run(play())


def test_a_caller_that_leaves_takes_its_attempt_along() -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: None) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            client.writer.write(post_request())
            await with_timeout(one.received.get())
            client.writer.close()
            await with_timeout(one.disconnects.get())
            await wait_until(
                lambda: not up.proxy.dispatcher.active_requests and not up.proxy.balancer.requests
            )

    asyncio.run(play())


@pytest.mark.parametrize(
    "told",
    [
        {"since_ms": 5_000},
        {"status": "terminated"},
        {"address": f"{HOST}:9"},
    ],
)
def test_idle_connections_to_a_process_that_is_no_more_are_closed(told: dict[str, Any]) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            assert status_of(await client.request(post_request())) == 200
            assert one.disconnects.empty()
            up.notify([endpoint_entry("a", one.address) | told])
            await with_timeout(one.disconnects.get())

    asyncio.run(play())


def test_healthz_is_ready_only_with_the_list() -> None:
    async def play() -> None:
        async with stub_discovery() as registry, stub_backend(lambda _: OK_RESPONSE) as one:
            async with running_proxy([], discovery=registry.port) as up:
                client = await up.connect()
                probe = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
                assert status_of(await client.request(probe)) == 503
                assert await with_timeout(registry.watch_requests.get()) == "/v1/servers?follow=1&since=7"
                registry.send_update(8, [endpoint_entry("a", one.address)])
                await wait_until(lambda: up.proxy.listener.ready)
                assert status_of(await client.request(probe)) == 200
                assert status_of(await client.request(post_request())) == 200

    asyncio.run(play())


def test_a_watch_that_ends_is_resumed_where_it_was() -> None:
    async def play() -> None:
        async with stub_discovery() as registry, running_proxy([], discovery=registry.port) as up:
            await with_timeout(registry.watch_requests.get())
            registry.send_update(
                12, [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2")], snapshot=True
            )
            await wait_until(lambda: len(up.proxy.endpoint_table.backends) == 2)
            assert registry.writer is not None
            registry.writer.close()
            assert await with_timeout(registry.watch_requests.get()) == "/v1/servers?follow=1&since=12"
            registry.send_update(13, [endpoint_entry("b", f"{HOST}:2")], snapshot=True)
            await wait_until(
                lambda: sum(b.in_service for b in up.proxy.endpoint_table.backends.values()) == 1
            )
            registry.send_update(
                14, [endpoint_entry("a", "nowhere")]
            )  # malformed: the list stays, the watch is renewed
            assert await with_timeout(registry.watch_requests.get()) == "/v1/servers?follow=1&since=13"

    asyncio.run(play())


def test_a_refusal_says_when_to_come_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with running_proxy([]) as up:
            client = await up.connect()
            assert b"Retry-After" not in await client.request(post_request())
            monkeypatch.setattr(up.proxy.balancer, "on_request", lambda _now, rid, *_: [Reject(rid, 0.25)])
            answer = await client.request(post_request(2))
            assert status_of(answer) == 503
            assert b"Retry-After: 0.250\r\n" in answer

    asyncio.run(play())


class Attempts:
    """Attempts of one pool, and how each ended."""

    def __init__(self, one: StubBackend, max_connections: int = 9, conn_idle: float = 60.0) -> None:
        self.upstream = ConnectionPool(max_connections, conn_idle, MAX_WAIT, 64 << 20)
        host, _, port = one.address.rpartition(":")
        self.known = Known(Address(host, int(port)))
        self.upstream.update_backend(self.known, self.known.address, 0.0, True)
        self.ended: asyncio.Queue[Outcome] = asyncio.Queue()

    def start(self, data: bytes = b"", retryable: bool = True) -> UpstreamAttempt:
        """Start one."""

        def report(_attempt: UpstreamAttempt, outcome: Outcome, _response: UpstreamResponse | None) -> None:
            self.ended.put_nowait(outcome)

        now = asyncio.get_running_loop().time()
        wait_until = now + 3 * MAX_WAIT
        attempt = UpstreamAttempt(
            self.known, now, wait_until, lambda _left: data or post_request(), report, retryable
        )
        self.upstream.start(attempt)
        return attempt


def test_a_cancel_closes_the_connection_and_ends_it_once() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one:
            attempts = Attempts(one)
            attempt = attempts.start()
            await with_timeout(one.received.get())
            attempt.finish(Outcome.CANCELLED)
            attempt.finish(Outcome.CANCELLED)
            await with_timeout(one.disconnects.get())
            await wait_until(lambda: attempts.upstream._connected == 0)
            assert [attempts.ended.get_nowait(), attempts.ended.empty()] == [Outcome.CANCELLED, True]

    asyncio.run(play())


def test_a_request_that_did_not_go_out_whole_never_ran() -> None:
    async def play() -> None:
        async def shut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1)
            writer.transport.abort()

        server = await asyncio.start_server(shut, HOST, 0, limit=1)
        one = StubBackend(lambda _: None)
        one.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        attempts = Attempts(one)
        attempts.start(b"x" * (64 << 20))  # more than the sockets hold
        assert await with_timeout(attempts.ended.get()) is Outcome.UNREACHABLE
        server.close()

    asyncio.run(play())


def test_the_limit_on_connections() -> None:
    async def play() -> None:
        async with stub_backend(lambda request: OK_RESPONSE if b"id1" in request else None) as one:
            attempts = Attempts(one, max_connections=1)
            attempts.start(post_request(1))
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            other = Known(attempts.known.address)
            attempts.upstream.update_backend(other, other.address, 0.0, True)
            attempts.known = other
            attempts.start(post_request(2))  # the idle connection to the first makes room
            await with_timeout(one.disconnects.get())
            attempts.start(post_request(3))
            assert await with_timeout(attempts.ended.get()) is Outcome.UNREACHABLE

    asyncio.run(play())


def test_the_most_recent_connection_is_used_and_old_ones_are_dropped() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            attempts = Attempts(one)
            for _ in range(2):
                attempts.start()
            for _ in range(2):
                assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            [older, newer] = attempts.known.idle_connections
            for connection in (older, newer):
                connection.idle_since -= connection_pool.REST_AFTER_RESPONSE
            attempts.start()
            assert attempts.known.idle_connections == [older]
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            assert attempts.known.idle_connections == [older, newer]
            assert one.disconnects.empty()
            older.idle_since -= 31.0
            attempts.upstream._sweep()
            await with_timeout(one.disconnects.get())
            assert attempts.known.idle_connections == [newer]

    asyncio.run(play())


@pytest.mark.parametrize(("proxies", "at_once", "kept"), [(1, 1, 10), (40, 1, 2), (40, 5, 5)])
def test_proxies_together_keep_few_idle_connections_to_a_backend(
    proxies: int, at_once: int, kept: int
) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one:
            attempts = Attempts(one, max_connections=20)
            attempts.upstream.set_idle_quota(10, proxies)
            for number in range(0, 10, at_once):
                for _ in range(number, number + at_once):  # each to a backend of its own
                    attempts.known = Known(attempts.known.address)
                    attempts.upstream.update_backend(attempts.known, attempts.known.address, 0.0, True)
                    attempts.start()
                for _ in range(at_once):
                    await with_timeout(one.received.get())
                for writer in one.writers[number:]:  # all are in use by now
                    writer.write(OK_RESPONSE)
                for _ in range(at_once):
                    assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
                assert attempts.known.idle_connections  # the latest are kept
            assert len(attempts.upstream._idle) == kept

    asyncio.run(play())


def test_the_share_of_idle_connections_goes_by_the_list_and_the_fleet() -> None:
    async def play() -> None:
        settings = replace(read_settings(RAW_SETTINGS), fleet_size=4)
        async with running_proxy(
            [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2")], settings=settings
        ) as up:
            assert up.proxy.pool._idle_quota == connection_pool.FLEET_IDLE_PER_BACKEND * 2 / 4
            up.notify([endpoint_entry("b", f"{HOST}:2", "terminated")])
            assert up.proxy.pool._idle_quota == connection_pool.FLEET_IDLE_PER_BACKEND / 4

    asyncio.run(play())


def test_an_attempt_that_has_ended_writes_nothing() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            attempts = Attempts(one)
            attempts.start(post_request(1))
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            [idle] = attempts.known.idle_connections
            ended = attempts.start(post_request(2))
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            attempts.known.idle_connections.remove(idle)
            attempts.upstream._send(ended, idle)
            attempts.start(post_request(3))
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            assert [b"id%d" % n in one.received.get_nowait() for n in (1, 2, 3)] == [True] * 3

    asyncio.run(play())


def test_an_answer_that_nobody_asked_for_serves_nobody() -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE + OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            assert status_of(await client.request(post_request())) == 200
            await with_timeout(one.disconnects.get())

    asyncio.run(play())


@pytest.mark.parametrize(("idle", "dialled"), [(0.0, 1), (MAX_WAIT, 4)])
def test_what_must_not_run_twice_takes_only_connections_that_just_answered(
    idle: float, dialled: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(keepalive_policy, "PRESUMED_ALIVE", MAX_WAIT)

    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            attempts = Attempts(one)
            for number in range(4):
                for connection in attempts.known.idle_connections:
                    connection.idle_since -= idle
                attempts.start(post_request(number), retryable=False)
                assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            assert len(one.writers) == dialled
            await wait_until(
                lambda: one.disconnects.qsize() == max(0, dialled - 2)
            )  # no more than two are kept

    asyncio.run(play())


def test_what_must_not_run_twice_shuns_an_age_at_which_connections_break() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            attempts = Attempts(one)
            attempts.upstream.keepalive_policy.record_reuse(
                0.15
            )  # one is too few to stop what can be sent again
            attempts.upstream.keepalive_policy.record_failure(0.15)
            attempts.start()
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            for retryable, dialled in ((True, 1), (False, 2)):
                [connection] = attempts.known.idle_connections
                connection.idle_since -= 0.2
                attempts.start(retryable=retryable)
                assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
                assert len(one.writers) == dialled

    asyncio.run(play())


@pytest.mark.parametrize(
    ("used", "broke", "dialled"), [(0, 0, 2), (4, 0, 2), (5, 0, 1), (20, 1, 1), (20, 4, 2)]
)
def test_what_must_not_run_twice_uses_ages_at_which_connections_were_seen_to_hold(
    used: int, broke: int, dialled: int
) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            attempts = Attempts(one)
            for number in range(used):  # idle for longer than the one below: what it proves holds there too
                attempts.upstream.keepalive_policy.record_reuse(5.0)
                if number < broke:
                    attempts.upstream.keepalive_policy.record_failure(5.0)
            attempts.start()
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            [connection] = attempts.known.idle_connections
            connection.idle_since -= 2.0
            attempts.start(retryable=False)
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            assert len(one.writers) == dialled

    asyncio.run(play())


def test_where_enough_are_kept_the_oldest_makes_room_for_the_one_that_just_answered() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            attempts = Attempts(one)
            for _ in range(2):
                attempts.start()
            for _ in range(2):
                assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            for connection in attempts.known.idle_connections:
                connection.idle_since -= MAX_WAIT
            for _ in range(3):  # the first finds none young enough, the others its connection
                attempts.start(retryable=False)
                assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            assert len(one.writers) == 3
            await wait_until(lambda: one.disconnects.qsize() == 1)  # no more than two are kept

    asyncio.run(play())


def test_one_dead_kept_connection_does_not_stop_all_keeping() -> None:
    async def play() -> None:
        answers = [OK_RESPONSE, OK_RESPONSE, CLOSE_CONNECTION, OK_RESPONSE, OK_RESPONSE]
        async with stub_backend(lambda _: answers.pop(0)) as one:
            attempts = Attempts(one)
            for expected in (
                Outcome.SUCCESS,
                Outcome.SUCCESS,
                Outcome.CONNECTION_LOST,
                Outcome.SUCCESS,
                Outcome.SUCCESS,
            ):
                attempts.start()
                assert await with_timeout(attempts.ended.get()) is expected
            assert len(one.writers) == 2
            assert len(attempts.known.idle_connections) == 1

    asyncio.run(play())


def test_connections_forgotten_after_a_time_are_kept_for_less() -> None:
    async def play() -> None:
        forgets = False

        async with stub_backend(lambda _: CLOSE_CONNECTION if forgets else OK_RESPONSE) as one:
            attempts = Attempts(one)

            async def ask(idle: float) -> Outcome:
                for connection in attempts.known.idle_connections:
                    connection.idle_since -= idle
                attempts.start()
                return await with_timeout(attempts.ended.get())

            assert await ask(0.0) is Outcome.SUCCESS
            broken = 0
            for _ in range(9):  # whatever has been idle for longer than 5 s is dead
                dialled = len(one.writers)
                forgets = True
                await ask(5.0)
                forgets = False
                if len(one.writers) > dialled:
                    break
                broken += 1
                assert await ask(0.0) is Outcome.SUCCESS
            assert 2 <= broken < 9
            assert await ask(0.0) is Outcome.SUCCESS
            dialled = len(one.writers)
            for _ in range(5):
                assert await ask(1.0) is Outcome.SUCCESS
            assert len(one.writers) == dialled  # what has been idle for less is still used
            assert await ask(5.0) is Outcome.SUCCESS
            assert len(one.writers) == dialled + 1

    asyncio.run(play())


def test_a_connection_with_something_unread_is_not_used_again() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            attempts = Attempts(one)
            attempts.start()
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            [idle] = attempts.known.idle_connections
            idle._transport.pause_reading()  # what comes now stays unread, as in a busy moment
            one.writers[0].write(OK_RESPONSE)
            await wait_until(lambda: not idle.is_usable())
            attempts.start()
            assert await with_timeout(attempts.ended.get()) is Outcome.SUCCESS
            assert len(one.writers) == 2

    asyncio.run(play())


def test_a_request_that_backends_reject_is_not_held_against_them() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n") as one:
            async with running_proxy([endpoint_entry("a", one.address)]) as up:
                client = await up.connect()
                for number in range(30):
                    assert status_of(await client.request(get_request(number))) == 400
                assert one.received.qsize() == 30  # neither sent again nor refused by the breaker
                assert not up.proxy.dispatcher.active_requests
                assert not up.proxy.balancer.requests
                assert not up.proxy.dispatcher.client_request_ids

    asyncio.run(play())


def test_backends_that_are_gone_are_forgotten() -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            for number in range(50):
                up.notify([endpoint_entry(f"b{number}", one.address, since_ms=1000)])
                assert status_of(await client.request(get_request(number))) == 200
                up.notify([endpoint_entry(f"b{number}", one.address, "terminated", since_ms=1000)])
            assert len(up.proxy.endpoint_table.backends) == len(up.proxy.balancer.endpoints.states) == 1
            await wait_until(lambda: up.proxy.pool._connected <= 1)

    asyncio.run(play())


def test_nothing_of_a_connection_outlives_it() -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: OK_RESPONSE) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            gc.collect()
            gc.disable()  # what only a collection would free counts as kept
            try:
                kinds = (
                    DownstreamConnection,
                    RequestParser,
                    ActiveRequest,
                    UpstreamAttempt,
                    UpstreamConnection,
                    ResponseParser,
                )
                for number in range(20):
                    client = await up.connect()
                    assert status_of(await client.request(get_request(number, Connection="close"))) == 200
                    for connection in tuple(up.proxy.pool._idle):
                        up.proxy.pool._close_idle(connection)
                    bad = await up.connect()
                    assert status_of(await bad.request(b"nonsense\r\n\r\n")) == 400
                    bad.writer.close()
                await wait_until(lambda: not up.proxy.listener.connections.open)
                await asyncio.sleep(0)
                left = [thing for thing in gc.get_objects() if isinstance(thing, kinds)]
                assert len(left) <= 8, left
            finally:
                gc.enable()

    asyncio.run(play())


def test_a_proxy_with_no_list_at_all_starts() -> None:
    async def play() -> None:
        proxy = Proxy(proxy_config([]))
        assert not proxy.listener.healthy()

    asyncio.run(play())


def altered(**changed: Any) -> Settings:
    """The usual settings with these changed."""
    return read_settings(RAW_SETTINGS | changed)


def test_spoilt_answers_are_no_reason_to_refuse() -> None:
    async def play() -> None:
        answers = [OK_RESPONSE, OK_RESPONSE, b"nonsense"] * 20
        services = [
            row | {"Credit": 5.0 if row["Name"] == "read" else 1.0} for row in RAW_SETTINGS["Services"]
        ]
        async with stub_backend(lambda _: answers.pop()) as one:
            async with running_proxy(
                [endpoint_entry("a", one.address)], settings=altered(Services=services)
            ) as up:
                client = await up.connect()
                got = [status_of(await client.request(post_request(number))) for number in range(60)]
                assert got == [502, 200, 200] * 20

    asyncio.run(play())


def test_a_busy_subset_does_not_hold_what_an_idle_server_could_do() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one, stub_backend(lambda _: None) as two:
            listed = [endpoint_entry("a", one.address), endpoint_entry("b", two.address)]
            async with running_proxy(listed, settings=altered(Instances=2)) as up:  # a subset of one
                clients = [await up.connect() for _ in range(2)]
                for number, client in enumerate(clients):
                    client.writer.write(post_request(number))
                assert await with_timeout(one.received.get())
                assert await with_timeout(two.received.get())

    asyncio.run(play())


def test_what_must_not_run_twice_shuns_a_server_that_mostly_fails() -> None:
    async def play() -> None:
        services = [
            row | {"Aim": 0.001} for row in RAW_SETTINGS["Services"]
        ]  # an error looks as late as an answer
        bad = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
        async with stub_backend(lambda _: bad) as one, stub_backend(lambda _: OK_RESPONSE) as two:
            listed = [endpoint_entry("a", one.address), endpoint_entry("b", two.address)]
            async with running_proxy(listed, settings=altered(Services=services)) as up:
                client = await up.connect()
                got = [status_of(await client.request(post_request(number))) for number in range(24)]
                assert got.count(502) <= 4
                assert got.count(502) + got.count(200) == 24
                assert one.received.qsize() == got.count(502)

    asyncio.run(play())


def test_an_answer_larger_than_a_request_may_be_is_passed_on() -> None:
    async def play() -> None:
        body = bytes(range(256)) * 1400  # 350 KB
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        async with (
            stub_backend(lambda _: answer) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            for number in range(40):  # together more than is held at once: what has been passed on is let go
                got = await client.request(post_request(number))
                assert status_of(got) == 200
                assert got.endswith(b"\r\n\r\n" + body)
            assert up.proxy.pool.response_memory.reserved == 0

    asyncio.run(play())


def test_large_answers_can_not_fill_the_memory() -> None:
    async def play() -> None:
        part = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 900000
        async with stub_backend(lambda _: part) as one:
            async with running_proxy(
                [endpoint_entry("a", one.address)], memory_limit=2 << 20
            ) as up:  # 256 KiB for answers
                client = await up.connect()
                assert status_of(await client.request(post_request())) == 502
                await wait_until(lambda: up.proxy.pool.response_memory.reserved == 0)

    asyncio.run(play())


@pytest.mark.parametrize("part", [OK_RESPONSE[:12], OK_RESPONSE[:-2]])
def test_an_answer_that_never_ends_leaves_time_for_another_try(part: bytes) -> None:
    async def play() -> None:
        script = first(part)
        async with stub_backend(script) as one, stub_backend(script) as two:
            async with running_proxy(
                [endpoint_entry("a", one.address), endpoint_entry("b", two.address)]
            ) as up:
                client = await up.connect()
                assert status_of(await client.request(get_request())) == 200
                assert one.received.qsize() + two.received.qsize() == 2

    asyncio.run(play())


@pytest.mark.parametrize(
    ("request_bytes", "begins"),
    [(post_request(), OK_RESPONSE[:-2]), (get_request(), b"HTTP/1.1 102 Processing\r\n\r\n")],
)
def test_a_slow_answer_is_waited_for(request_bytes: bytes, begins: bytes) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: begins) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            client.writer.write(request_bytes)
            await with_timeout(one.received.get())
            await asyncio.sleep(3.0 * MAX_RESPONSE_STALL)
            one.writers[0].write(OK_RESPONSE[-2:] if begins == OK_RESPONSE[:-2] else OK_RESPONSE)
            assert (await client.response()).endswith(b"\r\n\r\ndone")

    asyncio.run(play())
