"""No attempt is sent for a request whose client has disconnected."""

from __future__ import annotations

import socket

import pytest

from tests.support.client_scenarios import (
    CANCELLATION,
    DISCONNECTIONS,
    TIERS,
    connect_slow_reader,
    disconnect,
    disconnect_settings,
    has_no_requests,
    requests_received,
)
from tests.support.loopback import (
    CLOSE_CONNECTION,
    ConnectGate,
    ManualClock,
    in_event_loop,
    proxy_with_backends,
    respond_ok,
    stay_silent,
    wait_until,
    with_timeout,
)
from tests.support.proxy_inputs import MAX_WAIT, OK_RESPONSE, get_request, post_request, status_of
from tests.support.proxy_internals import (
    close_idle_connections,
    dials_in_progress,
    discards_input,
    established_connections,
    has_paused_writing,
    has_pipelined_input,
    unwritten_bytes,
)


@in_event_loop
async def test_disconnect_cancels_the_attempt_in_flight() -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(post_request())
        await with_timeout(backend.received.get())
        client.writer.close()
        await with_timeout(backend.disconnects.get())
        await wait_until(lambda: has_no_requests(proxy))


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancellation", CANCELLATION)
@pytest.mark.parametrize("kind", ["close", "reset"])
@pytest.mark.parametrize(
    "sent_after", [b"", b"\r\n", get_request(2), get_request(2)[:20], b"noise\r\n\r\n" + b"x" * 4000]
)
@in_event_loop
async def test_disconnect_during_a_dial_sends_nothing(
    tier: str, cancellation: str, kind: str, sent_after: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with proxy_with_backends(respond_ok, settings=disconnect_settings(tier, cancellation)) as (
        proxy,
        [backend],
    ):
        client, other = await proxy.connect(), await proxy.connect()
        gate = ConnectGate(monkeypatch)
        client.writer.write(post_request(body=b"x" * 5000))
        await wait_until(lambda: gate.blocked == 1)
        if sent_after:  # input after the request must not hide the disconnect
            client.writer.write(sent_after)
            connections = proxy.listener.connections.open
            await wait_until(
                lambda: any(has_pipelined_input(each) for each in connections) or sent_after == b"\r\n"
            )
        disconnect(client, kind)
        await wait_until(lambda: has_no_requests(proxy))
        gate.release()
        assert status_of(await other.request(post_request(9))) == 200
        pool = proxy.pool
        await wait_until(lambda: dials_in_progress(pool) == 0)
        assert b"id9" in backend.received.get_nowait()
        assert backend.received.empty()


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("kind", ["close", "reset"])
@in_event_loop
async def test_disconnect_during_a_retry_sends_nothing(
    tier: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with proxy_with_backends(
        lambda _: CLOSE_CONNECTION, lambda _: CLOSE_CONNECTION, settings=disconnect_settings(tier)
    ) as (
        proxy,
        [backend_a, backend_b],
    ):
        client = await proxy.connect()
        gate = ConnectGate(monkeypatch, passing=1)  # the first attempt fails, and the retry has to dial
        client.writer.write(get_request())
        await wait_until(lambda: gate.blocked == 1)
        disconnect(client, kind)
        await wait_until(lambda: has_no_requests(proxy))
        gate.release()
        await wait_until(lambda: dials_in_progress(proxy.pool) == established_connections(proxy.pool) == 0)
        assert requests_received(backend_a, backend_b) == 1


@pytest.mark.parametrize("kind", ["close", "reset"])
@in_event_loop
async def test_disconnect_prevents_a_hedged_request(kind: str) -> None:
    def script(request: bytes) -> bytes | None:
        return None if b"id2" in request else OK_RESPONSE

    clock = ManualClock()
    async with proxy_with_backends(
        script, script, settings=disconnect_settings("later", SecondCopies=True)
    ) as (
        proxy,
        [backend_a, backend_b],
    ):
        client = await proxy.connect()
        for number in (0, 1):  # records latencies, which determine when a hedged request is sent
            client.writer.write(get_request(number))
            sent = number + 1
            await clock.wait_until(lambda sent=sent: requests_received(backend_a, backend_b) == sent)  # type: ignore[misc]
            await clock.advance(0.05)
            assert status_of(await client.response()) == 200
        client.writer.write(get_request(2))
        await clock.wait_until(lambda: requests_received(backend_a, backend_b) == 3)
        assert proxy.balancer.hedging.pending
        disconnect(client, kind)
        await clock.wait_until(lambda: not proxy.dispatcher.active_requests)
        for _ in range(100):
            await clock.advance(0.1)
        assert not proxy.balancer.hedging.pending
        assert requests_received(backend_a, backend_b) == 3


@in_event_loop
async def test_disconnect_drops_pipelined_requests() -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(get_request(1) + get_request(2))
        assert b"id1" in await with_timeout(backend.received.get())
        client.writer.write(get_request(3))
        client.writer.close()
        await with_timeout(backend.disconnects.get())  # its attempt was cancelled
        await wait_until(lambda: not proxy.listener.connections.open)
        assert backend.received.empty()
        assert not proxy.dispatcher.active_requests
        assert proxy.listener.buffered_bytes == 0


@pytest.mark.parametrize("kind", ["close", "reset"])
@in_event_loop
async def test_disconnect_after_a_flood_of_pipelined_requests_is_noticed(kind: str) -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(post_request(1))
        await with_timeout(backend.received.get())
        client.writer.write(b"".join(get_request(number) for number in range(2, 200)) + b"x" * (1 << 20))
        [connection] = proxy.listener.connections.open
        await wait_until(lambda: discards_input(connection))
        disconnect(client, kind)
        await with_timeout(backend.disconnects.get())
        await wait_until(lambda: not proxy.listener.connections.open and not proxy.dispatcher.active_requests)
        assert backend.received.empty()


@pytest.mark.parametrize("kind", DISCONNECTIONS)
@in_event_loop
async def test_large_requests_behind_the_first_are_not_sent_after_their_client_left(kind: str) -> None:
    body = b"x" * (60 << 10)
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(b"".join(post_request(number, body=body) for number in range(20)))
        await with_timeout(backend.received.get())
        disconnect(client, kind)
        await with_timeout(backend.disconnects.get())
        backend.script = respond_ok
        await wait_until(lambda: not proxy.listener.connections.open and not proxy.dispatcher.active_requests)
        assert backend.received.empty()
        assert proxy.listener.buffered_bytes == 0


@in_event_loop
async def test_half_close_with_unread_responses_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 16384\r\n\r\n" + b"x" * 16384
    # The timeout of the dial must not end the attempt.
    async with proxy_with_backends(lambda _: response, dial_timeout=3 * MAX_WAIT) as (proxy, [backend]):
        client = await connect_slow_reader(proxy)
        sock, connection = client.sock, client.connection
        number = 0
        active = proxy.dispatcher.active_requests
        while unwritten_bytes(connection) < 24 << 10:  # more than the buffers of the socket accept
            sock.send(get_request(number := number + 1))
            await wait_until(lambda sent=number: backend.received.qsize() == sent and not active)  # type: ignore[misc]
        assert not has_paused_writing(connection)
        close_idle_connections(proxy.pool)
        gate = ConnectGate(monkeypatch)
        sock.send(post_request(9000))
        await wait_until(lambda: gate.blocked == 1)
        sock.shutdown(socket.SHUT_WR)
        await wait_until(lambda: has_no_requests(proxy))
        gate.release()
        await wait_until(lambda: dials_in_progress(proxy.pool) == 0)
        assert backend.received.qsize() == number
        sock.close()
