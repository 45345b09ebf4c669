"""The trials of the run that measures added latency: how many proxies, rates and rows, and their order.

A trial is only described here; `emulator.runs.added_latency` runs it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Calls a second at a proxy at the target's size: on average, at one that is seldom called, at a busy one.
AVERAGE_RATE, SELDOM_RATE = 154.0, 20.0
BUSY_RATE = 3 * AVERAGE_RATE

SERVICE_ROWS, ALL_ROWS = 12, 910  # rows of an endpoint list: of one service, and of all
FLEET_SIZE, BUSY_PROXIES = 24, 3
WARMUP = 1.0  # seconds of calls that are not counted: connections are established
MIN_CORES_FOR_PAIRS = 7  # one for the run itself, three for each of two trials


@dataclass(slots=True, frozen=True)
class Trial:
    """One measurement.

    Attributes:
        name: What results call it.
        rates: Calls a second through each proxy.
        direct: Calls a second straight to the backend.
        rows: Rows of the endpoint list.
        seconds: Time that is counted, after the warm-up.
    """

    name: str
    rates: Sequence[float]
    direct: float
    rows: int
    seconds: float


def one_proxy(rate: float, rows: int, seconds: float) -> Trial:
    """Describe a trial of one proxy, with as many direct calls as go through it."""
    return Trial(f"one proxy, {rate:.0f}/s, {rows} rows", [rate], rate, rows, seconds)


def fleet(seconds: float) -> Trial:
    """Describe a trial of many proxies, some of them busy; direct are four times an average proxy's calls."""
    rates = [BUSY_RATE] * BUSY_PROXIES + [AVERAGE_RATE] * (FLEET_SIZE - BUSY_PROXIES)
    return Trial(
        f"{FLEET_SIZE} proxies, {BUSY_PROXIES} of them busy", rates, 4 * AVERAGE_RATE, SERVICE_ROWS, seconds
    )


def quick_schedule() -> list[list[Trial]]:
    """Plan the small edition, in the form of `schedule`."""
    return [[one_proxy(AVERAGE_RATE, SERVICE_ROWS, 2.5)]]


def schedule(cores: Sequence[int]) -> list[list[Trial]]:
    """Plan the full run in batches: the trials of one batch run side by side, each on cores of its own."""
    in_pairs = len(cores) >= MIN_CORES_FOR_PAIRS
    seconds = 27.0 if in_pairs else 13.0
    trials = [
        one_proxy(rate, rows, seconds)
        for rate in (AVERAGE_RATE, SELDOM_RATE)
        for rows in (SERVICE_ROWS, ALL_ROWS)
    ]
    step = 2 if in_pairs else 1
    return [trials[n : n + step] for n in range(0, len(trials), step)] + [[fleet(22.0)]]
