"""Simulated proxies that watch a registry over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from emulator.fleet.simulated_host import ProxyPlacement, SimulatedHost
from emulator.measurement.propagation_delay import Publication
from tests.support.loopback import ManualClock, wait_until, with_timeout
from tests.support.small_fleet import (
    BACKENDS,
    ENDPOINT,
    NAMES,
    SEED,
    SERVICES,
    changed_backend,
    running_registry,
)

FAILURE_SECONDS = 4.0  # long enough that the watches detect the failure


@pytest.mark.parametrize("failure", ["close_endpoints", "silence"])
def test_simulated_proxies_catch_up_by_a_delta_after_a_failure_of_their_endpoint(failure: str) -> None:
    async def scenario() -> None:
        async with running_registry() as registry:
            port = await registry.open_endpoint(ENDPOINT)
            clock = ManualClock()
            host = SimulatedHost(SEED, BACKENDS, SERVICES)
            starting = asyncio.ensure_future(
                host.start_proxies([ProxyPlacement(0, port), ProxyPlacement(1, port)])
            )
            await clock.wait_until(starting.done)
            assert starting.result().proxies == 2
            before_failure = {2: Publication(registry.publish(2, [changed_backend(0)]), frozenset(NAMES[:1]))}
            await clock.wait_until(lambda: host.delay_report(before_failure).missing == 0)
            getattr(registry, failure)([ENDPOINT])
            registry.publish(3, [changed_backend(1)])
            during_failure = {3: Publication(0.0, frozenset(NAMES[1:2]))}
            await clock.advance(FAILURE_SECONDS)
            assert host.delay_report(during_failure).missing == 2
            if failure == "close_endpoints":
                await registry.open_endpoint(ENDPOINT, port)
            else:
                registry.heal([ENDPOINT])
            for _ in range(4):
                await clock.advance(0.2)
            await clock.wait_until(lambda: host.delay_report(during_failure).missing == 0)
            assert registry.usage().traffic.snapshots == 2  # sent at the start; a resumed watch gets a delta

    asyncio.run(scenario())


def test_simulated_requests_are_counted_and_finished_by_the_balancer() -> None:
    async def scenario() -> None:
        async with running_registry() as registry:
            port = await registry.open_endpoint(ENDPOINT)
            host = SimulatedHost(SEED, BACKENDS, SERVICES)
            await with_timeout(host.start_proxies([ProxyPlacement(0, port)]))
            host.set_request_rate(1000.0)
            balancer = host.proxies[0].balancer
            await wait_until(lambda: balancer.statistics.sample_count >= 10)
            host.set_request_rate(0.0)
            assert not balancer.requests

    asyncio.run(scenario())
