"""Tests of the list of known failures: its format, its limit, and the tests that an entry names."""

import pytest

from tests.support import known_red

LINE = "tests/test_a.py::test_b | pytest, seed 3 | 2 of 5 lost | issue 1"


def test_entry_matches_its_test_with_all_parameters_and_no_other_test() -> None:
    [entry] = known_red.parse(f"\n{LINE}\n")
    assert (entry.command, entry.seen, entry.issue) == ("pytest, seed 3", "2 of 5 lost", "issue 1")
    assert entry.names("tests/test_a.py::test_b")
    assert entry.names("tests/test_a.py::test_b[x]")
    assert not entry.names("tests/test_a.py::test_bc")


@pytest.mark.parametrize(
    "text", ["tests/test_a.py::test_b", f"{LINE} | more", "a | | c | d", "a | b | c", "\n".join([LINE] * 4)]
)
def test_malformed_line_or_a_fourth_entry_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match=r"form|known failures"):
        known_red.parse(text)


def test_entry_that_names_no_test_is_reported() -> None:
    entries = known_red.parse(LINE)
    assert known_red.unmatched(entries, ["tests/test_a.py::test_c"]) == entries
    assert known_red.unmatched(entries, ["tests/test_a.py::test_b[1]"]) == []


def test_script_is_listed_without_a_test_and_matches_none() -> None:
    entries = known_red.parse(f"review/1/run.sh | no seed | a wrong answer | issue 39\n{LINE}")
    assert [entry.is_collected for entry in entries] == [False, True]
    assert known_red.unmatched(entries, ["tests/test_a.py::test_b"]) == []
    assert known_red.unmatched(entries, []) == [entries[1]]
