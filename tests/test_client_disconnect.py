"""Clients that disconnect while their request waits, on loopback sockets: nothing more is sent for it."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest
from client_scenarios import (
    DISCONNECTIONS,
    RawClient,
    connect_slow_reader,
    disconnect,
    has_no_requests,
    requests_received,
)
from loopback import (
    CLOSE_CONNECTION,
    Client,
    ConnectGate,
    ManualClock,
    RunningProxy,
    StubBackend,
    in_event_loop,
    proxy_with_backends,
    respond_ok,
    running_proxy,
    stay_silent,
    stub_backend,
    wait_until,
    with_timeout,
)
from proxy_inputs import (
    HOST,
    MAX_WAIT,
    MAYBE_PROCESSED_RESPONSE,
    NOT_PROCESSED_RESPONSE,
    OK_RESPONSE,
    RAW_SETTINGS,
    endpoint_entry,
    get_request,
    post_request,
    status_of,
)
from proxy_internals import (
    all_idle_connections,
    close_idle_connections,
    dials_in_progress,
    discards_input,
    established_connections,
    has_paused_writing,
    has_pipelined_input,
    unwritten_bytes,
)

from balancer.settings import Settings
from balancer.settings_reader import read_settings

#: The settings of the first and of a later tier, by test id.
TIERS = {"first": {"Tier": 0, "Tiers": ["a", "b"]}, "later": {"Tier": 1, "Tiers": ["a", "b"]}}

#: Whether the settings let attempts be cancelled, by test id.
CANCELLATION = {"cancels": True, "no cancels": False}

REUSABLE_AFTER = 0.02  # seconds after a response in which its connection can be reused without a wait

LONG_LIST_LENGTH = 910  # entries


def settings(tier: str, cancellation: str = "cancels", **bounds: Any) -> Settings:
    """The usual settings, for a tier."""
    limits = RAW_SETTINGS["Bounds"] | {"Cancel": CANCELLATION[cancellation]} | bounds
    return read_settings(RAW_SETTINGS | TIERS[tier] | {"Bounds": limits})


def long_endpoint_list(*addresses: str) -> list[dict[str, Any]]:
    """An endpoint list that keeps the proxy's loop busy for a while; these addresses alone are in service."""
    rest = range(LONG_LIST_LENGTH - len(addresses))
    draining = [endpoint_entry(f"r{number}", f"{HOST}:9", "terminating") for number in rest]
    return draining + [endpoint_entry(f"n{number}", address) for number, address in enumerate(addresses)]


async def wait_for_connections(clock: ManualClock, proxy: RunningProxy, count: int) -> None:
    """Wait until the proxy has accepted so many connections."""
    await clock.wait_until(lambda: len(proxy.listener.connections.open) == count)


async def fill_idle_connections(
    clock: ManualClock, proxy: RunningProxy, client: Client, backends: list[StubBackend]
) -> None:
    """Send requests until the proxy can reuse an idle connection to each backend without a wait."""
    number = 500
    ports = {int(each.address.rpartition(":")[2]) for each in backends}
    while not ports <= {connection.backend.address[1] for connection in all_idle_connections(proxy.pool)}:
        number += 1
        client.writer.write(get_request(number))
        await clock.wait_for(client.response())
        await clock.advance(REUSABLE_AFTER)
    for each in backends:
        while not each.received.empty():
            each.received.get_nowait()


