"""Callers that leave while their request waits, on loopback sockets: it is not sent on any more."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest
from loopback import (
    CLOSE_CONNECTION,
    Client,
    ConnectGate,
    ManualClock,
    RunningProxy,
    StubBackend,
    running_proxy,
    stub_backend,
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
    status_of,
)

from balancer.settings import Settings
from balancer.settings_reader import read_settings

TIERS = {"first": {"Tier": 0, "Tiers": ["a", "b"]}, "later": {"Tier": 1, "Tiers": ["a", "b"]}}
CANCELS = {"cancels": True, "no cancels": False}


def settings(tier: str, cancels: str = "cancels", **bounds: Any) -> Settings:
    """The usual settings, for a tier."""
    limits = RAW_SETTINGS["Bounds"] | {"Cancel": CANCELS[cancels]} | bounds
    return read_settings(RAW_SETTINGS | TIERS[tier] | {"Bounds": limits})


def leave(client: Client, how: str) -> None:
    """Close the connection, or reset it."""
    if how == "reset":
        sock = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
    else:
        client.writer.close()


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancels", CANCELS)
@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize(
    "behind", [b"", b"\r\n", get_request(2), get_request(2)[:20], b"noise\r\n\r\n" + b"x" * 4000]
)
def test_nothing_is_sent_for_a_caller_that_left_during_a_dial(
    tier: str, cancels: str, how: str, behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            async with running_proxy(
                [endpoint_entry("a", one.address)], settings=settings(tier, cancels)
            ) as up:
                client, other = await up.connect(), await up.connect()
                gate = ConnectGate(monkeypatch)
                client.writer.write(post_request(body=b"x" * 5000))
                await wait_until(lambda: gate.held == 1)
                if behind:  # what comes behind the request must not hide the close
                    client.writer.write(behind)
                    await wait_until(
                        lambda: (
                            any(c._queue or c._parser.reading for c in up.proxy.listener.connections.open)
                            or behind == b"\r\n"
                        )
                    )
                leave(client, how)
                await wait_until(
                    lambda: not up.proxy.dispatcher.active_requests and not up.proxy.balancer.requests
                )
                gate.release()
                assert status_of(await other.request(post_request(9))) == 200
                pool = up.proxy.pool
                await wait_until(lambda: pool._dialling == 0)
                assert b"id9" in one.received.get_nowait()
                assert one.received.empty()

    asyncio.run(play())


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("how", ["close", "reset"])
def test_nothing_is_sent_for_a_caller_that_left_during_a_retry(
    tier: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: CLOSE_CONNECTION) as one,
            stub_backend(lambda _: CLOSE_CONNECTION) as two,
        ):
            listed = [endpoint_entry("a", one.address), endpoint_entry("b", two.address)]
            async with running_proxy(listed, settings=settings(tier)) as up:
                client = await up.connect()
                gate = ConnectGate(
                    monkeypatch, unheld=1
                )  # the first attempt comes up and fails, the second one waits
                client.writer.write(get_request())
                await wait_until(lambda: gate.held == 1)
                leave(client, how)
                await wait_until(
                    lambda: not up.proxy.dispatcher.active_requests and not up.proxy.balancer.requests
                )
                gate.release()
                await wait_until(lambda: up.proxy.pool._dialling == up.proxy.pool._connected == 0)
                assert one.received.qsize() + two.received.qsize() == 1

    asyncio.run(play())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_no_copy_is_sent_for_a_caller_that_left(how: str) -> None:
    async def play() -> None:
        async with stub_backend(lambda r: None if b"id2" in r else OK_RESPONSE) as one:
            async with stub_backend(lambda r: None if b"id2" in r else OK_RESPONSE) as two:
                listed = [endpoint_entry("a", one.address), endpoint_entry("b", two.address)]
                clock = ManualClock()
                async with running_proxy(listed, settings=settings("later", SecondCopies=True)) as up:
                    client = Client(*await asyncio.open_connection(HOST, up.port))
                    for number in (0, 1):  # a latency, by which a copy is due
                        client.writer.write(get_request(number))
                        sent = number + 1
                        await clock.wait_until(
                            lambda sent=sent: one.received.qsize() + two.received.qsize() == sent  # type: ignore[misc]
                        )
                        await clock.advance(0.05)
                        assert status_of(await client.response()) == 200
                    client.writer.write(get_request(2))
                    await clock.wait_until(lambda: one.received.qsize() + two.received.qsize() == 3)
                    assert up.proxy.balancer.hedging.hedges
                    leave(client, how)
                    await clock.wait_until(lambda: not up.proxy.dispatcher.active_requests)
                    for _ in range(100):
                        await clock.advance(0.1)
                    assert not up.proxy.balancer.hedging.hedges
                    assert one.received.qsize() + two.received.qsize() == 3

    asyncio.run(play())


def test_what_waits_behind_another_request_is_not_taken_up_for_a_caller_that_left() -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: None) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            client.writer.write(get_request(1) + get_request(2))
            assert b"id1" in await with_timeout(one.received.get())
            client.writer.write(get_request(3))
            client.writer.close()
            await with_timeout(one.disconnects.get())  # its attempt was given up
            await wait_until(lambda: not up.proxy.listener.connections.open)
            assert one.received.empty()
            assert not up.proxy.dispatcher.active_requests
            assert up.proxy.listener.buffered_bytes == 0

    asyncio.run(play())


def test_requests_that_wait_behind_another_may_not_fill_the_memory() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one:
            limit = 400 << 10  # 100 KiB for what waits
            async with running_proxy([endpoint_entry("a", one.address)], memory_limit=limit) as up:
                client = await up.connect()
                client.writer.write(post_request(1))
                await with_timeout(one.received.get())
                for number in (2, 3):
                    client.writer.write(post_request(number, body=b"x" * (60 << 10)))
                [caller] = up.proxy.listener.connections.open
                await wait_until(lambda: caller._input_ended)
                assert up.proxy.listener.buffered_bytes <= 100 << 10
                one.writers[0].write(OK_RESPONSE)
                assert [status_of(await client.response()) for _ in range(2)] == [200, 503]
                assert await with_timeout(client.reader.read()) == b""
                assert one.received.empty()

    asyncio.run(play())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_caller_that_floods_behind_its_request_and_leaves_is_noticed(how: str) -> None:
    async def play() -> None:
        async with (
            stub_backend(lambda _: None) as one,
            running_proxy([endpoint_entry("a", one.address)]) as up,
        ):
            client = await up.connect()
            client.writer.write(post_request(1))
            await with_timeout(one.received.get())
            client.writer.write(b"".join(get_request(number) for number in range(2, 200)) + b"x" * (1 << 20))
            [caller] = up.proxy.listener.connections.open
            await wait_until(lambda: caller._input_ended)
            leave(client, how)
            await with_timeout(one.disconnects.get())
            await wait_until(
                lambda: not up.proxy.listener.connections.open and not up.proxy.dispatcher.active_requests
            )
            assert one.received.empty()

    asyncio.run(play())


KEPT = 0.02  # seconds after which a connection that has answered is used again at once
LEAVES = ["close", "half close", "reset"]


class Raw:
    """A caller whose bytes and whose leaving reach the proxy's socket before the proxy's loop runs again."""

    def __init__(self, up: RunningProxy) -> None:
        self.sock = socket.create_connection((HOST, up.port))

    def go(self, how: str) -> None:
        """Leave: with all closed, with the sending end alone, or with a reset."""
        if how == "half close":
            self.sock.shutdown(socket.SHUT_WR)
            return
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


def many(*addresses: str) -> list[dict[str, Any]]:
    """A list of 910 rows, which takes a while to take in; these alone are in service."""
    rest = [
        endpoint_entry(f"r{number}", f"{HOST}:9", "terminating") for number in range(910 - len(addresses))
    ]
    return rest + [endpoint_entry(f"n{number}", address) for number, address in enumerate(addresses)]


async def accepted(clock: ManualClock, up: RunningProxy, callers: int) -> None:
    """Wait until so many connections are the proxy's."""
    await clock.wait_until(lambda: len(up.proxy.listener.connections.open) == callers)


