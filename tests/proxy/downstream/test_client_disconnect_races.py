"""A disconnect in the same turn of the event loop as another event: no attempt is sent afterwards.

The client's close then waits unread in the socket, so the proxy has to poll the socket before it sends.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from tests.support.client_scenarios import (
    CANCELLATION,
    DISCONNECTIONS,
    TIERS,
    RawClient,
    disconnect_settings,
    has_no_requests,
    requests_received,
)
from tests.support.loopback import (
    Client,
    ManualClock,
    RunningProxy,
    StubBackend,
    in_event_loop,
    proxy_with_backends,
    respond_ok,
    running_proxy,
    stub_backend,
)
from tests.support.proxy_inputs import (
    HOST,
    MAYBE_PROCESSED_RESPONSE,
    NOT_PROCESSED_RESPONSE,
    OK_RESPONSE,
    endpoint_entry,
    get_request,
    post_request,
    status_of,
)
from tests.support.proxy_internals import all_idle_connections

if TYPE_CHECKING:
    from tests.support.proxy_inputs import RawEntries

REUSABLE_AFTER = 0.02  # seconds after a response until its connection can be reused without a delay
LONG_LIST_LENGTH = 910  # entries


def long_endpoint_list(*addresses: str) -> RawEntries:
    """Return a list long enough to keep the event loop busy; only the given addresses are in service."""
    filler_numbers = range(LONG_LIST_LENGTH - len(addresses))
    draining = [endpoint_entry(f"r{number}", f"{HOST}:9", "terminating") for number in filler_numbers]
    return draining + [endpoint_entry(f"n{number}", address) for number, address in enumerate(addresses)]


async def wait_for_connections(clock: ManualClock, proxy: RunningProxy, count: int) -> None:
    """Wait until the proxy has this many open connections."""
    await clock.wait_until(lambda: len(proxy.listener.connections.open) == count)


async def fill_idle_connections(
    clock: ManualClock, proxy: RunningProxy, client: Client, backends: list[StubBackend]
) -> None:
    """Send requests until the proxy can reuse an idle connection to each backend without a delay."""
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
    """Check that no backend receives anything more, and that the proxy removes the request."""
    await clock.wait_until(lambda: has_no_requests(proxy))
    for _ in range(20):
        await clock.advance(0.1)
    assert all(each.received.empty() for each in backends)


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancellation", CANCELLATION)
@pytest.mark.parametrize("kind", DISCONNECTIONS)
@pytest.mark.parametrize(
    "sent_after", [b"", b"\r\n", get_request(2), get_request(2)[:20], post_request(2)[:-2], b"x" * 60_000]
)
@in_event_loop
async def test_disconnect_during_a_long_endpoint_update_starts_no_attempt(
    tier: str, cancellation: str, kind: str, sent_after: bytes
) -> None:
    async with stub_backend(respond_ok) as backend:
        clock = ManualClock()
        entries = long_endpoint_list(backend.address)
        async with running_proxy(entries, settings=disconnect_settings(tier, cancellation)) as proxy:
            client = await proxy.connect()
            raw_client = RawClient(proxy)
            await wait_for_connections(clock, proxy, 2)
            await fill_idle_connections(clock, proxy, client, [backend])
            raw_client.sock.sendall(post_request(1) + sent_after)
            raw_client.disconnect(kind)
            proxy.notify(entries)  # keeps the loop busy before it reads from the client
            await clock.settle()
            await assert_nothing_is_sent(clock, proxy, [backend])


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancellation", CANCELLATION)
@pytest.mark.parametrize("kind", DISCONNECTIONS)
@pytest.mark.parametrize("failure", [NOT_PROCESSED_RESPONSE, MAYBE_PROCESSED_RESPONSE])
@in_event_loop
async def test_disconnect_in_the_turn_of_a_failed_attempt_starts_no_retry(
    tier: str, cancellation: str, kind: str, failure: bytes
) -> None:
    def script(request: bytes) -> bytes | None:
        return None if b"id1\r" in request else OK_RESPONSE

    async with stub_backend(script) as backend_a, stub_backend(script) as backend_b:
        clock = ManualClock()
        entries = long_endpoint_list(backend_a.address, backend_b.address)
        async with running_proxy(entries, settings=disconnect_settings(tier, cancellation)) as proxy:
            client = await proxy.connect()
            raw_client = RawClient(proxy)
            await wait_for_connections(clock, proxy, 2)
            await fill_idle_connections(clock, proxy, client, [backend_a, backend_b])
            raw_client.sock.sendall(get_request(1))
            await clock.wait_until(lambda: requests_received(backend_a, backend_b) == 1)
            receiving_backend = backend_a if backend_a.received.qsize() else backend_b
            receiving_backend.received.get_nowait()
            for writer in receiving_backend.writers:
                writer.write(failure)
            raw_client.disconnect(kind)  # after the response
            proxy.notify(entries)
            await clock.settle()
            await assert_nothing_is_sent(clock, proxy, [backend_a, backend_b])


@pytest.mark.parametrize("cancellation", CANCELLATION)
@pytest.mark.parametrize("kind", DISCONNECTIONS)
@in_event_loop
async def test_disconnect_when_a_hedged_request_is_due_sends_none(cancellation: str, kind: str) -> None:
    def script(request: bytes) -> bytes | None:
        return None if b"id1\r" in request else OK_RESPONSE

    clock = ManualClock()
    async with proxy_with_backends(
        script, script, settings=disconnect_settings("later", cancellation, SecondCopies=True)
    ) as (proxy, [backend_a, backend_b]):
        client = await proxy.connect()
        raw_client = RawClient(proxy)
        await wait_for_connections(clock, proxy, 2)
        for sent in (1, 2):  # records latencies, which determine when a hedged request is sent
            client.writer.write(get_request(700 + sent))
            await clock.wait_until(lambda sent=sent: requests_received(backend_a, backend_b) == sent)  # type: ignore[misc]
            await clock.advance(0.05)
            assert status_of(await client.response()) == 200
        await fill_idle_connections(clock, proxy, client, [backend_a, backend_b])
        raw_client.sock.sendall(get_request(1))
        await clock.wait_until(lambda: requests_received(backend_a, backend_b) == 1)
        assert proxy.balancer.hedging.pending
        (backend_a if backend_a.received.qsize() else backend_b).received.get_nowait()
        raw_client.disconnect(kind)
        clock.now += 10.0  # the hedged request is due in the turn in which the loop reads the disconnect
        await clock.settle()
        await clock.advance(0.1)
        assert backend_a.received.empty()
        assert backend_b.received.empty()


@pytest.mark.parametrize("kind", DISCONNECTIONS)
@in_event_loop
async def test_disconnect_in_the_turn_of_a_response_starts_no_attempt_for_the_next_request(kind: str) -> None:
    def script(request: bytes) -> bytes | None:
        return None if b"id1\r" in request else OK_RESPONSE

    async with stub_backend(script) as backend_a, stub_backend(script) as backend_b:
        clock = ManualClock()
        entries = long_endpoint_list(backend_a.address, backend_b.address)
        async with running_proxy(entries) as proxy:
            client = await proxy.connect()
            raw_client = RawClient(proxy)
            await wait_for_connections(clock, proxy, 2)
            await fill_idle_connections(clock, proxy, client, [backend_a, backend_b])
            raw_client.sock.sendall(get_request(1) + get_request(2))
            await clock.wait_until(lambda: requests_received(backend_a, backend_b) == 1)
            receiving_backend = backend_a if backend_a.received.qsize() else backend_b
            receiving_backend.received.get_nowait()
            for writer in receiving_backend.writers:
                writer.write(OK_RESPONSE)
            raw_client.disconnect(kind)
            proxy.notify(entries)
            await clock.settle()
            await assert_nothing_is_sent(clock, proxy, [backend_a, backend_b])


@pytest.mark.parametrize("tier", TIERS)
@pytest.mark.parametrize("cancellation", CANCELLATION)
@pytest.mark.parametrize("kind", DISCONNECTIONS)
@in_event_loop
async def test_disconnect_in_the_turn_of_a_completed_dial_sends_nothing(
    tier: str, cancellation: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock()
    async with proxy_with_backends(respond_ok, settings=disconnect_settings(tier, cancellation)) as (
        proxy,
        [backend],
    ):
        raw_client = RawClient(proxy)
        await wait_for_connections(clock, proxy, 1)
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        dials = 0

        async def dial(*args: Any, **options: Any) -> Any:
            nonlocal dials
            transport_and_protocol = await create_connection(*args, **options)
            dials += 1
            if dials == 1:
                raw_client.disconnect(kind)  # in the turn in which the request would be written
            return transport_and_protocol

        monkeypatch.setattr(loop, "create_connection", dial)
        raw_client.sock.sendall(post_request(1))
        await clock.wait_until(lambda: dials == 1)
        await assert_nothing_is_sent(clock, proxy, [backend])
        assert dials == 1
