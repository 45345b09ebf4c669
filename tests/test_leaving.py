"""Callers that leave while their request waits, on loopback sockets: it is not sent on any more."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest
from loopback import (
    CLOSE,
    HOST,
    MAY_HAVE_RUN,
    NEVER_RAN,
    OK,
    WIDE,
    WIRE,
    Backend,
    Client,
    Clock,
    Gate,
    Running,
    backend,
    book,
    entry,
    read,
    running,
    soon,
    status,
    until,
)

from balancer.settings import Settings
from balancer.settings_reader import read_settings

TIERS = {"first": {"Tier": 0, "Tiers": ["a", "b"]}, "later": {"Tier": 1, "Tiers": ["a", "b"]}}
CANCELS = {"cancels": True, "no cancels": False}


def settings(tier: str, cancels: str = "cancels", **bounds: Any) -> Settings:
    """The usual settings, for a tier."""
    limits = WIRE["Bounds"] | {"Cancel": CANCELS[cancels]} | bounds
    return read_settings(WIRE | TIERS[tier] | {"Bounds": limits})


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
@pytest.mark.parametrize("behind", [b"", b"\r\n", read(2), read(2)[:20], b"noise\r\n\r\n" + b"x" * 4000])
def test_nothing_is_sent_for_a_caller_that_left_during_a_dial(
    tier: str, cancels: str, how: str, behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            async with running([entry("a", one.address)], settings=settings(tier, cancels)) as up:
                client, other = await up.client(), await up.client()
                gate = Gate(monkeypatch)
                client.writer.write(book(body=b"x" * 5000))
                await until(lambda: gate.waiting == 1)
                if behind:  # what comes behind the request must not hide the close
                    client.writer.write(behind)
                    await until(
                        lambda: (
                            any(c._queue or c._parser.reading for c in up.proxy.listener.connections.open)
                            or behind == b"\r\n"
                        )
                    )
                leave(client, how)
                await until(
                    lambda: not up.proxy.dispatcher.active_requests and not up.proxy.balancer.requests
                )
                gate.open.set()
                assert status(await other.ask(book(9))) == 200
                pool = up.proxy.pool
                await until(lambda: pool._dialling == 0)
                assert b"id9" in one.got.get_nowait()
                assert one.got.empty()

    asyncio.run(play())


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("how", ["close", "reset"])
def test_nothing_is_sent_for_a_caller_that_left_during_a_retry(
    tier: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with backend(lambda _: CLOSE) as one, backend(lambda _: CLOSE) as two:
            listed = [entry("a", one.address), entry("b", two.address)]
            async with running(listed, settings=settings(tier)) as up:
                client = await up.client()
                gate = Gate(monkeypatch, free=1)  # the first attempt comes up and fails, the second one waits
                client.writer.write(read())
                await until(lambda: gate.waiting == 1)
                leave(client, how)
                await until(
                    lambda: not up.proxy.dispatcher.active_requests and not up.proxy.balancer.requests
                )
                gate.open.set()
                await until(lambda: up.proxy.pool._dialling == up.proxy.pool._connected == 0)
                assert one.got.qsize() + two.got.qsize() == 1

    asyncio.run(play())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_no_copy_is_sent_for_a_caller_that_left(how: str) -> None:
    async def play() -> None:
        async with backend(lambda r: None if b"id2" in r else OK) as one:
            async with backend(lambda r: None if b"id2" in r else OK) as two:
                listed = [entry("a", one.address), entry("b", two.address)]
                clock = Clock()
                async with running(listed, settings=settings("later", SecondCopies=True)) as up:
                    client = Client(*await asyncio.open_connection(HOST, up.port))
                    for number in (0, 1):  # a latency, by which a copy is due
                        client.writer.write(read(number))
                        sent = number + 1
                        await clock.until(lambda sent=sent: one.got.qsize() + two.got.qsize() == sent)  # type: ignore[misc]
                        await clock.move(0.05)
                        assert status(await client.answer()) == 200
                    client.writer.write(read(2))
                    await clock.until(lambda: one.got.qsize() + two.got.qsize() == 3)
                    assert up.proxy.balancer.hedging.hedges
                    leave(client, how)
                    await clock.until(lambda: not up.proxy.dispatcher.active_requests)
                    for _ in range(100):
                        await clock.move(0.1)
                    assert not up.proxy.balancer.hedging.hedges
                    assert one.got.qsize() + two.got.qsize() == 3

    asyncio.run(play())


def test_what_waits_behind_another_request_is_not_taken_up_for_a_caller_that_left() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.write(read(1) + read(2))
            assert b"id1" in await soon(one.got.get())
            client.writer.write(read(3))
            client.writer.close()
            await soon(one.ended.get())  # its attempt was given up
            await until(lambda: not up.proxy.listener.connections.open)
            assert one.got.empty()
            assert not up.proxy.dispatcher.active_requests
            assert up.proxy.listener.buffered_bytes == 0

    asyncio.run(play())


def test_requests_that_wait_behind_another_may_not_fill_the_memory() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one:
            limit = 400 << 10  # 100 KiB for what waits
            async with running([entry("a", one.address)], memory_limit=limit) as up:
                client = await up.client()
                client.writer.write(book(1))
                await soon(one.got.get())
                for number in (2, 3):
                    client.writer.write(book(number, body=b"x" * (60 << 10)))
                [caller] = up.proxy.listener.connections.open
                await until(lambda: caller._input_ended)
                assert up.proxy.listener.buffered_bytes <= 100 << 10
                one.open[0].write(OK)
                assert [status(await client.answer()) for _ in range(2)] == [200, 503]
                assert await soon(client.reader.read()) == b""
                assert one.got.empty()

    asyncio.run(play())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_caller_that_floods_behind_its_request_and_leaves_is_noticed(how: str) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.write(book(1))
            await soon(one.got.get())
            client.writer.write(b"".join(read(number) for number in range(2, 200)) + b"x" * (1 << 20))
            [caller] = up.proxy.listener.connections.open
            await until(lambda: caller._input_ended)
            leave(client, how)
            await soon(one.ended.get())
            await until(
                lambda: not up.proxy.listener.connections.open and not up.proxy.dispatcher.active_requests
            )
            assert one.got.empty()

    asyncio.run(play())


KEPT = 0.02  # seconds after which a connection that has answered is used again at once
LEAVES = ["close", "half close", "reset"]


class Raw:
    """A caller whose bytes and whose leaving reach the proxy's socket before the proxy's loop runs again."""

    def __init__(self, up: Running) -> None:
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
    rest = [entry(f"r{number}", f"{HOST}:9", "terminating") for number in range(910 - len(addresses))]
    return rest + [entry(f"n{number}", address) for number, address in enumerate(addresses)]


async def accepted(clock: Clock, up: Running, callers: int) -> None:
    """Wait until so many connections are the proxy's."""
    await clock.until(lambda: len(up.proxy.listener.connections.open) == callers)


