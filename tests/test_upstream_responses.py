"""Responses of backends: malformed, unsolicited, large, stalled and slow ones."""

from __future__ import annotations

import asyncio

import pytest
from loopback import in_event_loop, proxy_with_backends, wait_until, with_timeout
from pool_scenario import answer_first_request, settings_with
from proxy_inputs import OK_RESPONSE, RAW_SETTINGS, get_request, post_request, status_of

from proxy.upstream.attempt import MAX_RESPONSE_STALL


@in_event_loop
async def test_unsolicited_response_closes_its_connection() -> None:
    async with proxy_with_backends(lambda _: OK_RESPONSE + OK_RESPONSE) as (proxy, [backend]):
        client = await proxy.connect()
        assert status_of(await client.request(post_request())) == 200
        await with_timeout(backend.disconnects.get())


@in_event_loop
async def test_malformed_responses_are_no_reason_to_shed_load() -> None:
    responses = [OK_RESPONSE, OK_RESPONSE, b"nonsense"] * 20
    services = [row | {"Credit": 5.0 if row["Name"] == "read" else 1.0} for row in RAW_SETTINGS["Services"]]
    async with proxy_with_backends(lambda _: responses.pop(), settings=settings_with(Services=services)) as (
        proxy,
        _,
    ):
        client = await proxy.connect()
        statuses = [status_of(await client.request(post_request(number))) for number in range(60)]
        assert statuses == [502, 200, 200] * 20


@in_event_loop
async def test_response_larger_than_a_request_may_be_is_passed_on() -> None:
    body = bytes(range(256)) * 1400  # 350 KB
    scripted = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    async with proxy_with_backends(lambda _: scripted) as (proxy, _):
        client = await proxy.connect()
        for number in range(40):  # together more than may be buffered: what has been passed on is released
            response = await client.request(post_request(number))
            assert status_of(response) == 200
            assert response.endswith(b"\r\n\r\n" + body)
        assert proxy.pool.response_memory.reserved == 0


@in_event_loop
async def test_large_responses_cannot_fill_the_memory() -> None:
    part = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 900000
    async with proxy_with_backends(lambda _: part, memory_limit=2 << 20) as (proxy, _):
        client = await proxy.connect()
        assert status_of(await client.request(post_request())) == 502
        await wait_until(lambda: proxy.pool.response_memory.reserved == 0)


@pytest.mark.parametrize("part", [OK_RESPONSE[:12], OK_RESPONSE[:-2]])
@in_event_loop
async def test_stalled_response_leaves_time_for_a_retry(part: bytes) -> None:
    script = answer_first_request(part)
    async with proxy_with_backends(script, script) as (proxy, [backend_a, backend_b]):
        client = await proxy.connect()
        assert status_of(await client.request(get_request())) == 200
        assert backend_a.received.qsize() + backend_b.received.qsize() == 2


@pytest.mark.parametrize(
    ("request_bytes", "beginning"),
    [(post_request(), OK_RESPONSE[:-2]), (get_request(), b"HTTP/1.1 102 Processing\r\n\r\n")],
)
@in_event_loop
async def test_slow_response_is_waited_for(request_bytes: bytes, beginning: bytes) -> None:
    async with proxy_with_backends(lambda _: beginning) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(request_bytes)
        await with_timeout(backend.received.get())
        await asyncio.sleep(3.0 * MAX_RESPONSE_STALL)
        backend.writers[0].write(OK_RESPONSE[-2:] if beginning == OK_RESPONSE[:-2] else OK_RESPONSE)
        assert (await client.response()).endswith(b"\r\n\r\ndone")
