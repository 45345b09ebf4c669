"""Crossings between the proxy and its backends, forced on loopback sockets: lists, dials, answers, closes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import ConnectGate, ManualClock, running_proxy, stub_backend, wait_until, with_timeout
from proxy_inputs import OK_RESPONSE, endpoint_entry, get_request, post_request, status_of


@pytest.mark.parametrize("told", ["moved", "restarted", "back"])
def test_what_was_out_to_a_process_that_is_no_more_is_not_kept(told: str) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one, stub_backend(lambda _: OK_RESPONSE) as two:
            async with running_proxy([endpoint_entry("a", one.address)]) as up:
                client = await up.connect()
                client.writer.write(post_request(1))
                await with_timeout(one.received.get())
                address = two.address if told == "moved" else one.address
                if told == "back":
                    up.notify([endpoint_entry("a", one.address, "terminated")])
                up.notify([endpoint_entry("a", address, since_ms=1000 if told == "restarted" else 0)])
                one.writers[0].write(OK_RESPONSE)
                assert status_of(await client.response()) == 200
                await with_timeout(one.disconnects.get())  # not kept for the next one
                one.script = lambda _: OK_RESPONSE
                assert status_of(await client.request(post_request(2))) == 200
                now = two if told == "moved" else one
                assert b"id2" in await with_timeout(now.received.get())

    asyncio.run(play())


@pytest.mark.parametrize("told", ["moved", "restarted", "back", "drained"])
def test_a_dial_to_a_process_that_is_no_more_is_not_used(told: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one, stub_backend(lambda _: OK_RESPONSE) as two:
            async with running_proxy([endpoint_entry("a", one.address)]) as up:
                client = await up.connect()
                gate = ConnectGate(monkeypatch)
                client.writer.write(post_request(1))
                await wait_until(lambda: gate.held == 1)
                if told in ("back", "drained"):
                    up.notify(
                        [endpoint_entry("a", one.address, "terminated" if told == "back" else "terminating")]
                    )
                address = two.address if told == "moved" else one.address
                up.notify([endpoint_entry("b", two.address)])
                if told != "drained":
                    up.notify([endpoint_entry("a", address, since_ms=1000 if told == "restarted" else 0)])
                gate.release()
                assert status_of(await client.response()) == 200
                await with_timeout(one.disconnects.get())  # the one that was dialled is closed
                assert b"id1" in await with_timeout(two.received.get())
                assert one.received.empty()

    asyncio.run(play())


LATE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"


@pytest.mark.parametrize("comes", ["answer", "close", "nothing"])
@pytest.mark.parametrize("ask", [post_request, get_request])
def test_what_comes_late_behind_an_answer_does_not_meet_the_next_request(comes: str, ask: Any) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one:
            clock = ManualClock()
            async with running_proxy([endpoint_entry("a", one.address)]) as up:
                client = await up.connect()
                assert status_of(await client.request(ask(1))) == 200
                client.writer.write(ask(2))
                await clock.wait_until(lambda: len(up.proxy.dispatcher.active_requests) == 1)
                await clock.advance(0.004)
                if comes == "answer":
                    one.writers[0].write(LATE)
                elif comes == "close":
                    one.writers[0].close()
                if comes != "nothing":
                    await clock.wait_until(lambda: up.proxy.pool._connected == 0)
                assert one.received.qsize() == 1
                await clock.advance(0.01)
                assert (await client.response()).endswith(b"done")
                assert one.received.qsize() == 2
                assert len(one.writers) == (1 if comes == "nothing" else 2)

    asyncio.run(play())


@pytest.mark.parametrize("crosses", ["left", "drained", "late"])
def test_nothing_is_sent_on_a_rested_connection_when_the_world_moved_on(crosses: str) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE) as one, stub_backend(lambda _: OK_RESPONSE) as two:
            clock = ManualClock()
            async with running_proxy([endpoint_entry("a", one.address)]) as up:
                client = await up.connect()
                assert status_of(await client.request(post_request(1))) == 200
                client.writer.write(post_request(2, timeout="0.01" if crosses == "late" else "30"))
                await clock.wait_until(lambda: len(up.proxy.dispatcher.active_requests) == 1)
                up.notify([endpoint_entry("b", two.address)])
                if crosses == "left":
                    client.writer.close()
                    await clock.wait_until(lambda: not up.proxy.dispatcher.active_requests)
                elif crosses == "drained":
                    up.notify([endpoint_entry("a", one.address, "terminating")])
                await clock.advance(0.02)
                await clock.wait_until(lambda: not up.proxy.dispatcher.active_requests)
                assert one.received.qsize() == 1
                assert two.received.qsize() == (crosses == "drained")
                if crosses != "left":
                    assert status_of(await client.response()) == (200 if crosses == "drained" else 503)

    asyncio.run(play())
