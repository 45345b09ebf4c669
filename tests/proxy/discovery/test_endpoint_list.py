"""Effects of the endpoint list on the proxy: readiness, resumption of the watch, and removed backends."""

from __future__ import annotations

import time

from proxy.proxy import Proxy
from tests.support.loopback import (
    in_event_loop,
    proxy_with_backends,
    respond_ok,
    running_proxy,
    stub_backend,
    stub_discovery,
    wait_until,
    with_timeout,
)
from tests.support.proxy_inputs import (
    HEALTH_REQUEST,
    HOST,
    endpoint_entry,
    get_request,
    post_request,
    proxy_config,
    status_of,
)
from tests.support.proxy_internals import backends_with_idle_connections, established_connections


@in_event_loop
async def test_clock_of_the_balancer_is_comparable_with_start_times_in_the_endpoint_list() -> None:
    async with running_proxy([]) as proxy:
        assert abs(proxy.proxy.clock.now() - time.time()) < 5.0


@in_event_loop
async def test_health_check_fails_until_the_endpoint_list_has_arrived() -> None:
    async with stub_discovery() as discovery, stub_backend(respond_ok) as backend:
        async with running_proxy([], discovery=discovery.port) as proxy:
            client = await proxy.connect()
            assert status_of(await client.request(HEALTH_REQUEST)) == 503
            assert await with_timeout(discovery.watch_requests.get()) == "/v1/servers?follow=1&since=7"
            discovery.send_update(8, [endpoint_entry("a", backend.address)])
            await wait_until(lambda: proxy.listener.ready)
            assert status_of(await client.request(HEALTH_REQUEST)) == 200
            assert status_of(await client.request(post_request())) == 200


@in_event_loop
async def test_ended_watch_is_resumed_at_its_last_index() -> None:
    async with stub_discovery() as discovery, running_proxy([], discovery=discovery.port) as proxy:
        await with_timeout(discovery.watch_requests.get())
        discovery.send_update(
            12, [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2")], snapshot=True
        )
        backends = proxy.proxy.endpoint_table.backends
        await wait_until(lambda: len(backends) == 2)
        assert discovery.writer is not None
        discovery.writer.close()
        assert await with_timeout(discovery.watch_requests.get()) == "/v1/servers?follow=1&since=12"
        discovery.send_update(13, [endpoint_entry("b", f"{HOST}:2")], snapshot=True)
        await wait_until(lambda: sum(each.in_service for each in backends.values()) == 1)
        # A malformed update does not change the list; the watch is reopened.
        discovery.send_update(14, [endpoint_entry("a", "nowhere")])
        assert await with_timeout(discovery.watch_requests.get()) == "/v1/servers?follow=1&since=13"


@in_event_loop
async def test_removed_backends_do_not_accumulate_in_memory() -> None:
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        client = await proxy.connect()
        for number in range(50):
            proxy.notify([endpoint_entry(f"b{number}", backend.address, since_ms=1000)])
            assert status_of(await client.request(get_request(number))) == 200
            proxy.notify([endpoint_entry(f"b{number}", backend.address, "terminated", since_ms=1000)])
        backends = proxy.proxy.endpoint_table.backends
        assert len(backends) == len(proxy.balancer.endpoints.states) == 1
        assert backends_with_idle_connections(proxy.pool) <= 1
        await wait_until(lambda: established_connections(proxy.pool) <= 1)


@in_event_loop
async def test_proxy_without_an_endpoint_list_starts_but_is_not_healthy() -> None:
    proxy = Proxy(proxy_config([]))
    assert not proxy.listener.is_healthy()
