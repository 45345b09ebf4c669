"""The changes and figures of the run `settings`; without processes and timing."""

from __future__ import annotations

import json
from itertools import pairwise

import pytest

from emulator.measurement.budgets import BUDGETS, check_budgets
from emulator.runs.latency_scenarios import ALL_ENDPOINTS
from emulator.runs.settings_changes import KINDS, kind_of, settings_after
from emulator.runs.settings_measurement import FULL, QUICK
from emulator.runs.settings_report import (
    MAX_ACTIVATION_DELAY,
    ActivationDelay,
    ActivationDelays,
    ReloadCost,
    RequestOutcomes,
    budget_figures,
)


def test_every_change_alters_only_the_settings_of_its_kind() -> None:
    sequence = [settings_after(number, 24, 3) for number in range(300)]
    first_settings = [dict(settings) for settings in sequence[: 2 * len(KINDS) + 1]]
    keys = {"aim": {"Services"}, "share": {"Orgs"}, "size": {"Instances"}, "class": {"Services"}}
    for number, (before, after) in enumerate(pairwise(first_settings), 1):
        assert {key for key in before if before[key] != after[key]} == keys[kind_of(number)]
    assert len({json.dumps(settings) for settings in first_settings}) == len(first_settings)
    assert [len(settings["Services"]) for settings in sequence[3:9]] == [1, 2, 2, 2, 2, 1]
    assert all(before != after for before, after in pairwise(sequence))


def test_late_changes_count_as_not_in_force_and_as_the_worst_delay() -> None:
    delays = ActivationDelays()
    assert delays.worst() == 0.0
    assert delays.as_dict() == {"in_force": 0, "of": 0}
    for seconds in (0.01, 0.03, 0.02):
        delays.add(ActivationDelay(seconds, in_force=True))
    assert delays.worst() == 0.03
    delays.add(ActivationDelay(MAX_ACTIVATION_DELAY + 0.2, in_force=True))  # too late
    delays.add(ActivationDelay(MAX_ACTIVATION_DELAY + 0.1, in_force=False))
    stored = json.loads(json.dumps(delays.as_dict()))
    assert (stored["in_force"], stored["of"], stored["age"]["count"]) == (3, 5, 3)
    assert stored["age"]["us"]["median"] == pytest.approx(20_000, rel=2e-3)
    assert delays.worst() == MAX_ACTIVATION_DELAY + 0.2


def test_a_proxy_that_ignores_a_reload_violates_the_budget_of_activation_delays() -> None:
    delays = ActivationDelays()
    delays.add(ActivationDelay(MAX_ACTIVATION_DELAY + 0.001, in_force=False))
    cost = ReloadCost(endpoint_count=910, signals=5, swaps=None, reload=0.0005, reread=0.0, swap=0.0005)
    figures = budget_figures(delays.worst(), cost)
    assert figures["settings_hold"] == 0.5
    assert check_budgets(figures, BUDGETS).violated == ("settings_age",)


def test_requests_with_a_status_other_than_200_or_without_a_response_count_as_not_served() -> None:
    outcomes = RequestOutcomes.of([{"200": 5, "503": 1}, {"200": 4, "lost": 2, "unanswered": 0}])
    assert outcomes == RequestOutcomes(total=12, not_served=3, not_served_by_outcome={"503": 1, "lost": 2})
    assert RequestOutcomes.of([]) == RequestOutcomes(total=0, not_served=0, not_served_by_outcome={})


def test_full_and_quick_run_measure_the_complete_endpoint_list_and_load_existing_proxies() -> None:
    for size in (FULL, QUICK):
        assert size.endpoint_counts[-1] == ALL_ENDPOINTS
        assert size.loaded_proxies <= size.proxies
