"""The run of settings in force without a restart: its logic, without processes or times."""

from __future__ import annotations

import json
from itertools import pairwise
from pathlib import Path

import pytest

from emulator import added
from emulator.budgets import BUDGETS, check
from emulator.result import ROOT, commit
from emulator.runs.settings import (
    KINDS,
    QUICK,
    WHOLE,
    WITHIN,
    Ages,
    figures_of,
    kind_of,
    lost,
    names,
    put,
    settings_at,
    swapped,
    taken,
    version_of,
)
from proxy.config import load

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"


@pytest.mark.parametrize(
    ("answer", "version"),
    [
        (HEAD + b"ok\nversion change-7-0123456789ab\n", "change-7-0123456789ab"),
        (HEAD.replace(b"200 OK", b"503 Service Unavailable") + b"not ready\nversion 2-ab\n", "2-ab"),
        (HEAD + b"ok\n", None),  # a program without the line
        (HEAD + b"ok", None),
        (HEAD + b"ok\nother 7\n", None),
        (HEAD + b"version 7-ab\n", None),  # not the second line
        (HEAD + b"ok\nversion \n", None),
        (b"ok\nversion 7-ab\n", None),
        (b"", None),
    ],
)
def test_the_version_is_the_second_line_of_the_body(answer: bytes, version: str | None) -> None:
    assert version_of(answer) == version


def test_a_label_is_not_taken_for_one_that_begins_like_it() -> None:
    assert names("change-1-0123456789ab", "change-1")
    assert not names("change-12-0123456789ab", "change-1")
    assert not names("change-1-0123456789ab", "change-12")
    assert not names(None, "change-1")


def test_swaps_are_counted_by_the_process_where_it_tells() -> None:
    assert (taken("12-ab"), taken("change-1-ab"), taken(None)) == (12, None, None)
    assert swapped("1-ab", "19-cd") == 18
    assert swapped("3-ab", "3-ab") == 0
    assert swapped("1-ab", None) is None
    assert swapped(None, None) is None


def test_each_change_is_of_one_kind_and_makes_other_settings() -> None:
    changed = [settings_at(number, 24, 3) for number in range(2 * len(KINDS) + 1)]
    keys = {"aim": {"Services"}, "share": {"Orgs"}, "size": {"Instances"}, "class": {"Services"}}
    for number, (before, after) in enumerate(pairwise(changed), 1):
        assert {key for key in before if before[key] != after[key]} == keys[kind_of(number)]
    assert len({json.dumps(each) for each in changed}) == len(changed)
    assert [len(each["Services"]) for each in changed[3:9]] == [1, 2, 2, 2, 2, 1]
    following = [settings_at(number, 24, 3) for number in range(300)]
    assert all(before != after for before, after in pairwise(following))


def test_the_proxy_takes_every_file_and_names_its_label(tmp_path: Path) -> None:
    path = tmp_path / "n.json"
    known = {"index": 1, "snapshot": True, "endpoints": added.endpoints(3, [9])}
    config = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1",
        "limits": added.LIMITS,
        "known": known,
    }
    for number in range(60):
        put(path, config | {"version": f"change-{number}", "settings": settings_at(number, 4, 3)})
        assert names(load({"RELAY_CONFIG": str(path)}).version(1), f"change-{number}")
    assert [each.name for each in tmp_path.iterdir()] == ["n.json"]


def test_ages_count_what_was_in_force_in_time_and_what_was_not() -> None:
    ages = Ages()
    assert ages.worst() == 0.0
    assert ages.as_dict() == {"in_force": 0, "of": 0}
    for age in (0.01, 0.03, 0.02):
        ages.add(age, True)
    assert ages.worst() == 0.03
    ages.add(WITHIN + 0.2, True)  # too late
    ages.add(WITHIN + 0.1, False)
    told = ages.as_dict()
    assert (told["in_force"], told["of"], told["age"]["count"]) == (3, 5, 3)
    assert told["age"]["us"]["median"] == pytest.approx(20_000, rel=2e-3)
    assert ages.worst() == WITHIN + 0.2


def test_a_program_that_puts_nothing_in_force_breaks_the_budget_of_ages() -> None:
    ages = Ages()
    ages.add(WITHIN + 0.001, False)
    body = {"changes": {"worst": ages.worst()}, "points": [{"reload": 0.0}, {"reload": 0.0005}]}
    figures = figures_of(body)
    assert figures["settings_hold"] == 0.5
    assert check(figures, BUDGETS).broken == ("settings_age",)


def test_calls_that_ended_otherwise_than_with_200_are_lost() -> None:
    assert lost([{"200": 5, "503": 1}, {"200": 4, "lost": 2, "unanswered": 0}]) == {
        "calls": 12,
        "lost": 3,
        "otherwise": {"503": 1, "lost": 2},
    }
    assert lost([]) == {"calls": 0, "lost": 0, "otherwise": {}}


def test_both_sizes_end_at_the_whole_list_and_call_no_more_proxies_than_there_are() -> None:
    for size in (WHOLE, QUICK):
        assert size.rows[-1] == added.ALL
        assert size.called <= size.proxies


def test_a_tree_without_a_history_of_its_own_has_no_commit(tmp_path: Path) -> None:
    assert commit(tmp_path) == "unknown"
    assert commit(ROOT / "tests") == "unknown"  # not that of the tree around it
