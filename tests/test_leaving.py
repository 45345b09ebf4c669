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
    OK,
    WIRE,
    Client,
    Clock,
    Gate,
    backend,
    book,
    entry,
    read,
    running,
    soon,
    status,
    until,
)

from jaspershelf.adapter import read_settings
from jaspershelf.model import Settings

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
                    await until(lambda: any(c._queue or c._intake.reading for c in up.proxy.front.callers)
                                or behind == b"\r\n")
                leave(client, how)
                await until(lambda: not up.proxy._calls and not up.proxy._balancer.requests)
                gate.open.set()
                assert status(await other.ask(book(9))) == 200
                pool = up.proxy._upstream
                await until(lambda: pool._dialling == 0)
                assert b"id9" in one.got.get_nowait() and one.got.empty()

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
                await until(lambda: not up.proxy._calls and not up.proxy._balancer.requests)
                gate.open.set()
                await until(lambda: up.proxy._upstream._dialling == up.proxy._upstream._connected == 0)
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
                    assert up.proxy._balancer.copies
                    leave(client, how)
                    await clock.until(lambda: not up.proxy._calls)
                    for _ in range(100):
                        await clock.move(0.1)
                    assert not up.proxy._balancer.copies and one.got.qsize() + two.got.qsize() == 3

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
            await until(lambda: not up.proxy.front.callers)
            assert one.got.empty() and not up.proxy._calls and up.proxy.front.held == 0

    asyncio.run(play())


def test_requests_that_wait_behind_another_may_not_fill_the_memory() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one:
            async with running([entry("a", one.address)], memory=400 << 10) as up:  # 100 KiB for what waits
                client = await up.client()
                client.writer.write(book(1))
                await soon(one.got.get())
                for number in (2, 3):
                    client.writer.write(book(number, body=b"x" * (60 << 10)))
                [caller] = up.proxy.front.callers
                await until(lambda: caller._faulty)
                assert up.proxy.front.held <= 100 << 10
                one.open[0].write(OK)
                assert [status(await client.answer()) for _ in range(2)] == [200, 503]
                assert await soon(client.reader.read()) == b"" and one.got.empty()

    asyncio.run(play())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_caller_that_floods_behind_its_request_and_leaves_is_noticed(how: str) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.write(book(1))
            await soon(one.got.get())
            client.writer.write(b"".join(read(number) for number in range(2, 200)) + b"x" * (1 << 20))
            [caller] = up.proxy.front.callers
            await until(lambda: caller._faulty)
            leave(client, how)
            await soon(one.ended.get())
            await until(lambda: not up.proxy.front.callers and not up.proxy._calls)
            assert one.got.empty()

    asyncio.run(play())