async def kept(clock: Clock, up: Running, client: Client, stubs: list[Backend]) -> None:
    """Let requests go until the proxy keeps a connection to each of the backends that has rested."""
    number = 500
    while not all(
        any(c.backend.address[1] == int(stub.address.rpartition(":")[2]) for c in up.proxy.pool._idle)
        for stub in stubs
    ):
        number += 1
        client.writer.write(read(number))
        answer = asyncio.ensure_future(client.answer())
        await clock.until(answer.done)
        await clock.move(KEPT)
    for stub in stubs:
        while not stub.got.empty():
            stub.got.get_nowait()


async def nothing_more(clock: Clock, up: Running, stubs: list[Backend]) -> None:
    """Nothing is sent on, and nothing is kept of the request."""
    await clock.until(lambda: not up.proxy.dispatcher.active_requests and not up.proxy.balancer.requests)
    for _ in range(20):
        await clock.move(0.1)
    assert all(stub.got.empty() for stub in stubs)


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancels", CANCELS)
@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("behind", [b"", b"\r\n", read(2), read(2)[:20], book(2)[:-2], b"x" * 60_000])
def test_a_caller_that_left_while_a_long_list_was_taken_in_gets_no_attempt(
    tier: str, cancels: str, how: str, behind: bytes
) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            clock = Clock()
            listed = many(one.address)
            async with running(listed, settings=settings(tier, cancels)) as up:
                client = Client(*await asyncio.open_connection(HOST, up.port))
                raw = Raw(up)
                await accepted(clock, up, 2)
                await kept(clock, up, client, [one])
                raw.sock.sendall(book(1) + behind)
                raw.go(how)
                up.tell(listed)  # the loop is busy with it, and has read nothing yet
                await clock.settle()
                await nothing_more(clock, up, [one])

    asyncio.run(play())


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancels", CANCELS)
@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("ends", [NEVER_RAN, MAY_HAVE_RUN])
def test_a_caller_that_left_as_its_attempt_failed_gets_no_other(
    tier: str, cancels: str, how: str, ends: bytes
) -> None:
    async def play() -> None:
        def script(request: bytes) -> bytes | None:
            return None if b"id1\r" in request else OK

        async with backend(script) as one, backend(script) as two:
            clock = Clock()
            listed = many(one.address, two.address)
            async with running(listed, settings=settings(tier, cancels)) as up:
                client = Client(*await asyncio.open_connection(HOST, up.port))
                raw = Raw(up)
                await accepted(clock, up, 2)
                await kept(clock, up, client, [one, two])
                raw.sock.sendall(read(1))
                await clock.until(lambda: one.got.qsize() + two.got.qsize() == 1)
                first = one if one.got.qsize() else two
                first.got.get_nowait()
                for writer in first.open:
                    writer.write(ends)
                raw.go(how)  # the answer comes first
                up.tell(listed)
                await clock.settle()
                await nothing_more(clock, up, [one, two])

    asyncio.run(play())


