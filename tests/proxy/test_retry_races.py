"""Retries that become forbidden while their connection is established must not be sent.

Meanwhile the deduplication window may pass, a reload may restrict the request's class, or the backend may
leave the scope in which backends discard a repeated request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from balancer.settings_reader import read_settings
from proxy.upstream.keepalive_policy import MIN_REUSE_DELAY
from tests.support.loopback import (
    ConnectGate,
    ManualClock,
    RunningProxy,
    StubBackend,
    in_event_loop,
    proxy_with_backends,
    respond_ok,
)
from tests.support.proxy_inputs import OK_RESPONSE, RAW_SETTINGS, endpoint_entry, post_request, status_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from balancer.settings import Settings

ERROR_RESPONSE = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
DEDUPLICATION_WINDOW = 1.0  # seconds in which backends discard a repeated request with the same key


def settings_with_once_class(scope: str = "all", repeat: str = "dedup", **bounds: Any) -> Settings:
    """Return `RAW_SETTINGS` with a changed class `once` and changed bounds."""
    read, book, once = RAW_SETTINGS["Services"]
    once = once | {"Group": scope, "Repeat": repeat, "Window": DEDUPLICATION_WINDOW}
    limits = RAW_SETTINGS["Bounds"] | bounds
    return read_settings(RAW_SETTINGS | {"Services": [read, book, once], "Bounds": limits})


def keyed_request() -> bytes:
    """Return a request with an idempotency key."""
    return post_request(X_Priority_Class="once", Idempotency_Key="k1")


def pass_window(proxy: RunningProxy, clock: ManualClock, _backends: list[StubBackend]) -> None:
    """Advance the clock past the deduplication window."""
    assert proxy.dispatcher.active_requests
    clock.now += DEDUPLICATION_WINDOW


def forbid_repeats(proxy: RunningProxy, _clock: ManualClock, _backends: list[StubBackend]) -> None:
    """Apply settings by which requests of the class must not run twice."""
    settings = settings_with_once_class(repeat="fragile")
    proxy.dispatcher.reconfigure(settings, settings.classes)


def leave_cell(proxy: RunningProxy, _clock: ManualClock, backends: list[StubBackend]) -> None:
    """Move all backends to another cell, where they would process the request a second time."""
    entries = [endpoint_entry(name, each.address) for name, each in zip("ab", backends, strict=True)]
    proxy.notify([entry | {"group": 1} for entry in entries])


@pytest.mark.parametrize(
    ("change", "scope"),
    [
        pytest.param(pass_window, "all", id="window passed"),
        pytest.param(forbid_repeats, "all", id="reload"),
        pytest.param(leave_cell, "cell", id="cell left"),
    ],
)
@in_event_loop
async def test_retry_whose_connection_is_established_too_late_is_not_sent(
    change: Callable[[RunningProxy, ManualClock, list[StubBackend]], None],
    scope: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = ManualClock()

    def fail(_request: bytes) -> bytes:
        return ERROR_RESPONSE

    settings = settings_with_once_class(scope)
    async with proxy_with_backends(fail, fail, settings=settings) as (proxy, backends):
        client = await clock.wait_for(proxy.connect())
        gate = ConnectGate(monkeypatch, passing=1)
        client.writer.write(keyed_request())
        await clock.wait_until(lambda: gate.blocked == 1)  # the first attempt has failed, the retry dials
        change(proxy, clock, backends)
        for backend in backends:
            backend.script = respond_ok
        gate.release()
        await clock.settle()
        response = await clock.wait_for(client.response())
        assert sum(backend.received.qsize() for backend in backends) == 1
        assert status_of(response) in (502, 503)
        # The connection is reused for other requests after its cooldown.
        await clock.advance(MIN_REUSE_DELAY)
        assert status_of(await clock.wait_for(client.request(post_request(2)))) == 200


@in_event_loop
async def test_retry_whose_connection_is_established_in_time_is_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = ManualClock()
    responses = [OK_RESPONSE, ERROR_RESPONSE]

    def respond(_request: bytes) -> bytes:
        return responses.pop()

    settings = settings_with_once_class()
    async with proxy_with_backends(respond, respond, settings=settings) as (proxy, _backends):
        client = await clock.wait_for(proxy.connect())
        gate = ConnectGate(monkeypatch, passing=1)
        client.writer.write(keyed_request())
        await clock.wait_until(lambda: gate.blocked == 1)
        gate.release()
        assert status_of(await clock.wait_for(client.response())) == 200
