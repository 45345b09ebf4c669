"""The run of settings in force without a restart: its changes and figures, without processes or times."""

from __future__ import annotations

import json
from itertools import pairwise

import pytest

from emulator.measurement.budgets import BUDGETS, check_budgets
from emulator.runs.latency_scenarios import ALL_ENDPOINTS
from emulator.runs.settings_changes import KINDS, kind_of, settings_after
from emulator.runs.settings_measurement import FULL, QUICK
from emulator.runs.settings_report import (
    MAX_AGE,
    Ages,
    CallOutcomes,
    ChangeAge,
    ReloadCost,
    budget_figures,
)


def test_each_change_is_of_one_kind_and_makes_other_settings() -> None:
    following = [settings_after(number, 24, 3) for number in range(300)]
    changed = [dict(each) for each in following[: 2 * len(KINDS) + 1]]
    keys = {"aim": {"Services"}, "share": {"Orgs"}, "size": {"Instances"}, "class": {"Services"}}
    for number, (before, after) in enumerate(pairwise(changed), 1):
        assert {key for key in before if before[key] != after[key]} == keys[kind_of(number)]
    assert len({json.dumps(each) for each in changed}) == len(changed)
    assert [len(each["Services"]) for each in following[3:9]] == [1, 2, 2, 2, 2, 1]
    assert all(before != after for before, after in pairwise(following))


def test_ages_count_what_was_in_force_in_time_and_what_was_not() -> None:
    ages = Ages()
    assert ages.worst() == 0.0
    assert ages.as_dict() == {"in_force": 0, "of": 0}
    for seconds in (0.01, 0.03, 0.02):
        ages.add(ChangeAge(seconds, in_force=True))
    assert ages.worst() == 0.03
    ages.add(ChangeAge(MAX_AGE + 0.2, in_force=True))  # too late
    ages.add(ChangeAge(MAX_AGE + 0.1, in_force=False))
    found = json.loads(json.dumps(ages.as_dict()))  # as a result holds it
    assert (found["in_force"], found["of"], found["age"]["count"]) == (3, 5, 3)
    assert found["age"]["us"]["median"] == pytest.approx(20_000, rel=2e-3)
    assert ages.worst() == MAX_AGE + 0.2


def test_a_program_that_puts_nothing_in_force_violates_the_budget_of_ages() -> None:
    ages = Ages()
    ages.add(ChangeAge(MAX_AGE + 0.001, in_force=False))
    cost = ReloadCost(rows=910, signals=5, swaps=None, reload=0.0005, reread=0.0, swap=0.0005)
    figures = budget_figures(ages.worst(), cost)
    assert figures["settings_hold"] == 0.5
    assert check_budgets(figures, BUDGETS).violated == ("settings_age",)


def test_calls_that_ended_otherwise_than_with_200_are_lost() -> None:
    assert CallOutcomes.of([{"200": 5, "503": 1}, {"200": 4, "lost": 2, "unanswered": 0}]) == CallOutcomes(
        calls=12, lost=3, otherwise={"503": 1, "lost": 2}
    )
    assert CallOutcomes.of([]) == CallOutcomes(calls=0, lost=0, otherwise={})


def test_both_sizes_end_at_the_whole_fleet_and_call_no_more_proxies_than_there_are() -> None:
    for size in (FULL, QUICK):
        assert size.rows[-1] == ALL_ENDPOINTS
        assert size.called <= size.proxies
