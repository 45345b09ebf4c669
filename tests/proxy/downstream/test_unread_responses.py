"""Eviction, time limits and shutdown must not truncate responses that clients read slowly."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from proxy.downstream.timeouts import CLOSING_TIMEOUT, IDLE_TIMEOUT
from tests.support.client_scenarios import SlowReader, connect_slow_reader
from tests.support.loopback import (
    ManualClock,
    RunningProxy,
    in_event_loop,
    proxy_with_backends,
    wait_until,
    with_timeout,
)
from tests.support.proxy_inputs import OK_RESPONSE, get_request, post_request
from tests.support.proxy_internals import limit_send_buffer, unwritten_bytes

if TYPE_CHECKING:
    import socket

SOCKETS_FOR_FOUR_CLIENTS = 48 + 8  # descriptors: 48 are reserved, and clients may use half of the others
NEW_CLIENTS = 12  # clients that connect while another client reads a response
SMALL_SEND_BUFFER = 4096  # bytes, so that most of a response stays in the proxy, as on a slow network
BODY = b"x" * 300_000
LARGE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


async def start_response(proxy: RunningProxy, request: bytes) -> SlowReader:
    """Send a request, and return the client before it has read anything of the response."""
    client = await connect_slow_reader(proxy)
    limit_send_buffer(client.connection, SMALL_SEND_BUFFER)
    await asyncio.get_running_loop().sock_sendall(client.sock, request)
    await wait_until(lambda: unwritten_bytes(client.connection) > 0)
    return client


async def read_until_end(sock: socket.socket) -> bytes:
    """Read until the connection ends, and return all bytes."""
    data = b""
    while piece := await with_timeout(asyncio.get_running_loop().sock_recv(sock, 1 << 16)):
        data += piece
    return data


async def read_body(sock: socket.socket) -> bytes:
    """Read until the large body is complete, or the connection ends."""
    data = b""
    loop = asyncio.get_running_loop()
    while not data.endswith(BODY) and (piece := await with_timeout(loop.sock_recv(sock, 1 << 16))):
        data += piece
    return data


@pytest.mark.parametrize("connection_header", ["keep-alive", "close"])
@in_event_loop
async def test_response_that_is_being_read_is_not_truncated_for_new_clients(connection_header: str) -> None:
    async with proxy_with_backends(lambda _: LARGE_RESPONSE, max_sockets=SOCKETS_FOR_FOUR_CLIENTS) as (
        proxy,
        _,
    ):
        sock = (await start_response(proxy, get_request(Connection=connection_header))).sock
        new_clients = [await proxy.connect() for _ in range(NEW_CLIENTS)]
        new_clients[0].writer.write(b"GET")  # some of the new clients have been evicted by now
        await wait_until(lambda: len(proxy.listener.connections.open) <= 4)
        response = await read_body(sock)
        assert response.endswith(BODY)
        for client in new_clients:
            client.writer.close()
        sock.close()


@pytest.mark.parametrize(
    ("connection_header", "limit"), [("keep-alive", IDLE_TIMEOUT), ("close", CLOSING_TIMEOUT)]
)
@pytest.mark.parametrize("reads", [True, False], ids=["reads", "stalls"])
@in_event_loop
async def test_response_that_is_being_read_outlasts_the_limits_of_its_connection(
    connection_header: str, limit: float, *, reads: bool
) -> None:
    async with proxy_with_backends(lambda _: LARGE_RESPONSE) as (proxy, _):
        loop = asyncio.get_running_loop()
        client = await start_response(proxy, get_request(Connection=connection_header))
        sock, connection = client.sock, client.connection
        clock = ManualClock()
        data = b""
        for _ in range(3):
            if reads:
                before = unwritten_bytes(connection)
                while unwritten_bytes(connection) == before:
                    piece = await clock.wait_for(loop.sock_recv(sock, 1 << 14))
                    assert piece, "the response was truncated"
                    data += piece
            await clock.advance(0.6 * limit)
        assert (connection in proxy.listener.connections.open) == reads
        if reads:
            while len(data) < len(LARGE_RESPONSE) and (
                piece := await clock.wait_for(loop.sock_recv(sock, 1 << 16))
            ):
                data += piece
            assert data.endswith(BODY)
        sock.close()


@pytest.mark.parametrize("sent_before_close", [True, False], ids=["before the close", "after the close"])
@in_event_loop
async def test_response_in_transit_survives_a_shutdown_that_crosses_the_next_request(
    *, sent_before_close: bool
) -> None:
    async with proxy_with_backends(lambda _: LARGE_RESPONSE) as (proxy, [backend]):
        client = await connect_slow_reader(proxy)
        limit_send_buffer(client.connection, 4 * len(BODY))
        sock, loop = client.sock, asyncio.get_running_loop()
        await loop.sock_sendall(sock, get_request(1))
        await wait_until(lambda: bool(proxy.listener.connections.idle))
        assert unwritten_bytes(client.connection) == 0  # all of it is in the proxy's socket
        if sent_before_close:
            sock.send(get_request(2))
        proxy.listener.stop_keepalive()
        if not sent_before_close:
            await asyncio.sleep(0)
            sock.send(get_request(2))
        response = await read_body(sock)
        assert response.endswith(BODY)
        assert backend.received.qsize() == 1
        sock.close()
        await wait_until(lambda: not proxy.listener.connections.open)


@in_event_loop
async def test_shutdown_serves_a_request_that_waits_for_an_unread_response() -> None:
    responses = [OK_RESPONSE, LARGE_RESPONSE]
    async with proxy_with_backends(lambda _: responses.pop()) as (proxy, [backend]):
        client = await start_response(proxy, get_request(1) + post_request(2))
        sock, connection = client.sock, client.connection
        proxy.listener.stop_keepalive()
        response = await read_until_end(sock)
        assert backend.received.qsize() == 2
        assert response.count(b"HTTP/1.1 200 OK\r\n") == 2
        assert response.endswith(b"done")
        assert proxy.proxy.monitor.summary() == ""
        sock.close()
        await wait_until(lambda: connection not in proxy.listener.connections.open)
