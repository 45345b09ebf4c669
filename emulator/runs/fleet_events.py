"""The events of the run `fleet`: what happens to a simulated fleet while its costs are measured.

It owns the steps of each event; `EVENTS` maps the names that plans and results use to them.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from emulator.runs.common import CHANGES_PER_DAY, SECONDS_PER_DAY
from emulator.runs.pacing import poisson_arrivals
from emulator.runs.simulated_fleet import SimulatedFleet

TAKEOVER_TIME = 0.3  # seconds after which the other two machines serve a lost one's addresses
REPLACED_BACKENDS = 110
CHANGES_MEANWHILE = 5  # published while watches are disconnected
LOST_ZONE = "b"
PARTITIONED_REGION = 1  # the region that is cut off from the control machines
LOST_MACHINE, RESTARTED_MACHINE = 0, 1

FleetEvent = Callable[[SimulatedFleet], None]


def change_at_rate(fleet: SimulatedFleet) -> None:
    """Change single backends at random moments."""
    _publish_arrivals(fleet, fleet.plan.change_seconds)


def _publish_arrivals(fleet: SimulatedFleet, seconds: float) -> None:
    rate = fleet.plan.speed * CHANGES_PER_DAY / SECONDS_PER_DAY
    for _ in poisson_arrivals(fleet.rng, rate, seconds):
        fleet.publish([fleet.changes.change_any()])


def replace_backends(fleet: SimulatedFleet) -> None:
    """Replace 110 backends by ones on other machines, at once, with a version for each change."""
    for position in fleet.rng.permutation(fleet.plan.backends)[:REPLACED_BACKENDS]:
        fleet.publish([fleet.changes.terminate(int(position))])
        fleet.publish([fleet.changes.replace(int(position))])


def lose_zone(fleet: SimulatedFleet) -> None:
    """Terminate a zone's backends in one version."""
    fleet.publish(
        [fleet.changes.terminate(position) for position in fleet.topology.backends_in_zone(LOST_ZONE)]
    )


def restore_zone(fleet: SimulatedFleet) -> None:
    """Restart a zone's backends in one version."""
    fleet.publish(
        [fleet.changes.restart(position) for position in fleet.topology.backends_in_zone(LOST_ZONE)]
    )


def lose_zone_by_rows(fleet: SimulatedFleet) -> None:
    """Terminate a zone's backends at once, with a version for each."""
    for position in fleet.topology.backends_in_zone(LOST_ZONE):
        fleet.publish([fleet.changes.terminate(position)])


def restore_zone_by_rows(fleet: SimulatedFleet) -> None:
    """Restart a zone's backends at once, with a version for each."""
    for position in fleet.topology.backends_in_zone(LOST_ZONE):
        fleet.publish([fleet.changes.restart(position)])


def lose_machine(fleet: SimulatedFleet) -> None:
    """Lose a control machine: its watches resume at the other two, after changes that they missed."""
    lost = fleet.lose_machine(LOST_MACHINE)
    _change_meanwhile(fleet)
    time.sleep(TAKEOVER_TIME)
    fleet.open_endpoints(lost)


def lose_log(fleet: SimulatedFleet) -> None:
    """Restart a control machine without its log: its watches return at once for the complete list."""
    fleet.restart_without_log(RESTARTED_MACHINE)
    _change_meanwhile(fleet)


def _change_meanwhile(fleet: SimulatedFleet) -> None:
    """Publish changes while some watches are disconnected."""
    for _ in range(CHANGES_MEANWHILE):
        fleet.publish([fleet.changes.change_any()])


def partition_region(fleet: SimulatedFleet) -> None:
    """Cut a region off while changes go on, so that it receives all of them at the end."""
    fleet.partition_region(PARTITIONED_REGION)
    _publish_arrivals(fleet, fleet.plan.partition_seconds)
    fleet.heal_region(PARTITIONED_REGION)


EVENTS: dict[str, FleetEvent] = {
    "changes": change_at_rate,
    "replaced": replace_backends,
    "zone_lost": lose_zone,
    "zone_back": restore_zone,
    "zone_lost_by_rows": lose_zone_by_rows,
    "zone_back_by_rows": restore_zone_by_rows,
    "machine_lost": lose_machine,
    "log_lost": lose_log,
    "regions_cut": partition_region,
}
