"""Run-time checks: each reports a violation if the code that prevents the violation is disabled."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.attempts import RequestState
from balancer.balancer import Balancer
from proxy.active_request import ActiveRequest
from proxy.downstream.connection_state import CloseReason
from proxy.invariants import Invariant
from tests.support.loopback import (
    ConnectGate,
    ManualClock,
    in_event_loop,
    proxy_with_backends,
    respond_ok,
    stay_silent,
    wait_until,
    with_timeout,
)
from tests.support.proxy_inputs import (
    MAYBE_PROCESSED_RESPONSE,
    OK_RESPONSE,
    endpoint_entry,
    get_request,
    post_request,
    status_of,
)

if TYPE_CHECKING:
    import pytest


def allow_everything(*_args: object, **_flags: object) -> None:
    """Reject no attempt: replaces `Balancer.send_rejection`."""


@in_event_loop
async def test_nothing_is_reported_for_requests_without_violations() -> None:
    async with proxy_with_backends(respond_ok) as (proxy, _):
        client = await proxy.connect()
        for request in (get_request(1), post_request(2)):
            assert status_of(await client.request(request)) == 200
        assert proxy.proxy.monitor.summary() == ""


@in_event_loop
async def test_second_run_of_a_non_idempotent_request_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "send_rejection", allow_everything)
    monkeypatch.setattr(RequestState, "retry_endpoints", lambda self, _now: self.pool.ready)
    responses = [OK_RESPONSE, MAYBE_PROCESSED_RESPONSE]
    async with proxy_with_backends(lambda _: responses.pop(), stay_silent) as (proxy, backends):
        backends[1].script = backends[0].script
        client = await proxy.connect()
        assert status_of(await client.request(post_request())) == 200
        assert proxy.proxy.monitor.violations == {Invariant.REPEATED_UNSAFELY: 1}


@in_event_loop
async def test_rejection_of_a_request_that_may_have_run_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RequestState, "is_safe_to_retry", lambda _self: True)
    async with proxy_with_backends(lambda _: MAYBE_PROCESSED_RESPONSE) as (proxy, _):
        client = await proxy.connect()
        assert status_of(await client.request(post_request())) == 503
        assert proxy.proxy.monitor.violations == {Invariant.REJECTED_UNSAFELY: 1}


@in_event_loop
async def test_timeout_after_the_clients_deadline_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    serialize = ActiveRequest.serialize

    def serialize_late(active_request: ActiveRequest, timeout: float) -> bytes:
        active_request.client_deadline -= 1.0  # as if the clock had been read too early
        return serialize(active_request, timeout)

    monkeypatch.setattr(ActiveRequest, "serialize", serialize_late)
    async with proxy_with_backends(respond_ok) as (proxy, _):
        client = await proxy.connect()
        await client.request(get_request())
        assert proxy.proxy.monitor.violations == {Invariant.TIMEOUT_TOO_LONG: 1}


@in_event_loop
async def test_attempt_at_a_draining_backend_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = ManualClock()
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await clock.wait_for(proxy.connect())
        gate = ConnectGate(monkeypatch)
        client.writer.write(get_request())
        await clock.wait_until(lambda: gate.blocked == 1)
        [active_request] = proxy.dispatcher.active_requests.values()
        proxy.notify([endpoint_entry("a", backend.address, "terminating")])
        proxy.proxy.monitor.on_written(clock.now, active_request, active_request.attempts[0], 0.0)
        assert proxy.proxy.monitor.violations == {Invariant.SENT_OUT_OF_SERVICE: 1}
        gate.release()
        await clock.wait_for(client.response())


@in_event_loop
async def test_close_without_a_response_to_a_received_request_is_reported() -> None:
    async with proxy_with_backends(stay_silent) as (proxy, [backend]):
        client = await proxy.connect()
        client.writer.write(get_request(1) + get_request(2))
        await with_timeout(backend.received.get())
        [connection] = proxy.listener.connections.open
        connection.abort(CloseReason.EVICTED)
        await wait_until(lambda: not proxy.dispatcher.active_requests)
        assert proxy.proxy.monitor.violations == {Invariant.DROPPED_UNANSWERED: 1}
