"""The events of the run `fleet`: changes and failures of a simulated fleet whose cost is measured.

`EVENTS` maps the names of the events, as plans and results use them, to the functions that cause them.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from emulator.runs.common import CHANGES_PER_DAY, SECONDS_PER_DAY
from emulator.runs.pacing import poisson_arrivals
from emulator.runs.simulated_fleet import SimulatedFleet

TAKEOVER_TIME = 0.3  # seconds until the other two registries serve the addresses of a failed registry
REPLACED_BACKENDS = 110
MISSED_CHANGES = 5  # changes published while watches are disconnected
FAILED_ZONE = "b"
PARTITIONED_REGION = 1
FAILED_REGISTRY, RESTARTED_REGISTRY = 0, 1  # numbers of the registries

FleetEvent = Callable[[SimulatedFleet], None]


def change_at_rate(fleet: SimulatedFleet) -> None:
    """Change single backends at random times, at the rate of the plan."""
    _publish_arrivals(fleet, fleet.plan.change_seconds)


def _publish_arrivals(fleet: SimulatedFleet, seconds: float) -> None:
    rate = fleet.plan.change_rate_factor * CHANGES_PER_DAY / SECONDS_PER_DAY
    for _ in poisson_arrivals(fleet.rng, rate, seconds):
        fleet.publish([fleet.changes.change_random()])


def replace_backends(fleet: SimulatedFleet) -> None:
    """Replace `REPLACED_BACKENDS` backends by new ones on other hosts, one version for each change."""
    for position in fleet.rng.permutation(fleet.plan.backends)[:REPLACED_BACKENDS]:
        fleet.publish([fleet.changes.terminate(int(position))])
        fleet.publish([fleet.changes.replace(int(position))])


def fail_zone(fleet: SimulatedFleet) -> None:
    """Terminate all backends of a zone in one version."""
    fleet.publish(
        [fleet.changes.terminate(position) for position in fleet.topology.backends_in_zone(FAILED_ZONE)]
    )


def restore_zone(fleet: SimulatedFleet) -> None:
    """Restart all backends of a zone in one version."""
    fleet.publish(
        [fleet.changes.restart(position) for position in fleet.topology.backends_in_zone(FAILED_ZONE)]
    )


def fail_zone_by_backend(fleet: SimulatedFleet) -> None:
    """Terminate all backends of a zone without a pause, one version for each backend."""
    for position in fleet.topology.backends_in_zone(FAILED_ZONE):
        fleet.publish([fleet.changes.terminate(position)])


def restore_zone_by_backend(fleet: SimulatedFleet) -> None:
    """Restart all backends of a zone without a pause, one version for each backend."""
    for position in fleet.topology.backends_in_zone(FAILED_ZONE):
        fleet.publish([fleet.changes.restart(position)])


def fail_registry(fleet: SimulatedFleet) -> None:
    """Fail a registry: its watches resume at the other two registries and catch up on missed changes."""
    reassigned = fleet.fail_registry(FAILED_REGISTRY)
    _publish_missed_changes(fleet)
    time.sleep(TAKEOVER_TIME)
    fleet.open_endpoints(reassigned)


def lose_registry_log(fleet: SimulatedFleet) -> None:
    """Restart a registry without its log: its watches reconnect and receive the complete list."""
    fleet.restart_registry_without_log(RESTARTED_REGISTRY)
    _publish_missed_changes(fleet)


def _publish_missed_changes(fleet: SimulatedFleet) -> None:
    """Publish changes while some watches are disconnected."""
    for _ in range(MISSED_CHANGES):
        fleet.publish([fleet.changes.change_random()])


def partition_region(fleet: SimulatedFleet) -> None:
    """Partition a region while changes are published; it receives all of them after the partition."""
    fleet.partition_region(PARTITIONED_REGION)
    _publish_arrivals(fleet, fleet.plan.partition_seconds)
    fleet.heal_region(PARTITIONED_REGION)


EVENTS: dict[str, FleetEvent] = {
    "changes": change_at_rate,
    "replaced": replace_backends,
    "zone_lost": fail_zone,
    "zone_back": restore_zone,
    "zone_lost_by_rows": fail_zone_by_backend,
    "zone_back_by_rows": restore_zone_by_backend,
    "machine_lost": fail_registry,
    "log_lost": lose_registry_log,
    "regions_cut": partition_region,
}
