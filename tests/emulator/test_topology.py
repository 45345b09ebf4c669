"""The topology of the simulated fleet, and the settings of its proxies."""

from __future__ import annotations

from collections import Counter

import pytest

from balancer.settings_reader import read_settings
from emulator.fleet import topology
from emulator.fleet.settings import proxy_settings

SEED = 3


@pytest.fixture(scope="module")
def fleet() -> topology.Topology:
    """A fleet of the target size."""
    return topology.build(SEED)


def test_fleet_has_the_size_of_the_target_deployment(fleet: topology.Topology) -> None:
    assert len({entry["name"] for entry in fleet.entries}) == len(fleet.entries) == 910
    assert len(set(fleet.service_of)) == 78
    assert set(Counter(entry["zone"] for entry in fleet.entries).values()) == {182}
    assert len(fleet.backends_in_region(0)) + len(fleet.backends_in_region(1)) == 910
    called_backend_counts = [len(fleet.called_backends(service)) for service in range(78)]
    assert min(called_backend_counts) >= topology.MIN_CALLED_BACKENDS
    assert max(called_backend_counts) <= topology.MAX_CALLED_BACKENDS
    assert all(service not in services for service, services in enumerate(fleet.called_services))


def test_equal_seeds_give_equal_fleets_of_any_size() -> None:
    assert topology.build(SEED, 120) == topology.build(SEED, 120) != topology.build(SEED + 1, 120)
    assert len(topology.build(SEED, 1820).entries) == 1820
    with pytest.raises(ValueError, match="do not fit"):
        topology.build(SEED, 4, 5)


def test_settings_of_the_first_and_last_proxy_are_valid(fleet: topology.Topology) -> None:
    for position in (0, 909):
        settings = read_settings(proxy_settings(fleet, position))
        settings.check()
        assert (settings.fleet_size, settings.ordinal, settings.zone_count) == (910, position, 5)