@pytest.mark.parametrize("cancels", CANCELS)
@pytest.mark.parametrize("how", LEAVES)
def test_a_caller_that_left_as_a_copy_fell_due_gets_none(cancels: str, how: str) -> None:
    async def play() -> None:
        def script(request: bytes) -> bytes | None:
            return None if b"id1\r" in request else OK

        async with backend(script) as one, backend(script) as two:
            clock = Clock()
            listed = [entry("a", one.address), entry("b", two.address)]
            async with running(listed, settings=settings("later", cancels, SecondCopies=True)) as up:
                client = Client(*await asyncio.open_connection(HOST, up.port))
                raw = Raw(up)
                await accepted(clock, up, 2)
                for sent in (1, 2):  # a latency, by which a copy is due
                    client.writer.write(read(700 + sent))
                    await clock.until(lambda sent=sent: one.got.qsize() + two.got.qsize() == sent)  # type: ignore[misc]
                    await clock.move(0.05)
                    assert status(await client.answer()) == 200
                await kept(clock, up, client, [one, two])
                raw.sock.sendall(read(1))
                await clock.until(lambda: one.got.qsize() + two.got.qsize() == 1)
                assert up.proxy.balancer.hedging.hedges
                (one if one.got.qsize() else two).got.get_nowait()
                raw.go(how)
                clock.now += 10.0  # the copy is due in the loop's turn in which the close is read
                await clock.settle()
                await clock.move(0.1)
                assert one.got.empty()
                assert two.got.empty()

    asyncio.run(play())


@pytest.mark.parametrize("how", LEAVES)
def test_a_caller_that_left_as_its_first_answer_came_gets_no_attempt_for_the_next_request(how: str) -> None:
    async def play() -> None:
        def script(request: bytes) -> bytes | None:
            return None if b"id1\r" in request else OK

        async with backend(script) as one, backend(script) as two:
            clock = Clock()
            listed = many(one.address, two.address)
            async with running(listed) as up:
                client = Client(*await asyncio.open_connection(HOST, up.port))
                raw = Raw(up)
                await accepted(clock, up, 2)
                await kept(clock, up, client, [one, two])
                raw.sock.sendall(read(1) + read(2))
                await clock.until(lambda: one.got.qsize() + two.got.qsize() == 1)
                first = one if one.got.qsize() else two
                first.got.get_nowait()
                for writer in first.open:
                    writer.write(OK)
                raw.go(how)
                up.tell(listed)
                await clock.settle()
                await nothing_more(clock, up, [one, two])

    asyncio.run(play())


def test_a_caller_that_ends_its_sending_with_answers_unread_is_noticed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        part = b"HTTP/1.1 200 OK\r\nContent-Length: 16384\r\n\r\n" + b"x" * 16384
        async with (
            backend(lambda _: part) as one,
            running(
                [entry("a", one.address)],
                dial_timeout=3 * WIDE,  # the dial itself must not end it
            ) as up,
        ):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (HOST, up.port))
            await until(lambda: bool(up.proxy.listener.connections.open))
            [caller] = up.proxy.listener.connections.open
            number = 0
            active = up.proxy.dispatcher.active_requests
            while caller._transport.get_write_buffer_size() < 24 << 10:  # more than the system still takes
                sock.send(read(number := number + 1))
                await until(lambda sent=number: one.got.qsize() == sent and not active)  # type: ignore[misc]
            assert not caller._write_paused
            for connection in tuple(up.proxy.pool._idle):
                up.proxy.pool._close_idle(connection)
            gate = Gate(monkeypatch)
            sock.send(book(9000))
            await until(lambda: gate.waiting == 1)
            sock.shutdown(socket.SHUT_WR)
            await until(lambda: not up.proxy.dispatcher.active_requests and not up.proxy.balancer.requests)
            gate.open.set()
            await until(lambda: up.proxy.pool._dialling == 0)
            assert one.got.qsize() == number
            sock.close()

    asyncio.run(play())


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancels", CANCELS)
@pytest.mark.parametrize("how", LEAVES)
def test_a_caller_that_left_as_its_dial_came_up_gets_no_attempt(
    tier: str, cancels: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            clock = Clock()
            async with running([entry("a", one.address)], settings=settings(tier, cancels)) as up:
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
                raw.sock.sendall(book(1))
                await clock.until(lambda: dials == 1)
                await nothing_more(clock, up, [one])
                assert dials == 1

    asyncio.run(play())
