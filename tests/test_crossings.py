"""Crossings between the proxy and its backends, forced on loopback sockets: lists, dials, answers, closes."""

from __future__ import annotations

import asyncio

import pytest
from loopback import OK, Gate, backend, book, entry, running, soon, status, until


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
                assert b"id1" in await soon(two.got.get()) and one.got.empty()

    asyncio.run(play())
