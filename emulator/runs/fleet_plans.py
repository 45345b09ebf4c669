"""The plans of the run `fleet`: how many proxies there are, what they see and what happens to them.

A proxy of a real fleet has a core of its own; here many share one. So events that would overload one machine
with all proxies happen to fewer of them.
"""

from __future__ import annotations

from dataclasses import dataclass

from emulator.fleet import topology


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
        partition_seconds: How long a region is cut off, in the event `regions_cut`.
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
# Where all 910 proxies see all rows, a change of one costs some 3 s of processor time: so changes come
# slower there, and a zone goes in one delta.
PLANS = (
    Plan(
        name="all_rows",
        proxies=910,
        narrow_view=False,
        speed=15.0,
        events=("changes", *FAILURES),
        change_seconds=15.0,
        partition_seconds=8.0,
    ),
    Plan(
        name="all_rows_by_row",
        proxies=48,
        narrow_view=False,
        speed=100.0,
        events=("changes", *BY_ROWS),
        change_seconds=12.0,
        partition_seconds=0.0,
    ),
    Plan(
        name="next_rows",
        proxies=910,
        narrow_view=True,
        speed=100.0,
        events=("changes", *BY_ROWS, *FAILURES),
        change_seconds=15.0,
        partition_seconds=8.0,
    ),
)
QUICK_PLANS = (
    Plan(
        name="all_rows",
        proxies=12,
        narrow_view=False,
        speed=100.0,
        events=("changes", "zone_lost_by_rows", "zone_back", "log_lost"),
        change_seconds=1.5,
        partition_seconds=0.0,
    ),
    Plan(
        name="next_rows",
        proxies=240,
        narrow_view=True,
        speed=100.0,
        events=("changes", "replaced", "machine_lost"),
        change_seconds=1.5,
        partition_seconds=0.0,
    ),
)
