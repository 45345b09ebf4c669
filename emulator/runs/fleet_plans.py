"""The plans of the run `fleet`: the number of proxies, the backends that they see, and the events.

Each proxy of a real fleet has its own core, but simulated proxies share cores. Therefore events that would
overload one machine with all proxies run with fewer proxies.
"""

from __future__ import annotations

from dataclasses import dataclass

from emulator.fleet import topology


@dataclass(slots=True, frozen=True)
class Plan:
    """One simulated fleet and its events.

    Attributes:
        name: Key of the plan in the result file.
        proxies: Number of proxies.
        only_called_services: Whether a proxy sees only the backends of the services that its service calls.
        change_rate_factor: Rate of changes as a multiple of the rate in the target deployment.
        events: Names of the events in order (keys of `fleet_events.EVENTS`).
        change_seconds: Duration of the event `changes`.
        partition_seconds: Duration of the network partition in the event `regions_cut`.
        backends: Number of backends.
    """

    name: str
    proxies: int
    only_called_services: bool
    change_rate_factor: float
    events: tuple[str, ...]
    change_seconds: float
    partition_seconds: float
    backends: int = topology.BACKENDS


FAILURES = ("zone_lost", "zone_back", "machine_lost", "log_lost", "regions_cut")
CHANGES_BY_BACKEND = ("replaced", "zone_lost_by_rows", "zone_back_by_rows")
# If all 910 proxies see all backends, one change costs about 3 s of processor time. Therefore the plan
# `all_rows` has a lower rate of changes, and its zone failures are one delta each.
PLANS = (
    Plan(
        name="all_rows",
        proxies=910,
        only_called_services=False,
        change_rate_factor=15.0,
        events=("changes", *FAILURES),
        change_seconds=15.0,
        partition_seconds=8.0,
    ),
    Plan(
        name="all_rows_by_row",
        proxies=48,
        only_called_services=False,
        change_rate_factor=100.0,
        events=("changes", *CHANGES_BY_BACKEND),
        change_seconds=12.0,
        partition_seconds=0.0,
    ),
    Plan(
        name="next_rows",
        proxies=910,
        only_called_services=True,
        change_rate_factor=100.0,
        events=("changes", *CHANGES_BY_BACKEND, *FAILURES),
        change_seconds=15.0,
        partition_seconds=8.0,
    ),
)
QUICK_PLANS = (
    Plan(
        name="all_rows",
        proxies=12,
        only_called_services=False,
        change_rate_factor=100.0,
        events=("changes", "zone_lost_by_rows", "zone_back", "log_lost"),
        change_seconds=1.5,
        partition_seconds=0.0,
    ),
    Plan(
        name="next_rows",
        proxies=240,
        only_called_services=True,
        change_rate_factor=100.0,
        events=("changes", "replaced", "machine_lost"),
        change_seconds=1.5,
        partition_seconds=0.0,
    ),
)