async def kept(clock: ManualClock, up: RunningProxy, client: Client, stubs: list[StubBackend]) -> None:
    """Let requests go until the proxy keeps a connection to each of the backends that has rested."""
    number = 500
    while not all(
        any(c.backend.address[1] == int(stub.address.rpartition(":")[2]) for c in up.proxy.pool._idle)
        for stub in stubs
    ):
        number += 1
        client.writer.write(get_request(number))
        answer = asyncio.ensure_future(client.response())
        await clock.wait_until(answer.done)
        await clock.advance(KEPT)
    for stub in stubs:
        while not stub.received.empty():
            stub.received.get_nowait()


async def nothing_more(clock: ManualClock, up: RunningProxy, stubs: list[StubBackend]) -> None:
    """Nothing is sent on, and nothing is kept of the request."""
    await clock.wait_until(lambda: not up.proxy.dispatcher.active_requests and not up.proxy.balancer.requests)
    for _ in range(20):
        await clock.advance(0.1)
    assert all(stub.received.empty() for stub in stubs)


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancels", CANCELS)
@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize(
    "behind", [b"", b"\r\n", get_request(2), get_request(2)[:20], post_request(2)[:-2], b"x" * 60_000]
)
def test_a_caller_that_left_while_a_long_list_was_taken_in_gets_no_attempt(
    tier: str, cancels: str, how: str, behind: bytes
) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            clock = ManualClock()
            listed = many(one.address)
            async with running_proxy(listed, settings=settings(tier, cancels)) as up:
                client = Client(*await asyncio.open_connection(HOST, up.port))
                raw = Raw(up)
                await accepted(clock, up, 2)
                await kept(clock, up, client, [one])
                raw.sock.sendall(post_request(1) + behind)
                raw.go(how)
                up.notify(listed)  # the loop is busy with it, and has read nothing yet
                await clock.settle()
                await nothing_more(clock, up, [one])

    asyncio.run(play())


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancels", CANCELS)
@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("ends", [NOT_PROCESSED_RESPONSE, MAYBE_PROCESSED_RESPONSE])
def test_a_caller_that_left_as_its_attempt_failed_gets_no_other(
    tier: str, cancels: str, how: str, ends: bytes
) -> None:
    async def play() -> None:
        def script(request: bytes) -> bytes | None:
            return None if b"id1\r" in request else OK_RESPONSE

        async with stub_backend(script) as one, stub_backend(script) as two:
            clock = ManualClock()
            listed = many(one.address, two.address)
            async with running_proxy(listed, settings=settings(tier, cancels)) as up:
                client = Client(*await asyncio.open_connection(HOST, up.port))
                raw = Raw(up)
                await accepted(clock, up, 2)
                await kept(clock, up, client, [one, two])
                raw.sock.sendall(get_request(1))
                await clock.wait_until(lambda: one.received.qsize() + two.received.qsize() == 1)
                first = one if one.received.qsize() else two
                first.received.get_nowait()
                for writer in first.writers:
                    writer.write(ends)
                raw.go(how)  # the answer comes first
                up.notify(listed)
                await clock.settle()
                await nothing_more(clock, up, [one, two])

    asyncio.run(play())


