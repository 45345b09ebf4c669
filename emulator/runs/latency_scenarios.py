"""The scenarios of the run `added`: number of proxies, request rates and endpoint lists, and their schedule.

`emulator.runs.added_latency` runs and measures the scenarios.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Requests a second at one proxy of the target deployment: an average, a rarely used, and a busy proxy.
AVERAGE_RATE, LOW_RATE = 154.0, 20.0
BUSY_RATE = 3 * AVERAGE_RATE

SERVICE_ENDPOINTS, ALL_ENDPOINTS = 12, 910  # endpoints of one service, and of all services
FLEET_SIZE, BUSY_PROXIES = 24, 3
WARMUP = 1.0  # seconds of requests that are not measured, in which connections are established
MIN_CORES_FOR_TWO_SCENARIOS = 7  # one core for the run itself, and three for each of two scenarios


@dataclass(slots=True, frozen=True)
class Scenario:
    """One measurement.

    Attributes:
        name: Key of the scenario in the result file.
        proxy_rates: Requests a second through each proxy.
        direct_rate: Requests a second that are sent directly to the backend.
        endpoint_count: Length of the endpoint list.
        seconds: Measured time, after the warm-up.
    """

    name: str
    proxy_rates: Sequence[float]
    direct_rate: float
    endpoint_count: int
    seconds: float


def one_proxy_scenario(rate: float, endpoint_count: int, seconds: float) -> Scenario:
    """Build a scenario with one proxy, and with as many direct requests as go through the proxy."""
    name = f"one proxy, {rate:.0f}/s, {endpoint_count} rows"
    return Scenario(name, [rate], rate, endpoint_count, seconds)


def fleet_scenario(seconds: float) -> Scenario:
    """Build a scenario with many proxies, some of them busy; its direct rate is four times `AVERAGE_RATE`."""
    proxy_rates = [BUSY_RATE] * BUSY_PROXIES + [AVERAGE_RATE] * (FLEET_SIZE - BUSY_PROXIES)
    name = f"{FLEET_SIZE} proxies, {BUSY_PROXIES} of them busy"
    return Scenario(name, proxy_rates, 4 * AVERAGE_RATE, SERVICE_ENDPOINTS, seconds)


def quick_schedule() -> list[list[Scenario]]:
    """Return the scenarios of a quick run, in the same form as `schedule`."""
    return [[one_proxy_scenario(AVERAGE_RATE, SERVICE_ENDPOINTS, 2.5)]]


def schedule(cores: Sequence[int]) -> list[list[Scenario]]:
    """Return the scenarios of a full run in batches.

    The scenarios of one batch run at the same time, each on its own cores.
    """
    in_pairs = len(cores) >= MIN_CORES_FOR_TWO_SCENARIOS
    seconds = 27.0 if in_pairs else 13.0
    scenarios = [
        one_proxy_scenario(rate, endpoint_count, seconds)
        for rate in (AVERAGE_RATE, LOW_RATE)
        for endpoint_count in (SERVICE_ENDPOINTS, ALL_ENDPOINTS)
    ]
    batch_size = 2 if in_pairs else 1
    batches = [scenarios[start : start + batch_size] for start in range(0, len(scenarios), batch_size)]
    return [*batches, [fleet_scenario(22.0)]]