async def assert_nothing_is_sent(
    clock: ManualClock, proxy: RunningProxy, backends: list[StubBackend]
) -> None:
    """Check that no backend gets anything more, and that the proxy forgets the request."""
    await clock.wait_until(lambda: has_no_requests(proxy))
    for _ in range(20):
        await clock.advance(0.1)
    assert all(each.received.empty() for each in backends)


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
    "sent_behind", [b"", b"\r\n", get_request(2), get_request(2)[:20], b"noise\r\n\r\n" + b"x" * 4000]
)
@in_event_loop
async def test_disconnect_during_a_dial_sends_nothing(
    tier: str, cancellation: str, kind: str, sent_behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with proxy_with_backends(respond_ok, settings=settings(tier, cancellation)) as (
        proxy,
        [backend],
    ):
        client, other = await proxy.connect(), await proxy.connect()
        gate = ConnectGate(monkeypatch)
        client.writer.write(post_request(body=b"x" * 5000))
        await wait_until(lambda: gate.held == 1)
        if sent_behind:  # what comes behind the request must not hide the disconnect
            client.writer.write(sent_behind)
            connections = proxy.listener.connections.open
            await wait_until(
                lambda: any(has_pipelined_input(each) for each in connections) or sent_behind == b"\r\n"
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
        lambda _: CLOSE_CONNECTION, lambda _: CLOSE_CONNECTION, settings=settings(tier)
    ) as (
        proxy,
        [backend_a, backend_b],
    ):
        client = await proxy.connect()
        gate = ConnectGate(monkeypatch, unheld=1)  # the first attempt fails, the second one is held
        client.writer.write(get_request())
        await wait_until(lambda: gate.held == 1)
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
    async with proxy_with_backends(script, script, settings=settings("later", SecondCopies=True)) as (
        proxy,
        [backend_a, backend_b],
    ):
        client = await proxy.connect()
        for number in (0, 1):  # a latency, by which a hedged request is due
            client.writer.write(get_request(number))
            sent = number + 1
            await clock.wait_until(lambda sent=sent: requests_received(backend_a, backend_b) == sent)  # type: ignore[misc]
            await clock.advance(0.05)
            assert status_of(await client.response()) == 200
        client.writer.write(get_request(2))
        await clock.wait_until(lambda: requests_received(backend_a, backend_b) == 3)
        assert proxy.balancer.hedging.hedges
        disconnect(client, kind)
        await clock.wait_until(lambda: not proxy.dispatcher.active_requests)
        for _ in range(100):
            await clock.advance(0.1)
        assert not proxy.balancer.hedging.hedges
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
async def test_disconnect_behind_a_flood_of_pipelined_requests_is_noticed(kind: str) -> None:
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


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancellation", CANCELLATION)
@pytest.mark.parametrize("kind", DISCONNECTIONS)
@pytest.mark.parametrize(
    "sent_behind", [b"", b"\r\n", get_request(2), get_request(2)[:20], post_request(2)[:-2], b"x" * 60_000]
)
@in_event_loop
async def test_disconnect_during_a_long_endpoint_update_starts_no_attempt(
    tier: str, cancellation: str, kind: str, sent_behind: bytes
) -> None:
    async with stub_backend(respond_ok) as backend:
        clock = ManualClock()
        listed = long_endpoint_list(backend.address)
        async with running_proxy(listed, settings=settings(tier, cancellation)) as proxy:
            client = await proxy.connect()
            raw = RawClient(proxy)
            await wait_for_connections(clock, proxy, 2)
            await fill_idle_connections(clock, proxy, client, [backend])
            raw.sock.sendall(post_request(1) + sent_behind)
            raw.disconnect(kind)
            proxy.notify(listed)  # the loop is busy with it, and has not read from the client yet
            await clock.settle()
            await assert_nothing_is_sent(clock, proxy, [backend])


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancellation", CANCELLATION)
@pytest.mark.parametrize("kind", DISCONNECTIONS)
@pytest.mark.parametrize("failure", [NOT_PROCESSED_RESPONSE, MAYBE_PROCESSED_RESPONSE])
@in_event_loop
async def test_disconnect_as_an_attempt_fails_starts_no_retry(
    tier: str, cancellation: str, kind: str, failure: bytes
) -> None:
    def script(request: bytes) -> bytes | None:
        return None if b"id1\r" in request else OK_RESPONSE

    async with stub_backend(script) as backend_a, stub_backend(script) as backend_b:
        clock = ManualClock()
        listed = long_endpoint_list(backend_a.address, backend_b.address)
        async with running_proxy(listed, settings=settings(tier, cancellation)) as proxy:
            client = await proxy.connect()
            raw = RawClient(proxy)
            await wait_for_connections(clock, proxy, 2)
            await fill_idle_connections(clock, proxy, client, [backend_a, backend_b])
            raw.sock.sendall(get_request(1))
            await clock.wait_until(lambda: requests_received(backend_a, backend_b) == 1)
            attempted_backend = backend_a if backend_a.received.qsize() else backend_b
            attempted_backend.received.get_nowait()
            for writer in attempted_backend.writers:
                writer.write(failure)
            raw.disconnect(kind)  # after the response
            proxy.notify(listed)
            await clock.settle()
            await assert_nothing_is_sent(clock, proxy, [backend_a, backend_b])


@pytest.mark.parametrize("cancellation", CANCELLATION)
@pytest.mark.parametrize("kind", DISCONNECTIONS)
@in_event_loop
async def test_disconnect_as_a_hedged_request_falls_due_sends_none(cancellation: str, kind: str) -> None:
    def script(request: bytes) -> bytes | None:
        return None if b"id1\r" in request else OK_RESPONSE

    clock = ManualClock()
    async with proxy_with_backends(
        script, script, settings=settings("later", cancellation, SecondCopies=True)
    ) as (proxy, [backend_a, backend_b]):
        client = await proxy.connect()
        raw = RawClient(proxy)
        await wait_for_connections(clock, proxy, 2)
        for sent in (1, 2):  # a latency, by which a hedged request is due
            client.writer.write(get_request(700 + sent))
            await clock.wait_until(lambda sent=sent: requests_received(backend_a, backend_b) == sent)  # type: ignore[misc]
            await clock.advance(0.05)
            assert status_of(await client.response()) == 200
        await fill_idle_connections(clock, proxy, client, [backend_a, backend_b])
        raw.sock.sendall(get_request(1))
        await clock.wait_until(lambda: requests_received(backend_a, backend_b) == 1)
        assert proxy.balancer.hedging.hedges
        (backend_a if backend_a.received.qsize() else backend_b).received.get_nowait()
        raw.disconnect(kind)
        clock.now += 10.0  # the hedged request is due in the loop's turn in which the disconnect is read
        await clock.settle()
        await clock.advance(0.1)
        assert backend_a.received.empty()
        assert backend_b.received.empty()


@pytest.mark.parametrize("kind", DISCONNECTIONS)
@in_event_loop
async def test_disconnect_as_a_response_arrives_starts_no_attempt_for_the_next_request(kind: str) -> None:
    def script(request: bytes) -> bytes | None:
        return None if b"id1\r" in request else OK_RESPONSE

    async with stub_backend(script) as backend_a, stub_backend(script) as backend_b:
        clock = ManualClock()
        listed = long_endpoint_list(backend_a.address, backend_b.address)
        async with running_proxy(listed) as proxy:
            client = await proxy.connect()
            raw = RawClient(proxy)
            await wait_for_connections(clock, proxy, 2)
            await fill_idle_connections(clock, proxy, client, [backend_a, backend_b])
            raw.sock.sendall(get_request(1) + get_request(2))
            await clock.wait_until(lambda: requests_received(backend_a, backend_b) == 1)
            attempted_backend = backend_a if backend_a.received.qsize() else backend_b
            attempted_backend.received.get_nowait()
            for writer in attempted_backend.writers:
                writer.write(OK_RESPONSE)
            raw.disconnect(kind)
            proxy.notify(listed)
            await clock.settle()
            await assert_nothing_is_sent(clock, proxy, [backend_a, backend_b])


@in_event_loop
async def test_half_close_with_unread_responses_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 16384\r\n\r\n" + b"x" * 16384
    # The dial's own timeout must not end the attempt.
    async with proxy_with_backends(lambda _: response, dial_timeout=3 * MAX_WAIT) as (proxy, [backend]):
        sock, connection = await connect_slow_reader(proxy)
        number = 0
        active = proxy.dispatcher.active_requests
        while unwritten_bytes(connection) < 24 << 10:  # more than the socket's buffers take
            sock.send(get_request(number := number + 1))
            await wait_until(lambda sent=number: backend.received.qsize() == sent and not active)  # type: ignore[misc]
        assert not has_paused_writing(connection)
        close_idle_connections(proxy.pool)
        gate = ConnectGate(monkeypatch)
        sock.send(post_request(9000))
        await wait_until(lambda: gate.held == 1)
        sock.shutdown(socket.SHUT_WR)
        await wait_until(lambda: has_no_requests(proxy))
        gate.release()
        await wait_until(lambda: dials_in_progress(proxy.pool) == 0)
        assert backend.received.qsize() == number
        sock.close()


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancellation", CANCELLATION)
@pytest.mark.parametrize("kind", DISCONNECTIONS)
@in_event_loop
async def test_disconnect_as_a_dial_completes_sends_nothing(
    tier: str, cancellation: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock()
    async with proxy_with_backends(respond_ok, settings=settings(tier, cancellation)) as (
        proxy,
        [backend],
    ):
        raw = RawClient(proxy)
        await wait_for_connections(clock, proxy, 1)
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        dials = 0

        async def dial(*args: Any, **options: Any) -> Any:
            nonlocal dials
            dialled = await create_connection(*args, **options)
            dials += 1
            if dials == 1:
                raw.disconnect(kind)  # in the turn in which the request would be written
            return dialled

        monkeypatch.setattr(loop, "create_connection", dial)
        raw.sock.sendall(post_request(1))
        await clock.wait_until(lambda: dials == 1)
        await assert_nothing_is_sent(clock, proxy, [backend])
        assert dials == 1
