"""The run that measures added latency: its scenarios, cores and figures; no process is started."""

from __future__ import annotations

from emulator.fleet.placement import Placement, place_processes
from emulator.measurement.latency import Quantiles
from emulator.runs.latency_report import budget_figures
from emulator.runs.latency_scenarios import (
    AVERAGE_RATE,
    SERVICE_ENDPOINTS,
    WARMUP,
    one_proxy_scenario,
    schedule,
)


def test_budgets_are_compared_only_with_figures_of_scenarios_that_ran() -> None:
    scenario = one_proxy_scenario(AVERAGE_RATE, SERVICE_ENDPOINTS, 2.0)
    added_latency = Quantiles(median=0, p99=1100, p999=0, max=0)
    assert budget_figures({scenario.name: added_latency}) == {"added_p99": 1.1}


def test_processes_share_cores_only_if_there_are_too_few() -> None:
    one_proxy = place_processes([4, 5, 6], 1)
    assert one_proxy == Placement(frozenset([4]), frozenset([5]), [frozenset([6])], exclusive=True)
    many_proxies = place_processes([1, 2, 3, 4, 5], 24)
    assert many_proxies.proxies == [frozenset([3, 4, 5])] * 24
    assert not many_proxies.exclusive
    assert not place_processes([0, 1], 1).exclusive


def test_full_run_is_scheduled_within_100_seconds() -> None:
    for cores in (range(8), range(4)):
        batches = schedule(cores)
        assert sum(WARMUP + batch[0].seconds + 3.0 for batch in batches) < 100.0
        assert len([scenario for batch in batches for scenario in batch]) == 5
