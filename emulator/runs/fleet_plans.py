"""The plans of the run `fleet`: how many proxies, what they see and what they live through.

A proxy of a real fleet has a core of its own; here many share one. So events that this machine can't carry
at all proxies happen to fewer.
"""

from __future__ import annotations

from dataclasses import dataclass

from emulator import topology


@dataclass(slots=True, frozen=True)
class Plan:
    """One simulated fleet and its events.

    Attributes:
        name: What results call it.
        proxies: How many proxies there are.
        narrow_view: Whether a proxy sees only the backends of the services that its own calls.
        speed: How much faster than the target's rate changes come.
        events: The names of the events, in order (`fleet_events.EVENTS`).
        change_seconds: How long changes come at the rate, in the event `changes`.
        partition_seconds: How long regions are without each other, in the event `regions_cut`.
        backends: How many backends there are.
    """

    name: str
    proxies: int
    narrow_view: bool
    speed: float
    events: tuple[str, ...]
    change_seconds: float
    partition_seconds: float
    backends: int = topology.BACKENDS


FAILURES = ("zone_lost", "zone_back", "machine_lost", "log_lost", "regions_cut")
BY_ROWS = ("replaced", "zone_lost_by_rows", "zone_back_by_rows")
# All rows at all proxies cost this machine some 3 s of processor time a change: so slower, and in one delta.
PLANS = (
    Plan("all_rows", 910, False, 15.0, ("changes", *FAILURES), 15.0, 8.0),
    Plan("all_rows_by_row", 48, False, 100.0, ("changes", *BY_ROWS), 12.0, 0.0),
    Plan("next_rows", 910, True, 100.0, ("changes", *BY_ROWS, *FAILURES), 15.0, 8.0),
)
QUICK_PLANS = (
    Plan("all_rows", 12, False, 100.0, ("changes", "zone_lost_by_rows", "zone_back", "log_lost"), 1.5, 0.0),
    Plan("next_rows", 240, True, 100.0, ("changes", "replaced", "machine_lost"), 1.5, 0.0),
)
