"""A small simulated fleet over real processes and sockets: who watches which machine, and what is applied."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

import pytest

from emulator.runs.fleet_events import lose_machine, lose_zone
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
    narrow_view=False,
    speed=100.0,
    events=(),
    change_seconds=0.0,
    partition_seconds=0.0,
    backends=BACKENDS,
)


@pytest.fixture
def fleet() -> Iterator[SimulatedFleet]:
    """A running fleet that sees all rows."""
    with ExitStack() as stack:
        yield SimulatedFleet(PLAN, SEED, stack)


def test_every_proxy_applies_the_loss_of_a_zone(fleet: SimulatedFleet) -> None:
    measured = measure(fleet, lose_zone)
    assert (measured.versions, measured.is_complete, measured.delays.missing) == (1, True, 0)
    assert measured.delays.all_proxies.count == PROXIES
    assert measured.delays.last_proxy.count == 1
    assert [machine.open_watches for machine in measured.machines] == [4, 4, 4]


def test_a_lost_machines_watches_resume_at_the_other_two(fleet: SimulatedFleet) -> None:
    measured = measure(fleet, lose_machine)
    assert (measured.is_complete, measured.delays.missing) == (True, 0)
    watches = [machine.open_watches for machine in measured.machines]
    assert watches[0] == 0
    assert sum(watches) == PROXIES
    assert min(watches[1:]) > 4
    assert sum(machine.snapshots for machine in measured.machines) == 0
