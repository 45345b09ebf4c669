"""The watch on discovery on loopback sockets: silence, resets, restarts, and what it tells."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest
from loopback import (
    HOST,
    OK,
    Client,
    Clock,
    backend,
    book,
    config,
    entry,
    free_port,
    running,
    soon,
    status,
    until,
    watches,
)

from proxy.__main__ import serve
from proxy.config import Address

BEAT = 2.0  # seconds between two empty lines, by the protocol
COUNTS = 6.0  # seconds after a watch fell silent at which what it misses counts as told
GRACE = 0.25  # seconds from being told that a server drains in which it may still get something


async def connected(clock: Clock, port: int) -> Client:
    """A connection to a proxy that may not accept yet."""
    opening = asyncio.ensure_future(asyncio.open_connection(HOST, port))
    await clock.until(opening.done)
    return Client(*opening.result())


def test_a_silent_watch_is_opened_anew_with_time_for_another_try() -> None:
    async def play() -> None:
        async with watches() as registry:
            clock = Clock()
            async with running([], discovery=registry.port) as up:
                await clock.until(lambda: registry.asked.qsize() == 1)
                registry.say(8, [entry("a", f"{HOST}:1")])
                await clock.until(lambda: up.proxy.listener.ready)
                await clock.move(BEAT)
                assert registry.ended.empty()  # a line is due only now
                await clock.move(COUNTS / 2.0 - BEAT)  # the first half of the time is for noticing
                await clock.until(lambda: registry.ended.qsize() == 1)
                await clock.move(GRACE / 2.0)
                await clock.until(lambda: registry.asked.qsize() == 2)

    asyncio.run(play())


def test_what_an_agent_tells_on_its_return_is_soon_heard() -> None:
    async def play() -> None:
        async with watches() as registry:
            port = registry.port
        clock = Clock()
        async with running([], discovery=port):  # nobody is there
            for _ in range(40):
                await clock.move(GRACE)
            server = await asyncio.start_server(registry.serve, HOST, port)
            await clock.move(GRACE)
            await clock.until(lambda: registry.asked.qsize() == 1)
            server.close()

    asyncio.run(play())


@pytest.mark.parametrize("indent", [None, 0, 2])
def test_lists_may_come_indented(indent: int | None) -> None:
    async def play() -> None:
        async with watches() as registry, running([], discovery=registry.port) as up:
            await soon(registry.asked.get())
            registry.write(b"\n")
            registry.say(8, [entry("a", f"{HOST}:1"), entry("b", f"{HOST}:2")], True, indent)
            await until(lambda: len(up.proxy.endpoint_table.backends) == 2)
            registry.write(b"\n")
            registry.say(9, [], False, indent)
            registry.say(10, [entry("a", f"{HOST}:1", "terminated")], False, indent)
            await until(lambda: len(up.proxy.endpoint_table.backends) == 1)
            assert registry.ended.empty()

    asyncio.run(play())


@pytest.mark.parametrize("bad", [b"nonsense\n", b'{"index":9,\n{"index":10}\n', b'{"index":9,\n\n', b"[]\n"])
def test_a_list_that_can_not_be_read_renews_the_watch(bad: bytes) -> None:
    async def play() -> None:
        async with watches() as registry, running([], discovery=registry.port) as up:
            await soon(registry.asked.get())
            registry.say(8, [entry("a", f"{HOST}:1")])
            registry.write(bad)
            assert await soon(registry.asked.get()) == "/v1/servers?follow=1&since=8"
            assert len(up.proxy.endpoint_table.backends) == 1

    asyncio.run(play())


@pytest.mark.parametrize("told", [True, False])
def test_nothing_is_taken_up_before_the_agent_has_told_its_list(told: bool) -> None:
    async def play() -> None:
        async with watches() as registry, backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            port = free_port()
            clock = Clock()
            known = [entry("a", one.address)]
            proxy = asyncio.create_task(serve(config(known, registry.port, listen=Address(HOST, port))))
            await clock.until(lambda: registry.asked.qsize() == 1)
            client = await connected(clock, port)
            client.writer.write(book())
            await clock.settle()
            assert one.got.empty()
            if told:
                # What the agent has counts as told from the first moment.
                registry.say(8, [entry("a", one.address, "terminating"), entry("b", two.address)])
                await clock.until(lambda: two.got.qsize() == 1)
                assert one.got.empty()
            else:  # discovery is down
                await clock.move(0.5)
                await clock.until(lambda: one.got.qsize() == 1)
            assert status(await client.answer()) == 200
            os.kill(os.getpid(), signal.SIGTERM)
            while not proxy.done():
                await clock.move(0.1)
            await proxy

    asyncio.run(play())
