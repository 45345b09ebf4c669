"""Parsing of clients' requests: malformed, split and pipelined ones, and headers that are not forwarded."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.client_scenarios import CHUNKED_REQUEST, connect_slow_reader
from tests.support.loopback import (
    in_event_loop,
    proxy_with_backends,
    respond_ok,
    stay_silent,
    wait_until,
    with_timeout,
)
from tests.support.proxy_inputs import OK_RESPONSE, get_request, post_request, status_of
from tests.support.proxy_internals import discards_input, has_paused_writing, unwritten_bytes


@pytest.mark.parametrize(
    ("request_bytes", "expected_status"),
    [
        (post_request(X_Priority_Class="odd"), 400),
        (post_request(X_Priority_Class=""), 400),
        (post_request(X_Tenant_Id="odd"), 400),
        (post_request(X_Request_ID=""), 400),
        (post_request().replace(b"POST", b"PUT"), 400),
        (post_request().replace(b"POST", b"GET"), 400),
        (post_request(X_Priority_Class="once"), 400),
        (post_request(X_Priority_Class="once", Idempotency_Key="k"), 200),
        *((post_request(timeout=timeout), 400) for timeout in ("", "soon", "nan", "inf", "-1", "1e9", "1_0")),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost h\r\n\r\n", 400),
        (post_request().replace(b"/api/k", b"/apis"), 404),
        (b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (post_request(body=b"x" * (64 * 1024 + 1)), 413),
        (post_request(body=b"x" * (1 << 20)), 413),
        (post_request(timeout="0.000"), 503),
        (get_request(target="/api"), 200),
        (CHUNKED_REQUEST, 200),
        (CHUNKED_REQUEST.replace(b"chunked", b"gzip, chunked"), 400),
        (CHUNKED_REQUEST.replace(b"2\r\nro\r\n", b"1\r\nr\r\n" * 4000), 200),
        (CHUNKED_REQUEST.replace(b"2\r\nro\r\n", b"1\r\nr\r\n" * 4200), 413),
        (get_request(Accept="a").replace(b"\r\n\r\n", b"\r\n" + b"a: b\r\n" * 240 + b"\r\n"), 200),
        (get_request(Accept="a").replace(b"\r\n\r\n", b"\r\n" + b"a: b\r\n" * 260 + b"\r\n"), 431),
        (CHUNKED_REQUEST.replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\n", 1), 400),
        (post_request().replace(b"Content-Length: 4", b"Content-Length: 4\r\nContent-Length: 4"), 400),
        (post_request().replace(b"Content-Length: 4", b"Content-Length: -4"), 400),
        (post_request().replace(b"Content-Length: 4", b"Content-Length: 3000000000"), 413),
        (post_request(X_Pad="p" * (17 << 10)), 431),
        (post_request(X_Pad="p" * (300 << 10)), 431),
        (b"GET /api/k HTTP/1.1\r\n" + b"X-Pad: p\r\n" * 4000, 431),
        (post_request().replace(b"\r\nX-Timeout", b"\r\nX-Request-Id: id2\r\nX-Timeout"), 400),
        (post_request(X_Request_ID="id 1"), 400),
        (post_request(X_Request_ID="i" * 65), 400),
        (post_request(X_Note="\xff"), 400),
        (post_request(Connection="X-Request-ID"), 400),
        (post_request(Connection="upgrade", Upgrade="h2c"), 400),
        (b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (post_request().replace(b"Host: h\r\n", b""), 400),
        (post_request().replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
        (get_request(target="/api/k#part"), 400),
    ],
)
@in_event_loop
async def test_unusual_request_gets_one_response_and_the_proxy_keeps_serving(
    request_bytes: bytes, expected_status: int
) -> None:
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await proxy.connect()
        response = await client.request(request_bytes)
        assert status_of(response) == expected_status
        assert response.count(b"\n", response.index(b"\r\n\r\n") + 4) <= 1, "more than one line of reason"
        if expected_status not in (200, 503):
            assert await with_timeout(client.reader.read()) == b""  # half closed, not reset
        assert backend.received.qsize() == (expected_status == 200)
        if request_bytes is CHUNKED_REQUEST:
            assert backend.received.get_nowait().endswith(b"Content-Length: 4\r\n\r\nroom")
        assert status_of(await (await proxy.connect()).request(post_request(2))) == 200


@in_event_loop
async def test_split_and_pipelined_requests_get_their_responses_in_order() -> None:
    def script(request: bytes) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + request[request.index(b"id") + 2 :][:1]

    async with proxy_with_backends(script) as (proxy, _):
        client = await proxy.connect()
        requests = post_request(1) + get_request(2) + CHUNKED_REQUEST.replace(b"id1", b"id3")
        client.writer.write(requests)
        assert [(await client.response())[-1:] for _ in range(3)] == [b"1", b"2", b"3"]
        for position in range(len(requests)):
            client.writer.write(requests[position : position + 1])
            await asyncio.sleep(0)
        assert [(await client.response())[-1:] for _ in range(3)] == [b"1", b"2", b"3"]
        last_response = await client.request(post_request(4, Connection="close"))
        assert b"Connection: close\r\n" in last_response
        assert await with_timeout(client.reader.read()) == b""


@pytest.mark.parametrize("count", [9, 12, 200])
@in_event_loop
async def test_each_of_many_requests_sent_at_once_gets_its_response(count: int) -> None:
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(b"".join(get_request(number) for number in range(count)))
        assert [status_of(await client.response()) for _ in range(count)] == [200] * count
        ids = [backend.received.get_nowait().split(b"X-Request-ID: ")[1].split()[0] for _ in range(count)]
        assert ids == [b"id%d" % number for number in range(count)]


@in_event_loop
async def test_requests_before_too_many_bytes_get_their_responses_and_then_the_connection_ends() -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(get_request(0))
        await with_timeout(backend.received.get())
        client.writer.write(b"".join(get_request(number) for number in range(1, 3000)))
        [connection] = proxy.listener.connections.open
        await wait_until(lambda: discards_input(connection))
        backend.script = respond_ok
        backend.writers[0].write(OK_RESPONSE)
        statuses = [status_of(await client.response()) for _ in range(100)]
        while statuses[-1] == 200:
            statuses.append(status_of(await client.response()))
        assert statuses == [200] * (len(statuses) - 1) + [400]
        assert len(statuses) - 1 == 1 + backend.received.qsize()
        assert await with_timeout(client.reader.read()) == b""
        assert proxy.proxy.monitor.summary() == ""


@in_event_loop
async def test_requests_before_an_endless_flood_get_their_responses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("proxy.downstream.connection_input.MAX_DISCARDED_BYTES", 100_000)
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(get_request(0))
        await with_timeout(backend.received.get())
        client.writer.write(b"".join(get_request(number) for number in range(1, 100)) + b"x" * 300_000)
        [connection] = proxy.listener.connections.open
        await wait_until(lambda: connection.closer.reading_stopped)
        backend.script = respond_ok
        backend.writers[0].write(OK_RESPONSE)
        statuses = [status_of(await client.response()) for _ in range(101)]
        assert statuses == [200] * 100 + [400]
        assert backend.received.qsize() == 99
        assert proxy.proxy.monitor.summary() == ""
        client.writer.close()
        await wait_until(lambda: not proxy.listener.connections.open)


@in_event_loop
async def test_request_with_an_id_in_use_is_not_forwarded() -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client, other = await proxy.connect(), await proxy.connect()
        client.writer.write(post_request(1))
        await with_timeout(backend.received.get())
        assert status_of(await other.request(post_request(1))) == 409
        for writer in backend.writers:
            writer.write(OK_RESPONSE)
        assert status_of(await client.response()) == 200
        client.writer.write(post_request(1))  # the id is not in use any more
        assert b"id1" in await with_timeout(backend.received.get())


@in_event_loop
async def test_headers_named_by_connection_and_trailers_are_not_forwarded() -> None:
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await proxy.connect()
        request = post_request(1, Connection="keep-alive, X-Hop", X_Hop="1", X_End="2")
        assert status_of(await client.request(request)) == 200
        forwarded = await with_timeout(backend.received.get())
        assert b"X-Hop" not in forwarded
        assert b"X-End: 2" in forwarded
        with_trailer = CHUNKED_REQUEST.replace(b"0\r\n\r\n", b"0\r\nX-Request-ID: id7\r\n\r\n")
        with_trailer = with_trailer.replace(b"X-Tenant", b"Transfer_Encoding: a\r\nX-Tenant")
        assert status_of(await client.request(with_trailer)) == 200
        forwarded = await with_timeout(backend.received.get())
        assert b"id7" not in forwarded
        assert b"Transfer" not in forwarded


@in_event_loop
async def test_unread_responses_delay_further_requests() -> None:
    large_response = b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65536
    async with proxy_with_backends(lambda _: large_response) as (proxy, [backend]):
        client = await connect_slow_reader(proxy)
        sock, connection = client.sock, client.connection
        number = 0
        while not has_paused_writing(connection):
            sock.send(get_request(number := number + 1))
            await wait_until(
                lambda sent=number: has_paused_writing(connection) or backend.received.qsize() == sent  # type: ignore[misc]
            )
        assert unwritten_bytes(connection) < 3 * 65536
        sock.close()


@pytest.mark.parametrize("waiting", [1, 3])
@in_event_loop
async def test_requests_after_one_that_ends_the_connection_are_rejected_one_by_one(waiting: int) -> None:
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await proxy.connect()
        invalid_request = get_request(0, X_Priority_Class="unknown")
        client.writer.write(invalid_request + b"".join(post_request(1 + number) for number in range(waiting)))
        statuses = [status_of(await client.response()) for _ in range(1 + waiting)]
        assert statuses == [400] + [503] * waiting
        assert await with_timeout(client.reader.read()) == b""
        assert backend.received.empty()
        assert proxy.proxy.monitor.summary() == ""
