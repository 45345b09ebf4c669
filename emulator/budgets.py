"""The budgets of the target, which of them are held today, and what a set of figures says of them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Budget:
    """One limit: `figure` is the name that runs give their figure; `held` says whether it must hold today."""

    figure: str
    name: str
    limit: float
    unit: str
    held: bool
    reason: str


REST = "a connection rests after an answer, and a call waits for that"
BUDGETS = (
    Budget(
        "processor_mean",
        "processor time for control, mean over the day",
        4.7,
        "% of a core",
        True,
        "2,900 changes a day are one in 30 s",
    ),
    Budget(
        "processor_worst",
        "processor time for control, worst 10 s",
        4.7,
        "% of a core",
        False,
        "a zone told row by row rebuilds the whole list at each row",
    ),
    Budget(
        "memory", "resident memory of a proxy without calls", 64.0, "MB", True, "one list and the interpreter"
    ),
    Budget(
        "bytes_mean",
        "bytes for control, mean over the day",
        4096.0,
        "B/s",
        True,
        "a change is told by itself, not with the whole list",
    ),
    Budget(
        "bytes_worst",
        "bytes for control, worst 10 s",
        4096.0,
        "B/s",
        False,
        "a control machine that has lost its log tells the whole list",
    ),
    Budget(
        "change_age",
        "age of a change at the last proxy",
        6.0,
        "s",
        True,
        "changes at the rate of the run, no cut",
    ),
    Budget(
        "change_hold",
        "one changed row holds the loop of a proxy that sees all rows",
        1.1,
        "ms",
        False,
        "the ready list, the groups and the subset are rebuilt at each change",
    ),
    Budget(
        "settings_age",
        "age of a change of settings at the last proxy",
        6.0,
        "s",
        True,
        "a file is read and taken over in one go",
    ),
    Budget(
        "settings_hold",
        "one change of settings holds the loop of a proxy that sees all rows",
        1.1,
        "ms",
        False,
        "the list is arranged anew at each swap",
    ),
    Budget("added_p99", "added to a call, 99 in 100", 1.1, "ms", False, REST),
    Budget(
        "added_p99_all_rows",
        "added to a call, 99 in 100, where a proxy sees all rows",
        1.1,
        "ms",
        False,
        REST,
    ),
    Budget("added_p99_fleet", "added to a call, 99 in 100, at many proxies at once", 1.1, "ms", False, REST),
)


@dataclass(slots=True, frozen=True)
class Verdict:
    """What was checked, what was not, what was over; `broken` are those over that are said to be held."""

    checked: tuple[str, ...]
    unchecked: tuple[str, ...]
    over: tuple[str, ...]
    broken: tuple[str, ...]

    def line(self) -> str:
        """One line for people."""
        over = "; ".join(self.over) or "none"
        missing = f"; not checked: {', '.join(self.unchecked)}" if self.unchecked else ""
        return f"checked {len(self.checked)} budgets ({', '.join(self.checked)}){missing}; over: {over}"


def check(figures: Mapping[str, float], budgets: Iterable[Budget] = BUDGETS) -> Verdict:
    """Compare figures with the budgets that they speak of."""
    checked, unchecked, over, broken = [], [], [], []
    for budget in budgets:
        if budget.figure not in figures:
            unchecked.append(budget.figure)
            continue
        checked.append(budget.figure)
        figure = figures[budget.figure]
        if figure <= budget.limit:
            continue
        stand = "said to be held" if budget.held else "known"
        over.append(f"{budget.figure} {figure:.3g} of {budget.limit:g} {budget.unit} ({stand})")
        if budget.held:
            broken.append(budget.figure)
    return Verdict(tuple(checked), tuple(unchecked), tuple(over), tuple(broken))
