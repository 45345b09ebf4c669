"""Bursts of clients must not take a process over the memory limit of its configuration, or delay others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.support.client_burst import (
    BURST_SIZE,
    CLIENTS_WITH_REQUESTS,
    LARGE_BEGINNINGS,
    MAX_BODY,
    MEMORY_MB,
    SHORT_BEGINNINGS,
    limited_proxy,
    request_one_by_one,
    request_without_reading,
    send_and_wait_for_end,
)
from tests.support.loopback import connect, in_event_loop, respond_ok, stay_silent, with_timeout
from tests.support.proxy_inputs import OK_RESPONSE, get_request, post_request, status_of

if TYPE_CHECKING:
    from pathlib import Path

MEMORY_LIMIT = MEMORY_MB << 20  # bytes
LARGE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 350000\r\n\r\n" + b"r" * 350_000
ACCEPTABLE_STATUSES = {200, 503}  # a request that is rejected for lack of memory may be repeated


async def check_burst_that_stops(beginning: bytes, config_path: Path) -> None:
    """Check memory and responses while a burst sends the beginning of a request and then nothing more."""
    async with limited_proxy(config_path, respond_ok) as proxy:
        burst = [send_and_wait_for_end(proxy.port, beginning) for _ in range(BURST_SIZE)]
        others = [request_one_by_one(proxy.port, client, count=10) for client in range(10)]
        ends, responses = await asyncio.gather(asyncio.gather(*burst), asyncio.gather(*others))
        assert proxy.peak_memory() <= MEMORY_LIMIT
        assert all(end == b"" or 400 <= status_of(end) < 600 for end in ends)
        assert {status_of(each) for client in responses for each in client} == {200}


@pytest.mark.parametrize("beginning", SHORT_BEGINNINGS.values(), ids=SHORT_BEGINNINGS)
@in_event_loop
async def test_burst_that_stops_early_stays_within_the_memory(beginning: bytes, config_path: Path) -> None:
    await check_burst_that_stops(beginning, config_path)


@pytest.mark.parametrize("beginning", LARGE_BEGINNINGS.values(), ids=LARGE_BEGINNINGS)
@in_event_loop
async def test_burst_that_stops_late_stays_within_the_memory(beginning: bytes, config_path: Path) -> None:
    await check_burst_that_stops(beginning, config_path)


@in_event_loop
async def test_burst_with_large_requests_stays_within_the_memory(config_path: Path) -> None:
    async with limited_proxy(config_path, stay_silent) as proxy:
        clients = [await connect(proxy.port) for _ in range(CLIENTS_WITH_REQUESTS)]
        for number, client in enumerate(clients):
            client.writer.write(post_request(number, body=b"b" * MAX_BODY))
        responses = asyncio.gather(*(client.response() for client in clients))
        for backend in proxy.backends:
            await with_timeout(backend.received.get())
            backend.script = respond_ok
            for writer in backend.writers:
                writer.write(OK_RESPONSE)
        statuses = {status_of(response) for response in await with_timeout(responses)}
        assert statuses <= ACCEPTABLE_STATUSES
        assert proxy.peak_memory() <= MEMORY_LIMIT


@in_event_loop
async def test_burst_that_pipelines_stays_within_the_memory(config_path: Path) -> None:
    async with limited_proxy(config_path, respond_ok) as proxy:
        clients = [await connect(proxy.port) for _ in range(CLIENTS_WITH_REQUESTS)]
        for number, client in enumerate(clients):
            client.writer.write(b"".join(get_request(10 * number + each) for each in range(8)))
        for client in clients:
            statuses = [status_of(await client.response()) for _ in range(8)]
            assert set(statuses) <= ACCEPTABLE_STATUSES
        assert proxy.peak_memory() <= MEMORY_LIMIT


@in_event_loop
async def test_burst_that_reads_no_responses_stays_within_the_memory(config_path: Path) -> None:
    async with limited_proxy(config_path, lambda _request: LARGE_RESPONSE) as proxy:
        sockets = [await request_without_reading(proxy.port, each) for each in range(CLIENTS_WITH_REQUESTS)]
        for backend in proxy.backends:
            await with_timeout(backend.received.get())
        client = await connect(proxy.port)
        assert status_of(await client.request(get_request(1_000_000))) == 200
        assert proxy.peak_memory() <= MEMORY_LIMIT
        for sock in sockets:
            sock.close()
