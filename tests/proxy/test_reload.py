"""Reload of the configuration while the proxy runs: what it applies, and the version it reports.

`test_reload_rejected` tests configurations that are not applied, `test_reload_signals` the signals, and
`test_reload_active_requests` the effect on active requests.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

import pytest

from balancer.balancer import Balancer
from proxy.upstream.idle_connections import MAX_FLEET_IDLE_PER_BACKEND
from tests.support.config_files import READ_CLASS
from tests.support.loopback import (
    ConnectGate,
    ManualClock,
    in_event_loop,
    respond_ok,
    stub_backend,
    with_timeout,
)
from tests.support.proxy_inputs import (
    HOST,
    RAW_SETTINGS,
    endpoint_entry,
    get_request,
    status_of,
)
from tests.support.proxy_internals import idle_quota, sweep_timer
from tests.support.reloadable_proxy import (
    ReloadableProxy,
    reloadable_proxy,
    reloadable_proxy_with_backend,
    request_of_class,
)

if TYPE_CHECKING:
    from pathlib import Path

MANY_BACKENDS = 910

LogLines = Callable[[], list[str]]


@in_event_loop
async def test_reordered_zones_and_machine_types_do_not_move_classes_to_other_backends(
    config_path: Path,
) -> None:
    async with stub_backend(respond_ok) as near, stub_backend(respond_ok) as far:
        entries = [
            endpoint_entry("a", near.address),
            endpoint_entry("b", far.address) | {"zone": "there", "type": "unlisted"},
            endpoint_entry("c", f"{HOST}:9") | {"zone": "nowhere", "type": "strange"},
        ]
        async with reloadable_proxy(config_path, entries) as proxy:
            client = await proxy.connect()
            number = 0
            for restriction, zones, machine_types, expected_backend in (
                ({"AllowedIn": [1]}, ["there", "here"], ["k"], near),
                ({"AllowedIn": [2]}, ["x", "here", "there"], ["y", "k"], far),
                ({"BoundTo": [1]}, ["here"], ["k", "unlisted"], far),
                ({"BoundTo": [1]}, [], ["unlisted", "k"], near),
            ):
                proxy.reload(
                    Services=[READ_CLASS | restriction], Zones=zones, HostTypes=machine_types, Zone=0
                )
                assert list(proxy.listener.config.machine_type_indices) == machine_types  # applied
                for repetition in range(8):
                    number += 1
                    if repetition == 4:  # an update after the reload gives the endpoints the same numbers
                        proxy.notify(entries)
                    assert status_of(await client.request(get_request(number))) == 200
                    assert b"id%d\r\n" % number in await with_timeout(expected_backend.received.get())
                    assert len(proxy.balancer.assignment.by_class[0].ready) == 1
            assert near.received.empty()
            assert far.received.empty()


@in_event_loop
async def test_reload_does_not_return_a_draining_backend_to_service(config_path: Path) -> None:
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, backend):
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        proxy.notify([endpoint_entry("a", backend.address, "terminating")])
        proxy.reload(Services=[READ_CLASS | {"Aim": 30.0}, READ_CLASS | {"Name": "new"}])
        assert status_of(await client.request(get_request(2))) == 503
        assert status_of(await client.request(request_of_class("new", 3))) == 503


@in_event_loop
async def test_reload_applies_new_timeouts_to_idle_connections_and_dials(
    config_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock()
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, backend):
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        await clock.advance(2.0)
        assert backend.disconnects.empty()
        timeouts = {"ConnIdle": 3.0, "DialTimeout": 0.5}
        proxy.reload(Bounds=RAW_SETTINGS["Bounds"] | timeouts | {"MaxAttempts": 1})
        await clock.wait_until(lambda: backend.disconnects.qsize() == 1)
        gate = ConnectGate(monkeypatch)
        client.writer.write(get_request(2))
        await clock.wait_until(lambda: gate.blocked == 1)
        await clock.advance(0.6)
        assert status_of(await client.response()) == 503


@in_event_loop
async def test_reload_applies_the_new_fleet_size_to_the_idle_quota(config_path: Path) -> None:
    entries = [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2")]
    async with reloadable_proxy(config_path, entries) as proxy:
        proxy.reload(Instances=4)
        assert idle_quota(proxy.pool) == MAX_FLEET_IDLE_PER_BACKEND * 2 / 4


def record_calls(monkeypatch: pytest.MonkeyPatch, names: list[str]) -> list[str]:
    """Patch methods of `Balancer`; return a list to which each call appends the name of the method."""
    calls: list[str] = []

    def recording(name: str) -> Callable[..., Any]:
        method = getattr(Balancer, name)

        def call(*args: Any) -> Any:
            calls.append(name)
            return method(*args)

        return call

    for name in names:
        monkeypatch.setattr(Balancer, name, recording(name))
    return calls


def first_subset(proxy: ReloadableProxy) -> list[Any]:
    """Return the ids of the backends in the subset of the first pool."""
    return [state.endpoint.id for state in proxy.balancer.assignment.pools[0].subset]


@pytest.mark.parametrize("settings", [{"Services": [READ_CLASS]}, {"Instances": 30, "Ordinal": 7}])
@in_event_loop
async def test_reload_with_many_backends_rebuilds_the_pools_only_once(
    config_path: Path, monkeypatch: pytest.MonkeyPatch, settings: Mapping[str, object]
) -> None:
    entries = [endpoint_entry(f"s{number}", f"{HOST}:9") for number in range(MANY_BACKENDS)]
    async with reloadable_proxy(config_path, entries) as proxy:
        calls = record_calls(monkeypatch, ["rebuild_pools", "on_endpoints_updated"])
        subset_before = first_subset(proxy)
        proxy.reload(**settings)
        assert calls == ["rebuild_pools"]
        assert (first_subset(proxy) != subset_before) == ("Ordinal" in settings)


@in_event_loop
async def test_health_response_and_log_report_the_version_in_force(
    config_path: Path, log_lines: LogLines
) -> None:
    async with reloadable_proxy(config_path, []) as proxy:
        proxy.listener.ready = True
        health = await proxy.health()
        assert health.status == 200
        [word, first_version] = health.lines
        assert word == b"ok"
        assert first_version.startswith(b"version 1-")
        proxy.reload(Instances=2)
        [line] = log_lines()
        health = await proxy.health()
        assert health.status == 200
        [_, second_version] = health.lines
        assert second_version.startswith(b"version 2-")
        first_digest, second_digest = first_version[10:], second_version[10:]
        assert second_digest != first_digest
        assert line == f"proxy: reload: {second_version.decode()} is in force"
        proxy.reload({"version": 41}, Instances=2)
        assert log_lines() == [f"proxy: reload: version 41-{second_digest.decode()} is in force"]
        proxy.reload()
        assert (await proxy.health()).lines[1] == b"version 4-" + first_digest
        proxy.listener.ready = False
        assert (await proxy.health()).status == 503


def settings_dependent_state(proxy: ReloadableProxy) -> list[Any]:
    """Return the objects that a reload with changed settings replaces."""
    balancer = proxy.balancer
    return [
        balancer.settings,
        balancer.assignment.pools,
        balancer.statistics.class_latency,
        balancer.tenant_quotas.tokens,
        sweep_timer(proxy.pool),
    ]


@in_event_loop
async def test_reload_with_unchanged_settings_replaces_no_state(
    config_path: Path, log_lines: LogLines
) -> None:
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, _backend):
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        state_before = settings_dependent_state(proxy)
        in_other_order = dict(reversed(proxy.file.content.items()))
        in_other_order |= {"settings": dict(reversed(RAW_SETTINGS.items()))}
        for top_entries in (None, in_other_order, {"discovery": f"{HOST}:10"}):
            proxy.reload(top_entries)
        state_after = settings_dependent_state(proxy)
        assert all(old is new for old, new in zip(state_before, state_after, strict=True))
        assert log_lines() == [f"proxy: reload: discovery is at {HOST}:10"]
        assert (await proxy.health()).lines[1].startswith(b"version 1-")
