"""A small simulated fleet with real processes and sockets: propagation of changes, failure of a registry."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

import pytest

from emulator.runs.fleet_events import fail_registry, fail_zone
from emulator.runs.fleet_measurement import measure
from emulator.runs.fleet_plans import Plan
from emulator.runs.simulated_fleet import SimulatedFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

SEED = 1
BACKENDS, PROXIES = 60, 12
PLAN = Plan(
    name="small",
    proxies=PROXIES,
    only_called_services=False,
    change_rate_factor=100.0,
    events=(),
    change_seconds=0.0,
    partition_seconds=0.0,
    backends=BACKENDS,
)


@pytest.fixture
def fleet() -> Iterator[SimulatedFleet]:
    """A running fleet whose proxies see all backends."""
    with ExitStack() as stack:
        yield SimulatedFleet(PLAN, SEED, stack)


def test_every_proxy_applies_the_failure_of_a_zone(fleet: SimulatedFleet) -> None:
    measured = measure(fleet, fail_zone)
    assert (measured.versions, measured.is_complete, measured.delays.missing) == (1, True, 0)
    assert measured.delays.all_proxies.count == PROXIES
    assert measured.delays.last_proxy.count == 1
    assert [registry.open_watches for registry in measured.registries] == [4, 4, 4]


def test_watches_of_a_failed_registry_resume_at_the_other_two_without_snapshots(
    fleet: SimulatedFleet,
) -> None:
    measured = measure(fleet, fail_registry)
    assert (measured.is_complete, measured.delays.missing) == (True, 0)
    watches = [registry.open_watches for registry in measured.registries]
    assert watches[0] == 0
    assert sum(watches) == PROXIES
    assert min(watches[1:]) > 4
    assert sum(registry.snapshots for registry in measured.registries) == 0
