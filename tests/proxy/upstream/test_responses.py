"""Malformed, unsolicited, large, stalled and slow responses from backends.

A truncated response must not count as complete, a large one must not fill the memory, and a slow one must not
fail its request.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from balancer.events import Outcome
from proxy.upstream.attempt import MAX_RESPONSE_STALL
from proxy.upstream.connection import UpstreamConnection
from tests.support.client_scenarios import disconnect, disconnect_settings, reset_on_close
from tests.support.loopback import (
    in_event_loop,
    proxy_with_backends,
    running_proxy,
    stay_silent,
    wait_until,
    with_timeout,
)
from tests.support.pool_scenario import respond_to_first_request, settings_with
from tests.support.proxy_inputs import (
    HOST,
    OK_RESPONSE,
    RAW_SETTINGS,
    endpoint_entry,
    get_request,
    post_request,
    status_of,
)
from tests.support.proxy_internals import is_receiving_response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from proxy.active_request import ActiveRequest


@in_event_loop
async def test_unsolicited_response_closes_its_connection() -> None:
    async with proxy_with_backends(lambda _: OK_RESPONSE + OK_RESPONSE) as (proxy, [backend]):
        client = await proxy.connect()
        assert status_of(await client.request(post_request())) == 200
        await with_timeout(backend.disconnects.get())


@in_event_loop
async def test_malformed_responses_do_not_cause_load_shedding() -> None:
    responses = [OK_RESPONSE, OK_RESPONSE, b"nonsense"] * 20
    services = [
        raw_class | {"Credit": 5.0 if raw_class["Name"] == "read" else 1.0}
        for raw_class in RAW_SETTINGS["Services"]
    ]
    async with proxy_with_backends(lambda _: responses.pop(), settings=settings_with(Services=services)) as (
        proxy,
        _,
    ):
        client = await proxy.connect()
        statuses = [status_of(await client.request(post_request(number))) for number in range(60)]
        assert statuses == [502, 200, 200] * 20


@in_event_loop
async def test_response_larger_than_the_limit_on_requests_is_forwarded() -> None:
    body = bytes(range(256)) * 1400  # 350 KB
    scripted = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    async with proxy_with_backends(lambda _: scripted) as (proxy, _):
        client = await proxy.connect()
        for number in range(40):  # in total more than may be buffered: forwarded bytes are released
            response = await client.request(post_request(number))
            assert status_of(response) == 200
            assert response.endswith(b"\r\n\r\n" + body)
        assert proxy.pool.response_memory.reserved == 0


def is_sent(request: ActiveRequest) -> bool:
    """Return whether the first attempt of a request is being written to its backend."""
    return bool(request.attempts) and request.attempts[0].written_at is not None


@asynccontextmanager
async def not_reading_backend() -> AsyncIterator[str]:
    """Run a backend that accepts connections and reads nothing, and yield its address."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind((HOST, 0))
        sock.listen()
        yield f"{HOST}:{sock.getsockname()[1]}"


@in_event_loop
async def test_large_incomplete_responses_do_not_fill_the_memory() -> None:
    incomplete_response = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 900000
    async with proxy_with_backends(lambda _: incomplete_response, memory_limit=2 << 20) as (proxy, _):
        client = await proxy.connect()
        assert status_of(await client.request(post_request())) == 502
        await wait_until(lambda: proxy.pool.response_memory.reserved == 0)


@pytest.mark.parametrize("incomplete_response", [OK_RESPONSE[:12], OK_RESPONSE[:-2]])
@in_event_loop
async def test_stalled_response_leaves_time_for_a_retry(incomplete_response: bytes) -> None:
    script = respond_to_first_request(incomplete_response)
    async with proxy_with_backends(script, script) as (proxy, [backend_a, backend_b]):
        client = await proxy.connect()
        assert status_of(await client.request(get_request())) == 200
        assert backend_a.received.qsize() + backend_b.received.qsize() == 2


@pytest.mark.parametrize(
    ("request_bytes", "beginning"),
    [(post_request(), OK_RESPONSE[:-2]), (get_request(), b"HTTP/1.1 102 Processing\r\n\r\n")],
)
@in_event_loop
async def test_slow_response_does_not_fail(request_bytes: bytes, beginning: bytes) -> None:
    async with proxy_with_backends(lambda _: beginning) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(request_bytes)
        await with_timeout(backend.received.get())
        await asyncio.sleep(3.0 * MAX_RESPONSE_STALL)
        backend.writers[0].write(OK_RESPONSE[-2:] if beginning == OK_RESPONSE[:-2] else OK_RESPONSE)
        assert (await client.response()).endswith(b"\r\n\r\ndone")


@pytest.mark.parametrize("request_bytes", [post_request(), get_request()], ids=["POST", "GET"])
@pytest.mark.parametrize("pieces", [[b"wh", b"ole"], [b""]], ids=["body in pieces", "empty body"])
@in_event_loop
async def test_response_without_length_is_complete_when_the_backend_closes_normally(
    request_bytes: bytes, pieces: list[bytes]
) -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(request_bytes)
        await with_timeout(backend.received.get())
        writer = backend.writers[0]
        writer.write(b"HTTP/1.1 200 OK\r\nX-Kept: 1\r\n\r\n")
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        writer.close()
        response = await client.response()
        assert status_of(response) == 200
        assert b"X-Kept: 1\r\n" in response
        assert response.endswith(b"\r\n\r\n" + b"".join(pieces))
        assert backend.received.empty()  # the request was not sent again
        await with_timeout(backend.disconnects.get())


@pytest.mark.parametrize(
    "beginning",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\nX-Half: 1\r\n",
        b"HTTP/1.1 200",
        b"",
    ],
    ids=["length", "chunked", "half a head", "half a line", "nothing"],
)
@in_event_loop
async def test_closed_connection_does_not_complete_a_truncated_response(beginning: bytes) -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(post_request())
        await with_timeout(backend.received.get())
        backend.writers[0].write(beginning)
        backend.writers[0].close()
        assert status_of(await client.response()) == 502


@in_event_loop
async def test_reset_does_not_complete_a_response_without_length() -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(post_request())
        await with_timeout(backend.received.get())
        writer = backend.writers[0]
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        [active] = proxy.dispatcher.active_requests.values()
        await wait_until(lambda: is_receiving_response(active))
        reset_on_close(writer.get_extra_info("socket"))
        writer.transport.abort()
        assert status_of(await client.response()) == 502


@in_event_loop
async def test_unsent_part_of_a_request_counts_against_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    connection_made = UpstreamConnection.connection_made

    def made_with_small_send_buffer(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection_made(connection, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", made_with_small_send_buffer)
    settings = disconnect_settings("first", "no cancels")
    async with not_reading_backend() as address:
        async with running_proxy([endpoint_entry("a", address)], settings=settings) as proxy:
            client = await proxy.connect()
            client.writer.write(post_request(body=b"x" * (64 << 10)))
            await wait_until(lambda: any(is_sent(each) for each in proxy.dispatcher.active_requests.values()))
            disconnect(client, "close")  # its attempt goes on
            await wait_until(lambda: not proxy.listener.connections.open)
            assert proxy.listener.buffered_bytes > 32 << 10
            [active] = proxy.dispatcher.active_requests.values()
            active.attempts[0].finish(Outcome.TIMEOUT)
            await wait_until(lambda: proxy.listener.buffered_bytes == 0)
