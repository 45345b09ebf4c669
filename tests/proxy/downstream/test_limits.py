"""Idle clients, slow clients or too many clients must not use up the proxy's connections and memory."""

from __future__ import annotations

import pytest

from proxy.downstream.client_memory import SLOW_REQUEST_AGE
from tests.support.client_scenarios import CHUNKED_REQUEST
from tests.support.loopback import (
    ManualClock,
    in_event_loop,
    proxy_with_backends,
    respond_ok,
    stay_silent,
    wait_until,
    with_timeout,
)
from tests.support.proxy_inputs import MAX_WAIT, OK_RESPONSE, post_request, status_of
from tests.support.proxy_internals import discards_input

MEMORY_LIMIT = 400 << 10  # bytes, of which incomplete and pipelined requests may use 100 KiB
SOCKETS_FOR_FOUR_CLIENTS = 48 + 8  # descriptors: 48 are reserved, and clients may use half of the others


@pytest.mark.parametrize(
    "sent", [b"", b"\r\n", b"POST /api/k HT", post_request(body=b"room")[:-1], CHUNKED_REQUEST[:-4]]
)
@in_event_loop
async def test_client_that_does_not_finish_its_request_is_disconnected(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("proxy.downstream.timeouts.FIRST_REQUEST_TIMEOUT", 0.5)
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(sent)
        response = await with_timeout(client.reader.read())
        assert response.startswith(b"HTTP/1.1 408 ") if len(sent) > 2 else response == b""
        assert backend.received.empty()
        client.writer.close()
        connections = proxy.listener.connections
        await wait_until(lambda: not connections.open and not connections.closing)


@in_event_loop
async def test_idle_client_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("proxy.downstream.timeouts.IDLE_TIMEOUT", 0.1)
    async with proxy_with_backends(respond_ok) as (proxy, _):
        client = await proxy.connect()
        assert status_of(await client.request(post_request())) == 200
        assert await with_timeout(client.reader.read()) == b""
        assert not proxy.listener.connections.open


@in_event_loop
async def test_incomplete_bodies_cannot_fill_the_memory() -> None:
    async with proxy_with_backends(respond_ok, memory_limit=MEMORY_LIMIT) as (proxy, [backend]):
        requests = [post_request(number, body=b"x" * (60 << 10)) for number in range(2)]
        first, second = await proxy.connect(), await proxy.connect()
        first.writer.write(requests[0][:-1])
        await wait_until(lambda: proxy.listener.buffered_bytes > 60_000)
        assert status_of(await second.request(requests[1][:-1])) == 503
        assert status_of(await first.request(requests[0][-1:])) == 200
        await wait_until(lambda: proxy.listener.buffered_bytes == 0)
        assert backend.received.qsize() == 1


@in_event_loop
async def test_silent_clients_are_evicted_before_others(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in (
        "FIRST_REQUEST_TIMEOUT",
        "REQUEST_TIMEOUT",
        "MIN_IDLE_TIMEOUT",
        "IDLE_TIMEOUT",
        "CLOSING_TIMEOUT",
    ):
        monkeypatch.setattr(f"proxy.downstream.timeouts.{name}", 3 * MAX_WAIT)
    monkeypatch.setattr("proxy.downstream.timeouts.NEW_CONNECTION_GRACE", 0.0)
    async with proxy_with_backends(respond_ok, max_sockets=SOCKETS_FOR_FOUR_CLIENTS) as (proxy, _):
        listener = proxy.listener
        active, incomplete = await proxy.connect(), await proxy.connect()
        assert status_of(await active.request(post_request(1))) == 200
        incomplete.writer.write(post_request(2)[:-1])
        await wait_until(lambda: bool(listener.connections.reading))
        malformed = await proxy.connect()
        assert status_of(await malformed.request(b"nonsense\r\n\r\n")) == 400
        silent = [await proxy.connect() for _ in range(12)]  # far more than the limit
        await wait_until(lambda: not listener.connections.closing and len(listener.connections.open) == 4)
        for client in silent[:-2]:
            assert await with_timeout(client.reader.read()) == b""
        assert status_of(await active.request(post_request(3))) == 200
        assert status_of(await incomplete.request(post_request(2)[-1:])) == 200


@in_event_loop
async def test_client_limit_evicts_idle_clients_and_then_rejects() -> None:
    def script(request: bytes) -> bytes | None:
        return OK_RESPONSE if b"id1" in request else None

    async with proxy_with_backends(script, max_sockets=SOCKETS_FOR_FOUR_CLIENTS) as (proxy, [backend]):
        idle = await proxy.connect()
        assert status_of(await idle.request(post_request(1))) == 200
        busy = []
        for number in range(4):
            busy.append(await proxy.connect())
            busy[-1].writer.write(post_request(20 + number))
            await with_timeout(backend.received.get())
        assert await with_timeout(idle.reader.read()) == b"", "the idle client was not evicted"
        rejection = await (await proxy.connect()).request(post_request(3))
        assert status_of(rejection) == 503
        assert b"Connection: close\r\n" in rejection
        busy[0].writer.close()
        listener = proxy.listener
        await wait_until(lambda: len(listener.connections.open) - len(listener.connections.closing) == 3)
        assert status_of(await (await proxy.connect()).request(post_request(1))) == 200


@in_event_loop
async def test_pipelined_requests_cannot_fill_the_memory() -> None:
    async with proxy_with_backends(stay_silent, memory_limit=MEMORY_LIMIT) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(post_request(1))
        await with_timeout(backend.received.get())
        for number in (2, 3):
            client.writer.write(post_request(number, body=b"x" * (60 << 10)))
        [connection] = proxy.listener.connections.open
        await wait_until(lambda: discards_input(connection))
        assert proxy.listener.buffered_bytes <= 100 << 10
        backend.writers[0].write(OK_RESPONSE)
        # Each of the requests that were received gets a response.
        assert [status_of(await client.response()) for _ in range(3)] == [200, 503, 503]
        assert await with_timeout(client.reader.read()) == b""
        assert backend.received.empty()


@in_event_loop
async def test_slow_request_that_becomes_complete_while_memory_is_short_gets_one_response() -> None:
    async with proxy_with_backends(respond_ok, memory_limit=MEMORY_LIMIT) as (proxy, _):
        slow = await proxy.connect()
        budget, clock = proxy.listener.memory.budget, ManualClock()
        request = post_request(1, body=b"x" * (20 << 10))
        slow.writer.write(request[:-1500])
        await clock.wait_until(lambda: budget.reserved > 18 << 10)
        await clock.advance(2.0 * SLOW_REQUEST_AGE)
        for number in (2, 3):
            client = await clock.wait_for(proxy.connect())
            large = post_request(number, body=b"x" * (60 << 10))
            head_size = large.index(b"\r\n\r\n") + 4
            client.writer.write(large[:head_size])
            await clock.settle()
            size = min(50 << 10, -budget.missing() - 800)
            client.writer.write(large[head_size : head_size + size])
            await clock.settle()
        assert 0 > budget.missing() > -1000
        slow.writer.write(request[-1500:])
        response = await clock.wait_for(slow.reader.read())
        assert response.count(b"HTTP/1.1 ") == response.count(b"HTTP/1.1 503 ") == 1


@in_event_loop
async def test_memory_of_waiting_requests_is_released_as_they_are_served() -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        body = b"x" * (20 << 10)
        client.writer.write(post_request(1))
        await with_timeout(backend.received.get())
        client.writer.write(post_request(2, body=body) + post_request(3, body=body))
        await wait_until(lambda: proxy.listener.buffered_bytes > 2 * len(body))
        backend.script = respond_ok
        backend.writers[0].write(OK_RESPONSE)
        assert [status_of(await client.response()) for _ in range(3)] == [200, 200, 200]
        assert proxy.listener.buffered_bytes == 0  # although no further input arrives on the idle connection


@in_event_loop
async def test_memory_of_waiting_requests_is_counted_when_a_malformed_one_follows() -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        body = b"x" * (20 << 10)
        client.writer.write(post_request(1))
        await with_timeout(backend.received.get())
        client.writer.write(post_request(2, body=body) + b"nonsense\r\n\r\n")
        [connection] = proxy.listener.connections.open
        await wait_until(lambda: discards_input(connection))
        assert proxy.listener.buffered_bytes > len(body)
