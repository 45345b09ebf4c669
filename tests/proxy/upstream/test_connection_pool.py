"""The connection pool: its limits, its idle connections, and the outcomes of its attempts."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from balancer.events import Outcome
from balancer.settings_reader import read_settings
from proxy.upstream import keepalive_policy
from proxy.upstream.idle_connections import MAX_FLEET_IDLE_PER_BACKEND
from tests.support.loopback import (
    ManualClock,
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
from tests.support.pool_scenario import PoolScenario
from tests.support.proxy_inputs import (
    HOST,
    MAX_WAIT,
    OK_RESPONSE,
    RAW_SETTINGS,
    endpoint_entry,
    post_request,
    status_of,
)
from tests.support.proxy_internals import (
    all_idle_connections,
    close_long_idle_connections,
    established_connections,
    idle_quota,
    remove_idle_connection,
    send_attempt,
)

if TYPE_CHECKING:
    from collections.abc import Mapping


@pytest.mark.parametrize(
    "change",
    [
        {"since_ms": 5_000},
        {"status": "terminated"},
        {"address": f"{HOST}:9"},
    ],
)
@in_event_loop
async def test_idle_connections_to_a_replaced_process_are_closed(change: Mapping[str, object]) -> None:
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await proxy.connect()
        assert status_of(await client.request(post_request())) == 200
        assert backend.disconnects.empty()
        proxy.notify([endpoint_entry("a", backend.address) | dict(change)])
        await with_timeout(backend.disconnects.get())


@in_event_loop
async def test_cancelled_attempt_closes_its_connection_and_finishes_once() -> None:
    async with stub_backend(stay_silent) as backend:
        scenario = PoolScenario(backend)
        attempt = scenario.start()
        await with_timeout(backend.received.get())
        attempt.finish(Outcome.CANCELLED)
        attempt.finish(Outcome.CANCELLED)
        await with_timeout(backend.disconnects.get())
        await wait_until(lambda: established_connections(scenario.pool) == 0)
        assert [scenario.outcomes.get_nowait(), scenario.outcomes.empty()] == [Outcome.CANCELLED, True]


@in_event_loop
async def test_incompletely_sent_request_counts_as_not_processed() -> None:
    async def abort(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1)
        writer.transport.abort()

    server = await asyncio.start_server(abort, HOST, 0, limit=1)
    backend = StubBackend(stay_silent)
    backend.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    scenario = PoolScenario(backend)
    scenario.start(b"x" * (64 << 20))  # more than the socket buffers can hold
    assert await scenario.next_outcome() is Outcome.UNREACHABLE
    server.close()


@in_event_loop
async def test_attempt_at_the_connection_limit_closes_an_idle_connection_or_fails() -> None:
    async with stub_backend(lambda request: OK_RESPONSE if b"id1" in request else None) as backend:
        scenario = PoolScenario(backend, max_connections=1)
        assert await scenario.run(post_request(1)) is Outcome.SUCCESS
        scenario.use_another_backend()
        scenario.start(post_request(2))  # closes the idle connection to the first backend
        await with_timeout(backend.disconnects.get())
        assert await scenario.run(post_request(3)) is Outcome.UNREACHABLE


@in_event_loop
async def test_most_recently_used_connection_is_reused_and_expired_ones_are_closed() -> None:
    async with stub_backend(respond_ok) as backend:
        scenario = PoolScenario(backend)
        await scenario.run_concurrently(2)
        [older, newer] = scenario.idle_connections()
        for connection in (older, newer):
            connection.idle_since -= keepalive_policy.MIN_REUSE_DELAY
        scenario.start()
        assert scenario.idle_connections() == [older]
        assert await scenario.next_outcome() is Outcome.SUCCESS
        assert scenario.idle_connections() == [older, newer]
        assert backend.disconnects.empty()
        older.idle_since -= 31.0
        close_long_idle_connections(scenario.pool)
        await with_timeout(backend.disconnects.get())
        assert scenario.idle_connections() == [newer]


@pytest.mark.parametrize(("proxies", "concurrent", "idle_connections"), [(1, 1, 10), (40, 1, 2), (40, 5, 5)])
@in_event_loop
async def test_idle_connections_of_a_fleet_do_not_fill_the_connection_table_of_a_backend(
    proxies: int, concurrent: int, idle_connections: int
) -> None:
    async with stub_backend(stay_silent) as backend:
        scenario = PoolScenario(backend, max_connections=20)
        scenario.pool.set_idle_quota(10, proxies)
        for number in range(0, 10, concurrent):
            for _ in range(number, number + concurrent):  # each to a different backend
                scenario.use_another_backend()
                scenario.start()
            for _ in range(concurrent):
                await with_timeout(backend.received.get())
            for writer in backend.writers[number:]:  # all of these connections are in use
                writer.write(OK_RESPONSE)
            for _ in range(concurrent):
                assert await scenario.next_outcome() is Outcome.SUCCESS
            assert scenario.idle_connections()  # the most recent connections stay open
        assert len(all_idle_connections(scenario.pool)) == idle_connections


@in_event_loop
async def test_idle_quota_follows_the_endpoint_list_and_the_fleet_size() -> None:
    settings = replace(read_settings(RAW_SETTINGS), fleet_size=4)
    async with running_proxy(
        [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2")], settings=settings
    ) as proxy:
        assert idle_quota(proxy.pool) == MAX_FLEET_IDLE_PER_BACKEND * 2 / 4
        proxy.notify([endpoint_entry("b", f"{HOST}:2", "terminated")])
        assert idle_quota(proxy.pool) == MAX_FLEET_IDLE_PER_BACKEND / 4


@in_event_loop
async def test_finished_attempt_writes_nothing() -> None:
    async with stub_backend(respond_ok) as backend:
        scenario = PoolScenario(backend)
        assert await scenario.run(post_request(1)) is Outcome.SUCCESS
        [idle] = scenario.idle_connections()
        finished = scenario.start(post_request(2))
        assert await scenario.next_outcome() is Outcome.SUCCESS
        remove_idle_connection(scenario.pool, idle)
        send_attempt(scenario.pool, finished, idle)
        assert await scenario.run(post_request(3)) is Outcome.SUCCESS
        assert [b"id%d" % number in backend.received.get_nowait() for number in (1, 2, 3)] == [True] * 3


@in_event_loop
async def test_recently_used_connection_replaces_the_oldest_idle_one_at_the_limit() -> None:
    async with stub_backend(respond_ok) as backend:
        scenario = PoolScenario(backend)
        await scenario.run_concurrently(2)
        for connection in scenario.idle_connections():
            connection.idle_since -= MAX_WAIT
        for _ in range(3):  # the first attempt dials, the others reuse its connection
            assert await scenario.run(retryable=False) is Outcome.SUCCESS
        assert len(backend.writers) == 3
        await wait_until(lambda: backend.disconnects.qsize() == 1)  # at most two connections stay idle


@in_event_loop
async def test_connection_is_not_lost_if_its_attempt_ends_in_the_loop_iteration_that_started_it() -> None:
    async with stub_backend(respond_ok) as backend:
        clock = ManualClock()
        scenario = PoolScenario(backend)
        assert await clock.wait_for(scenario.run()) is Outcome.SUCCESS
        attempt = scenario.start()
        assert attempt.connect_task is not None, "the connection has no reuse delay"
        attempt.finish(Outcome.CANCELLED)
        await clock.settle()
        assert established_connections(scenario.pool) == 1
        assert len(all_idle_connections(scenario.pool)) == 1
