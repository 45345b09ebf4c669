"""Which idle connections are reused, depending on earlier reuses and on whether attempts are retryable.

A backend may close an idle connection just before its reuse; a non-retryable request is then lost.
"""

from __future__ import annotations

import pytest

from balancer.events import Outcome
from proxy.upstream import keepalive_policy
from tests.support.loopback import CLOSE_CONNECTION, in_event_loop, respond_ok, stub_backend, wait_until
from tests.support.pool_scenario import PoolScenario
from tests.support.proxy_inputs import MAX_WAIT, OK_RESPONSE, post_request
from tests.support.proxy_internals import pause_reading


@pytest.mark.parametrize(("idle_time", "dials"), [(0.0, 1), (MAX_WAIT, 4)])
@in_event_loop
async def test_non_retryable_attempt_reuses_only_recently_used_connections(
    idle_time: float, dials: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(keepalive_policy, "MAX_UNPROVEN_IDLE_TIME", MAX_WAIT)
    async with stub_backend(respond_ok) as backend:
        scenario = PoolScenario(backend)
        for number in range(4):
            for connection in scenario.idle_connections():
                connection.idle_since -= idle_time
            assert await scenario.run(post_request(number), retryable=False) is Outcome.SUCCESS
        assert len(backend.writers) == dials
        # At most two connections stay idle.
        await wait_until(lambda: backend.disconnects.qsize() == max(0, dials - 2))


@in_event_loop
async def test_non_retryable_attempt_avoids_idle_times_after_which_a_reuse_failed() -> None:
    async with stub_backend(respond_ok) as backend:
        scenario = PoolScenario(backend)
        # A single failure does not stop reuse by retryable attempts.
        scenario.pool.keepalive_policy.record_reuse(0.15)
        scenario.pool.keepalive_policy.record_failure(0.15)
        assert await scenario.run() is Outcome.SUCCESS
        for retryable, dials in ((True, 1), (False, 2)):
            [connection] = scenario.idle_connections()
            connection.idle_since -= 0.2
            assert await scenario.run(retryable=retryable) is Outcome.SUCCESS
            assert len(backend.writers) == dials


@pytest.mark.parametrize(
    ("reuses", "failures", "dials"), [(0, 0, 2), (4, 0, 2), (5, 0, 1), (20, 1, 1), (20, 4, 2)]
)
@in_event_loop
async def test_non_retryable_attempt_reuses_connections_after_idle_times_with_successful_reuses(
    reuses: int, failures: int, dials: int
) -> None:
    async with stub_backend(respond_ok) as backend:
        scenario = PoolScenario(backend)
        for number in range(reuses):  # success after 5 s is also evidence for the 2 s below
            scenario.pool.keepalive_policy.record_reuse(5.0)
            if number < failures:
                scenario.pool.keepalive_policy.record_failure(5.0)
        assert await scenario.run() is Outcome.SUCCESS
        [connection] = scenario.idle_connections()
        connection.idle_since -= 2.0
        assert await scenario.run(retryable=False) is Outcome.SUCCESS
        assert len(backend.writers) == dials


@in_event_loop
async def test_one_broken_idle_connection_does_not_stop_reuse() -> None:
    responses = [OK_RESPONSE, OK_RESPONSE, CLOSE_CONNECTION, OK_RESPONSE, OK_RESPONSE]
    async with stub_backend(lambda _: responses.pop(0)) as backend:
        scenario = PoolScenario(backend)
        for expected in (
            Outcome.SUCCESS,
            Outcome.SUCCESS,
            Outcome.CONNECTION_LOST,
            Outcome.SUCCESS,
            Outcome.SUCCESS,
        ):
            assert await scenario.run() is expected
        assert len(backend.writers) == 2
        assert len(scenario.idle_connections()) == 1


@in_event_loop
async def test_connections_that_break_after_an_idle_time_are_reused_only_after_shorter_ones() -> None:
    breaks_connections = False
    async with stub_backend(lambda _: CLOSE_CONNECTION if breaks_connections else OK_RESPONSE) as backend:
        scenario = PoolScenario(backend)

        async def run_after(idle_time: float) -> Outcome:
            for connection in scenario.idle_connections():
                connection.idle_since -= idle_time
            return await scenario.run()

        assert await run_after(0.0) is Outcome.SUCCESS
        broken_connections = 0
        for _ in range(9):  # connections that were idle for 5 s are broken
            connection_count = len(backend.writers)
            breaks_connections = True
            await run_after(5.0)
            breaks_connections = False
            if len(backend.writers) > connection_count:
                break
            broken_connections += 1
            assert await run_after(0.0) is Outcome.SUCCESS
        assert 2 <= broken_connections < 9
        assert await run_after(0.0) is Outcome.SUCCESS
        connection_count = len(backend.writers)
        for _ in range(5):
            assert await run_after(1.0) is Outcome.SUCCESS
        assert len(backend.writers) == connection_count  # reuse after a shorter idle time continues
        assert await run_after(5.0) is Outcome.SUCCESS
        assert len(backend.writers) == connection_count + 1


@in_event_loop
async def test_idle_connection_with_unread_bytes_is_not_reused() -> None:
    async with stub_backend(respond_ok) as backend:
        scenario = PoolScenario(backend)
        assert await scenario.run() is Outcome.SUCCESS
        [idle] = scenario.idle_connections()
        pause_reading(idle)
        backend.writers[0].write(OK_RESPONSE)
        await wait_until(lambda: not idle.is_usable())
        assert await scenario.run() is Outcome.SUCCESS
        assert len(backend.writers) == 2