@pytest.mark.parametrize("cancels", CANCELS)
@pytest.mark.parametrize("how", LEAVES)
def test_a_caller_that_left_as_a_copy_fell_due_gets_none(cancels: str, how: str) -> None:
    async def play() -> None:
        def script(request: bytes) -> bytes | None:
            return None if b"id1\r" in request else OK_RESPONSE

        async with stub_backend(script) as one, stub_backend(script) as two:
            clock = ManualClock()
            listed = [endpoint_entry("a", one.address), endpoint_entry("b", two.address)]
            async with running_proxy(listed, settings=settings("later", cancels, SecondCopies=True)) as up:
                client = Client(*await asyncio.open_connection(HOST, up.port))
                raw = Raw(up)
                await accepted(clock, up, 2)
                for sent in (1, 2):  # a latency, by which a copy is due
                    client.writer.write(get_request(700 + sent))
                    await clock.wait_until(
                        lambda sent=sent: one.received.qsize() + two.received.qsize() == sent  # type: ignore[misc]
                    )
                    await clock.advance(0.05)
                    assert status_of(await client.response()) == 200
                await kept(clock, up, client, [one, two])
                raw.sock.sendall(get_request(1))
                await clock.wait_until(lambda: one.received.qsize() + two.received.qsize() == 1)
                assert up.proxy.balancer.hedging.hedges
                (one if one.received.qsize() else two).received.get_nowait()
                raw.go(how)
                clock.now += 10.0  # the copy is due in the loop's turn in which the close is read
                await clock.settle()
                await clock.advance(0.1)
                assert one.received.empty()
                assert two.received.empty()

    asyncio.run(play())


