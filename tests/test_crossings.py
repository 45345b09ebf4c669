"""Crossings between the proxy and its backends, forced on loopback sockets: lists, dials, answers, closes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import OK, Clock, Gate, backend, book, entry, read, running, soon, status, until


@pytest.mark.parametrize("told", ["moved", "restarted", "back"])
def test_what_was_out_to_a_process_that_is_no_more_is_not_kept(told: str) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: OK) as two:
            async with running([entry("a", one.address)]) as up:
                client = await up.client()
                client.writer.write(book(1))
                await soon(one.got.get())
                address = two.address if told == "moved" else one.address
                if told == "back":
                    up.tell([entry("a", one.address, "terminated")])
                up.tell([entry("a", address, since_ms=1000 if told == "restarted" else 0)])
                one.open[0].write(OK)
                assert status(await client.answer()) == 200
                await soon(one.ended.get())  # not kept for the next one
                one.script = lambda _: OK
                assert status(await client.ask(book(2))) == 200
                now = two if told == "moved" else one
                assert b"id2" in await soon(now.got.get())

    asyncio.run(play())


@pytest.mark.parametrize("told", ["moved", "restarted", "back", "drained"])
def test_a_dial_to_a_process_that_is_no_more_is_not_used(told: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            async with running([entry("a", one.address)]) as up:
                client = await up.client()
                gate = Gate(monkeypatch)
                client.writer.write(book(1))
                await until(lambda: gate.waiting == 1)
                if told in ("back", "drained"):
                    up.tell([entry("a", one.address, "terminated" if told == "back" else "terminating")])
                address = two.address if told == "moved" else one.address
                up.tell([entry("b", two.address)])
                if told != "drained":
                    up.tell([entry("a", address, since_ms=1000 if told == "restarted" else 0)])
                gate.open.set()
                assert status(await client.answer()) == 200
                await soon(one.ended.get())  # the one that was dialled is closed
                assert b"id1" in await soon(two.got.get())
                assert one.got.empty()

    asyncio.run(play())


LATE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"


@pytest.mark.parametrize("comes", ["answer", "close", "nothing"])
@pytest.mark.parametrize("ask", [book, read])
def test_what_comes_late_behind_an_answer_does_not_meet_the_next_request(comes: str, ask: Any) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            clock = Clock()
            async with running([entry("a", one.address)]) as up:
                client = await up.client()
                assert status(await client.ask(ask(1))) == 200
                client.writer.write(ask(2))
                await clock.until(lambda: len(up.proxy.dispatcher.active_requests) == 1)
                await clock.move(0.004)
                if comes == "answer":
                    one.open[0].write(LATE)
                elif comes == "close":
                    one.open[0].close()
                if comes != "nothing":
                    await clock.until(lambda: up.proxy.pool._connected == 0)
                assert one.got.qsize() == 1
                await clock.move(0.01)
                assert (await client.answer()).endswith(b"done")
                assert one.got.qsize() == 2
                assert len(one.open) == (1 if comes == "nothing" else 2)

    asyncio.run(play())


@pytest.mark.parametrize("crosses", ["left", "drained", "late"])
def test_nothing_is_sent_on_a_rested_connection_when_the_world_moved_on(crosses: str) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            clock = Clock()
            async with running([entry("a", one.address)]) as up:
                client = await up.client()
                assert status(await client.ask(book(1))) == 200
                client.writer.write(book(2, timeout="0.01" if crosses == "late" else "30"))
                await clock.until(lambda: len(up.proxy.dispatcher.active_requests) == 1)
                up.tell([entry("b", two.address)])
                if crosses == "left":
                    client.writer.close()
                    await clock.until(lambda: not up.proxy.dispatcher.active_requests)
                elif crosses == "drained":
                    up.tell([entry("a", one.address, "terminating")])
                await clock.move(0.02)
                await clock.until(lambda: not up.proxy.dispatcher.active_requests)
                assert one.got.qsize() == 1
                assert two.got.qsize() == (crosses == "drained")
                if crosses != "left":
                    assert status(await client.answer()) == (200 if crosses == "drained" else 503)

    asyncio.run(play())
