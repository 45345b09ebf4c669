"""Attempts must not be sent too late, to a replaced process, or on a connection with a late second response.

The tests force the order of events: a drain, a disconnect, the deadline or an endpoint update comes during a
dial, a response or a reuse delay.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from tests.support.loopback import (
    ConnectGate,
    ManualClock,
    in_event_loop,
    proxy_with_backends,
    respond_ok,
    running_proxy,
    stay_silent,
    stub_backend,
    wait_until,
    with_timeout,
)
from tests.support.proxy_inputs import OK_RESPONSE, endpoint_entry, get_request, post_request, status_of
from tests.support.proxy_internals import dials_in_progress, established_connections

if TYPE_CHECKING:
    from collections.abc import Callable

LATE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"


@pytest.mark.parametrize("change", ["drained", "disconnected", "timed out"])
@in_event_loop
async def test_dial_sends_nothing_after_a_drain_a_disconnect_or_the_deadline(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        dial_started, dial_allowed = asyncio.Event(), asyncio.Event()

        async def dial_slowly(*args: Any, **options: Any) -> Any:
            dial_started.set()
            await dial_allowed.wait()
            return await create_connection(*args, **options)

        client = await proxy.connect()
        monkeypatch.setattr(loop, "create_connection", dial_slowly)
        client.writer.write(post_request(timeout="0.3" if change == "timed out" else "30"))
        await with_timeout(dial_started.wait())
        if change == "drained":
            proxy.notify([endpoint_entry("a", backend.address, "terminating")])
        elif change == "disconnected":
            client.writer.close()
            await wait_until(lambda: not proxy.dispatcher.active_requests)
        else:
            assert status_of(await client.response()) >= 500
        dial_allowed.set()
        if change == "drained":
            assert status_of(await client.response()) == 503
        pool = proxy.pool
        await wait_until(lambda: dials_in_progress(pool) == established_connections(pool) == 0)
        assert backend.received.empty()


@pytest.mark.parametrize("change", ["moved", "restarted", "back"])
@in_event_loop
async def test_connection_to_a_replaced_process_is_not_reused_after_its_response(change: str) -> None:
    async with stub_backend(stay_silent) as backend_a, stub_backend(respond_ok) as backend_b:
        async with running_proxy([endpoint_entry("a", backend_a.address)]) as proxy:
            client = await proxy.connect()
            client.writer.write(post_request(1))
            await with_timeout(backend_a.received.get())
            address = backend_b.address if change == "moved" else backend_a.address
            if change == "back":
                proxy.notify([endpoint_entry("a", backend_a.address, "terminated")])
            proxy.notify([endpoint_entry("a", address, since_ms=1000 if change == "restarted" else 0)])
            backend_a.writers[0].write(OK_RESPONSE)
            assert status_of(await client.response()) == 200
            await with_timeout(backend_a.disconnects.get())  # not reused for the next request
            backend_a.script = respond_ok
            assert status_of(await client.request(post_request(2))) == 200
            current_backend = backend_b if change == "moved" else backend_a
            assert b"id2" in await with_timeout(current_backend.received.get())


@pytest.mark.parametrize("change", ["moved", "restarted", "back", "drained"])
@in_event_loop
async def test_dial_to_a_replaced_or_draining_process_is_not_used(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with (
        stub_backend(respond_ok) as backend_a,
        stub_backend(respond_ok) as backend_b,
    ):
        async with running_proxy([endpoint_entry("a", backend_a.address)]) as proxy:
            client = await proxy.connect()
            gate = ConnectGate(monkeypatch)
            client.writer.write(post_request(1))
            await wait_until(lambda: gate.blocked == 1)
            if change in ("back", "drained"):
                proxy.notify(
                    [
                        endpoint_entry(
                            "a", backend_a.address, "terminated" if change == "back" else "terminating"
                        )
                    ]
                )
            address = backend_b.address if change == "moved" else backend_a.address
            proxy.notify([endpoint_entry("b", backend_b.address)])
            if change != "drained":
                proxy.notify([endpoint_entry("a", address, since_ms=1000 if change == "restarted" else 0)])
            gate.release()
            assert status_of(await client.response()) == 200
            await with_timeout(backend_a.disconnects.get())  # the dialled connection is closed
            assert b"id1" in await with_timeout(backend_b.received.get())
            assert backend_a.received.empty()


@pytest.mark.parametrize("late_event", ["response", "close", "nothing"])
@pytest.mark.parametrize("make_request", [post_request, get_request])
@in_event_loop
async def test_late_bytes_after_a_response_are_not_used_for_the_next_request(
    late_event: str, make_request: Callable[[int], bytes]
) -> None:
    clock = ManualClock()
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await proxy.connect()
        assert status_of(await client.request(make_request(1))) == 200
        client.writer.write(make_request(2))
        await clock.wait_until(lambda: len(proxy.dispatcher.active_requests) == 1)
        await clock.advance(0.004)
        if late_event == "response":
            backend.writers[0].write(LATE_RESPONSE)
        elif late_event == "close":
            backend.writers[0].close()
        if late_event != "nothing":
            await clock.wait_until(lambda: established_connections(proxy.pool) == 0)
        assert backend.received.qsize() == 1
        await clock.advance(0.01)
        assert (await client.response()).endswith(b"done")
        assert backend.received.qsize() == 2
        assert len(backend.writers) == (1 if late_event == "nothing" else 2)


@pytest.mark.parametrize("change", ["disconnected", "drained", "timed out"])
@in_event_loop
async def test_reuse_delay_sends_nothing_after_a_drain_a_disconnect_or_the_deadline(
    change: str,
) -> None:
    async with (
        stub_backend(respond_ok) as backend_a,
        stub_backend(respond_ok) as backend_b,
    ):
        clock = ManualClock()
        async with running_proxy([endpoint_entry("a", backend_a.address)]) as proxy:
            client = await proxy.connect()
            assert status_of(await client.request(post_request(1))) == 200
            client.writer.write(post_request(2, timeout="0.01" if change == "timed out" else "30"))
            await clock.wait_until(lambda: len(proxy.dispatcher.active_requests) == 1)
            proxy.notify([endpoint_entry("b", backend_b.address)])
            if change == "disconnected":
                client.writer.close()
                await clock.wait_until(lambda: not proxy.dispatcher.active_requests)
            elif change == "drained":
                proxy.notify([endpoint_entry("a", backend_a.address, "terminating")])
            await clock.advance(0.02)
            await clock.wait_until(lambda: not proxy.dispatcher.active_requests)
            assert backend_a.received.qsize() == 1
            assert backend_b.received.qsize() == (change == "drained")
            if change != "disconnected":
                assert status_of(await client.response()) == (200 if change == "drained" else 503)


@in_event_loop
async def test_reuse_delay_is_longer_after_a_second_response_arrived_late() -> None:
    clock = ManualClock()
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await clock.wait_for(proxy.connect())
        assert status_of(await clock.wait_for(client.request(post_request(1)))) == 200
        await clock.advance(0.008)
        backend.writers[0].write(LATE_RESPONSE)  # a second response, on a connection that is idle
        await clock.wait_until(lambda: established_connections(proxy.pool) == 0)

        assert status_of(await clock.wait_for(client.request(post_request(2)))) == 200
        client.writer.write(post_request(3))
        await clock.wait_until(lambda: len(proxy.dispatcher.active_requests) == 1)
        await clock.advance(0.012)
        assert backend.received.qsize() == 2
        backend.writers[1].write(LATE_RESPONSE)
        await clock.wait_until(lambda: established_connections(proxy.pool) == 0)
        await clock.advance(0.01)
        assert (await clock.wait_for(client.response())).endswith(b"done")
        assert len(backend.writers) == 3
