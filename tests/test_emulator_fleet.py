"""A small fleet over real processes and sockets: who moves where, and what was heard."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from emulator import topology
from emulator.child import Child, ChildError
from emulator.registry import Registry
from emulator.runs.fleet import Fleet, Plan

ROWS, PROXIES = 60, 12


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with ExitStack() as stack:
        yield Fleet(Plan("small", PROXIES, False, 100.0, (), 0.0, 0.0, ROWS), 1, stack)


def test_every_proxy_hears_of_a_lost_zone(fleet: Fleet) -> None:
    told = fleet.measure(fleet.zone_lost)
    assert (told["versions"], told["whole"], told["age"]["missing"]) == (1, True, 0)
    assert told["age"]["all"]["count"] == PROXIES
    assert told["age"]["last"]["count"] == 1
    assert [machine["watches"] for machine in told["machines"]] == [4, 4, 4]


def test_a_lost_machines_watches_resume_at_the_other_two(fleet: Fleet) -> None:
    told = fleet.measure(fleet.machine_lost)
    assert (told["whole"], told["age"]["missing"]) == (True, 0)
    watches = [machine["watches"] for machine in told["machines"]]
    assert watches[0] == 0
    assert sum(watches) == PROXIES
    assert min(watches[1:]) > 4
    assert sum(machine["wholes"] for machine in told["machines"]) == 0


def test_a_fault_in_a_child_comes_back() -> None:
    with Child(Registry, topology.build(1, 5, 1).entries) as child:
        with pytest.raises(ChildError, match="KeyError"):
            child.call("door", "odd")
        assert child.call("spent")["open"] == 0
        child.close()
        with pytest.raises(ChildError):
            child.call("spent")
