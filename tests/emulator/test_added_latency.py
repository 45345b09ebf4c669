"""The run that measures added latency: its trials, cores and figures, without timing anything."""

from __future__ import annotations

from emulator.fleet.placement import Placement, place_processes
from emulator.measurement.latency import Quantiles
from emulator.runs.latency_report import budget_figures
from emulator.runs.latency_trials import AVERAGE_RATE, SERVICE_ROWS, WARMUP, one_proxy, schedule


def test_figures_with_a_budget_are_those_of_the_trials_that_ran() -> None:
    trial = one_proxy(AVERAGE_RATE, SERVICE_ROWS, 2.0)
    added = Quantiles(median=0, p99=1100, p999=0, max=0)
    assert budget_figures({trial.name: added}) == {"added_p99": 1.1}


def test_processes_get_cores_of_their_own_where_there_are_enough() -> None:
    alone = place_processes([4, 5, 6], 1)
    assert alone == Placement(frozenset([4]), frozenset([5]), [frozenset([6])], exclusive=True)
    many = place_processes([1, 2, 3, 4, 5], 24)
    assert many.proxies == [frozenset([3, 4, 5])] * 24
    assert not many.exclusive
    assert not place_processes([0, 1], 1).exclusive


def test_the_full_run_is_planned_within_100_seconds() -> None:
    for cores in (range(8), range(4)):
        batches = schedule(cores)
        assert sum(WARMUP + batch[0].seconds + 3.0 for batch in batches) < 100.0
        assert len([trial for batch in batches for trial in batch]) == 5
