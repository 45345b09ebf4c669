"""The stand-in of discovery on loopback sockets, by itself and before the real watch."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import orjson
import pytest
from loopback import HOST, Clock, soon, until

from emulator import hollow, topology
from emulator.registry import BEAT, Registry, State

FLEET = topology.build(1, 20, 4)
NAMES = [entry["name"] for entry in FLEET.entries]


def changed(place: int, status: str = "terminating") -> topology.Entry:
    """A backend's entry with another status."""
    return FLEET.entries[place] | {"status": status}


class Watch:
    """The lines of one watch."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def line(self) -> Any:
        """The next line: an object, or None where it is empty."""
        size = int((await soon(self.reader.readline())).strip(), 16)
        line = await soon(self.reader.readexactly(size + 2))
        return orjson.loads(line) if line.strip() else None


async def watch(port: int, since: int) -> Watch:
    """A watch from a version on."""
    opened = Watch(*await asyncio.open_connection(HOST, port))
    opened.writer.write(b"GET /v1/servers?follow=1&since=%d HTTP/1.1\r\nHost: h\r\n\r\n" % since)
    assert b" 200 " in await soon(opened.reader.readuntil(b"\r\n\r\n"))
    return opened


@asynccontextmanager
async def registry() -> AsyncIterator[Registry]:
    """A registry of the small fleet."""
    up = Registry(FLEET.entries)
    try:
        yield up
    finally:
        up.close()


def test_a_list_on_request_is_whole() -> None:
    async def play() -> None:
        async with registry() as up:
            port = await up.open("all")
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /v1/servers HTTP/1.1\r\nHost: h\r\n\r\nGET /odd HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await soon(reader.readuntil(b"\r\n\r\n"))
            size = int(head.lower().partition(b"content-length:")[2].split()[0])
            body = orjson.loads(await soon(reader.readexactly(size)))
            assert body == {"index": 1, "snapshot": True, "endpoints": list(FLEET.entries)}
            assert b" 404 " in await soon(reader.readline())

    asyncio.run(play())


def test_a_watch_tells_what_changed_and_resumes() -> None:
    async def play() -> None:
        async with registry() as up:
            port = await up.open("all")
            first = await watch(port, 0)
            assert len((await first.line())["endpoints"]) == 20
            up.change(2, [changed(0)])
            assert await first.line() == {"index": 2, "snapshot": False, "endpoints": [changed(0)]}
            up.drop(["all"])
            up.change(3, [changed(1)])
            up.change(4, [changed(0, "terminated"), changed(2)])
            later = await watch(port, 2)
            told = await later.line()
            assert (told["index"], told["snapshot"]) == (4, False)
            assert told["endpoints"] == [changed(1), changed(0, "terminated"), changed(2)]
            up.drop(["all"], forget=True)
            last = await watch(port, 4)
            whole = await last.line()
            assert whole["snapshot"]
            assert len(whole["endpoints"]) == 19
            up.change(5, [changed(3)])
            assert await last.line() == {"index": 5, "snapshot": False, "endpoints": [changed(3)]}
            assert up.spent()["wholes"] == 2
            assert up.spent()["watches"] == 3
            with pytest.raises(ValueError, match="not newer"):
                up.change(5, [])

    asyncio.run(play())


def test_a_view_hears_of_its_own_rows_alone() -> None:
    async def play() -> None:
        async with registry() as up:
            narrow = await watch(await up.open("some", view=NAMES[:3]), 0)
            assert len((await narrow.line())["endpoints"]) == 3
            up.change(2, [changed(5)])
            up.change(3, [changed(1), changed(6)])
            assert await narrow.line() == {"index": 3, "snapshot": False, "endpoints": [changed(1)]}
            assert up.door("some")["lines"] == 2

    asyncio.run(play())


def test_an_empty_line_comes_while_nothing_changes() -> None:
    async def play() -> None:
        async with registry() as up:
            port = await up.open("all")
            clock = Clock()
            sinks = hollow.Sinks()
            await sinks.add(port, 2)
            await clock.until(lambda: up.spent()["open"] == 2)
            await clock.move(BEAT * 0.9)
            assert up.spent()["beats"] == 0
            up.change(2, [changed(0)])
            await clock.move(BEAT * 0.2)
            assert up.spent()["beats"] == 0
            await clock.move(BEAT * 0.9)
            await clock.until(lambda: up.spent()["beats"] == 2)
            await clock.until(lambda: sinks.received() == up.spent()["sent"])

    asyncio.run(play())


def test_the_log_bounds_what_can_be_resumed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("emulator.registry.KEPT", 3)
    state = State(FLEET.entries)
    for index in range(2, 8):
        state.change(index, [changed(index)])
    assert [state.since(index, None)[1] for index in (3, 4, 7, 8)] == [True, False, False, True]
    assert len(orjson.loads(state.since(4, None)[0])["endpoints"]) == 3


@pytest.mark.parametrize("cut", ["shut", "silence"])
def test_hollow_proxies_come_back_after_a_cut(cut: str) -> None:
    async def play() -> None:
        async with registry() as up:
            port = await up.open("all")
            clock = Clock()
            host = hollow.Host(1, 20, 4)
            adding = asyncio.ensure_future(host.add([(0, port), (1, port)]))
            await clock.until(adding.done)
            assert adding.result()["proxies"] == 2
            stamps = {2: (up.change(2, [changed(0)]), frozenset(NAMES[:1]))}
            await clock.until(lambda: host.ages_of(stamps)[2] == 0)
            getattr(up, cut)(["all"])
            up.change(3, [changed(1)])
            await clock.move(4.0)  # the watches notice
            assert host.ages_of({3: (0.0, frozenset(NAMES[1:2]))})[2] == 2
            if cut == "shut":
                await up.open("all", port)
            else:
                up.heal(["all"])
            for _ in range(4):
                await clock.move(0.2)
            await clock.until(lambda: host.ages_of({3: (0.0, frozenset(NAMES[1:2]))})[2] == 0)
            assert up.spent()["wholes"] == 2  # the two of the start: a return is told by what changed

    asyncio.run(play())


def test_hollow_proxies_decide_calls() -> None:
    async def play() -> None:
        async with registry() as up:
            port = await up.open("all")
            host = hollow.Host(1, 20, 4)
            await soon(host.add([(0, port)]))
            host.calls(1000.0)
            balancer = host._proxies[0].balancer
            await until(lambda: balancer.paced >= 10)
            host.calls(0.0)
            assert not balancer.requests

    asyncio.run(play())