@pytest.mark.parametrize("how", LEAVES)
def test_a_caller_that_left_as_its_first_answer_came_gets_no_attempt_for_the_next_request(how: str) -> None:
    async def play() -> None:
        def script(request: bytes) -> bytes | None:
            return None if b"id1\r" in request else OK_RESPONSE

        async with stub_backend(script) as one, stub_backend(script) as two:
            clock = ManualClock()
            listed = many(one.address, two.address)
            async with running_proxy(listed) as up:
                client = Client(*await asyncio.open_connection(HOST, up.port))
                raw = Raw(up)
                await accepted(clock, up, 2)
                await kept(clock, up, client, [one, two])
                raw.sock.sendall(get_request(1) + get_request(2))
                await clock.wait_until(lambda: one.received.qsize() + two.received.qsize() == 1)
                first = one if one.received.qsize() else two
                first.received.get_nowait()
                for writer in first.writers:
                    writer.write(OK_RESPONSE)
                raw.go(how)
                up.notify(listed)
                await clock.settle()
                await nothing_more(clock, up, [one, two])

    asyncio.run(play())


def test_a_caller_that_ends_its_sending_with_answers_unread_is_noticed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        part = b"HTTP/1.1 200 OK\r\nContent-Length: 16384\r\n\r\n" + b"x" * 16384
        async with (
            stub_backend(lambda _: part) as one,
            running_proxy(
                [endpoint_entry("a", one.address)],
                dial_timeout=3 * MAX_WAIT,  # the dial itself must not end it
            ) as up,
        ):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (HOST, up.port))
            await wait_until(lambda: bool(up.proxy.listener.connections.open))
            [caller] = up.proxy.listener.connections.open
            number = 0
            active = up.proxy.dispatcher.active_requests
            while caller._transport.get_write_buffer_size() < 24 << 10:  # more than the system still takes
                sock.send(get_request(number := number + 1))
                await wait_until(lambda sent=number: one.received.qsize() == sent and not active)  # type: ignore[misc]
            assert not caller._write_paused
            for connection in tuple(up.proxy.pool._idle):
                up.proxy.pool._close_idle(connection)
            gate = ConnectGate(monkeypatch)
            sock.send(post_request(9000))
            await wait_until(lambda: gate.held == 1)
            sock.shutdown(socket.SHUT_WR)
            await wait_until(
                lambda: not up.proxy.dispatcher.active_requests and not up.proxy.balancer.requests
            )
            gate.release()
            await wait_until(lambda: up.proxy.pool._dialling == 0)
            assert one.received.qsize() == number
            sock.close()

    asyncio.run(play())


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancels", CANCELS)
@pytest.mark.parametrize("how", LEAVES)
def test_a_caller_that_left_as_its_dial_came_up_gets_no_attempt(
    tier: str, cancels: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            clock = ManualClock()
            async with running_proxy(
                [endpoint_entry("a", one.address)], settings=settings(tier, cancels)
            ) as up:
                raw = Raw(up)
                await accepted(clock, up, 1)
                loop = asyncio.get_running_loop()
                connect = loop.create_connection
                dials = 0

                async def dial(*args: Any, **more: Any) -> Any:
                    nonlocal dials
                    made = await connect(*args, **more)
                    dials += 1
                    if dials == 1:
                        raw.go(how)  # in the turn in which the request would be written
                    return made

                monkeypatch.setattr(loop, "create_connection", dial)
                raw.sock.sendall(post_request(1))
                await clock.wait_until(lambda: dials == 1)
                await nothing_more(clock, up, [one])
                assert dials == 1

    asyncio.run(play())
