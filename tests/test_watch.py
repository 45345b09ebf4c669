"""The watch on discovery on loopback sockets: silence, resets, restarts, and what it tells."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest
from loopback import (
    Client,
    ManualClock,
    free_port,
    running_proxy,
    stub_backend,
    stub_discovery,
    wait_until,
    with_timeout,
)
from proxy_inputs import HOST, OK_RESPONSE, endpoint_entry, post_request, proxy_config, status_of

from proxy.__main__ import serve
from proxy.config import Address

BEAT = 2.0  # seconds between two empty lines, by the protocol
COUNTS = 6.0  # seconds after a watch fell silent at which what it misses counts as told
GRACE = 0.25  # seconds from being told that a server drains in which it may still get something


async def connected(clock: ManualClock, port: int) -> Client:
    """A connection to a proxy that may not accept yet."""
    opening = asyncio.ensure_future(asyncio.open_connection(HOST, port))
    await clock.wait_until(opening.done)
    return Client(*opening.result())


def test_a_silent_watch_is_opened_anew_with_time_for_another_try() -> None:
    async def play() -> None:
        async with stub_discovery() as registry:
            clock = ManualClock()
            async with running_proxy([], discovery=registry.port) as up:
                await clock.wait_until(lambda: registry.watch_requests.qsize() == 1)
                registry.send_update(8, [endpoint_entry("a", f"{HOST}:1")])
                await clock.wait_until(lambda: up.proxy.listener.ready)
                await clock.advance(BEAT)
                assert registry.disconnects.empty()  # a line is due only now
                await clock.advance(COUNTS / 2.0 - BEAT)  # the first half of the time is for noticing
                await clock.wait_until(lambda: registry.disconnects.qsize() == 1)
                await clock.advance(GRACE / 2.0)
                await clock.wait_until(lambda: registry.watch_requests.qsize() == 2)

    asyncio.run(play())


def test_what_an_agent_tells_on_its_return_is_soon_heard() -> None:
    async def play() -> None:
        async with stub_discovery() as registry:
            port = registry.port
        clock = ManualClock()
        async with running_proxy([], discovery=port):  # nobody is there
            for _ in range(40):
                await clock.advance(GRACE)
            server = await asyncio.start_server(registry.serve, HOST, port)
            await clock.advance(GRACE)
            await clock.wait_until(lambda: registry.watch_requests.qsize() == 1)
            server.close()

    asyncio.run(play())


@pytest.mark.parametrize("indent", [None, 0, 2])
def test_lists_may_come_indented(indent: int | None) -> None:
    async def play() -> None:
        async with stub_discovery() as registry, running_proxy([], discovery=registry.port) as up:
            await with_timeout(registry.watch_requests.get())
            registry.send_bytes(b"\n")
            registry.send_update(
                8, [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2")], True, indent
            )
            await wait_until(lambda: len(up.proxy.endpoint_table.backends) == 2)
            registry.send_bytes(b"\n")
            registry.send_update(9, [], False, indent)
            registry.send_update(10, [endpoint_entry("a", f"{HOST}:1", "terminated")], False, indent)
            await wait_until(lambda: len(up.proxy.endpoint_table.backends) == 1)
            assert registry.disconnects.empty()

    asyncio.run(play())


@pytest.mark.parametrize("bad", [b"nonsense\n", b'{"index":9,\n{"index":10}\n', b'{"index":9,\n\n', b"[]\n"])
def test_a_list_that_can_not_be_read_renews_the_watch(bad: bytes) -> None:
    async def play() -> None:
        async with stub_discovery() as registry, running_proxy([], discovery=registry.port) as up:
            await with_timeout(registry.watch_requests.get())
            registry.send_update(8, [endpoint_entry("a", f"{HOST}:1")])
            registry.send_bytes(bad)
            assert await with_timeout(registry.watch_requests.get()) == "/v1/servers?follow=1&since=8"
            assert len(up.proxy.endpoint_table.backends) == 1

    asyncio.run(play())


@pytest.mark.parametrize("told", [True, False])
def test_nothing_is_taken_up_before_the_agent_has_told_its_list(told: bool) -> None:
    async def play() -> None:
        async with (
            stub_discovery() as registry,
            stub_backend(lambda _: OK_RESPONSE) as one,
            stub_backend(lambda _: OK_RESPONSE) as two,
        ):
            port = free_port()
            clock = ManualClock()
            known = [endpoint_entry("a", one.address)]
            proxy = asyncio.create_task(serve(proxy_config(known, registry.port, listen=Address(HOST, port))))
            await clock.wait_until(lambda: registry.watch_requests.qsize() == 1)
            client = await connected(clock, port)
            client.writer.write(post_request())
            await clock.settle()
            assert one.received.empty()
            if told:
                # What the agent has counts as told from the first moment.
                registry.send_update(
                    8, [endpoint_entry("a", one.address, "terminating"), endpoint_entry("b", two.address)]
                )
                await clock.wait_until(lambda: two.received.qsize() == 1)
                assert one.received.empty()
            else:  # discovery is down
                await clock.advance(0.5)
                await clock.wait_until(lambda: one.received.qsize() == 1)
            assert status_of(await client.response()) == 200
            os.kill(os.getpid(), signal.SIGTERM)
            while not proxy.done():
                await clock.advance(0.1)
            await proxy

    asyncio.run(play())
