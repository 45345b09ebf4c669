"""The budgets of the target, which of them are met today, and the verdict on a set of figures.

Figures come from the runs, by the names that the budgets have here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


@dataclass(slots=True, frozen=True)
class Budget:
    """One limit.

    Attributes:
        figure: The name that runs give their figure.
        name: What is limited, in words.
        limit: The most that the figure may be.
        unit: Of the limit.
        enforced: Whether the target is met today, so that a figure over the limit is a failure.
        reason: Why the figure is what it is.
    """

    figure: str
    name: str
    limit: float
    unit: str
    enforced: bool
    reason: str


KEEPALIVE_PAUSE = "an upstream connection pauses after a response, and a call waits for that"
BUDGETS = (
    Budget(
        figure="processor_mean",
        name="processor time for control, mean over the day",
        limit=4.7,
        unit="% of a core",
        enforced=True,
        reason="2,900 changes a day are one in 30 s",
    ),
    Budget(
        figure="processor_worst",
        name="processor time for control, worst 10 s",
        limit=4.7,
        unit="% of a core",
        enforced=False,
        reason="a zone that arrives row by row rebuilds the full list at each row",
    ),
    Budget(
        figure="memory",
        name="resident memory of a proxy without calls",
        limit=64.0,
        unit="MB",
        enforced=True,
        reason="one list and the interpreter",
    ),
    Budget(
        figure="bytes_mean",
        name="bytes for control, mean over the day",
        limit=4096.0,
        unit="B/s",
        enforced=True,
        reason="a change is sent by itself, not with the full list",
    ),
    Budget(
        figure="bytes_worst",
        name="bytes for control, worst 10 s",
        limit=4096.0,
        unit="B/s",
        enforced=False,
        reason="a registry that has lost its log sends the full list",
    ),
    Budget(
        figure="change_age",
        name="age of a change at the last proxy",
        limit=6.0,
        unit="s",
        enforced=True,
        reason="changes at the rate of the run, no cut",
    ),
    Budget(
        figure="change_hold",
        name="one changed row holds the loop of a proxy that sees all rows",
        limit=1.1,
        unit="ms",
        enforced=False,
        reason="the list of ready endpoints, the groups and the subset are rebuilt at each change",
    ),
    Budget(
        figure="settings_age",
        name="age of a change of settings at the last proxy",
        limit=6.0,
        unit="s",
        enforced=True,
        reason="a file is read and applied in one go",
    ),
    Budget(
        figure="settings_hold",
        name="one change of settings holds the loop of a proxy that sees all rows",
        limit=1.1,
        unit="ms",
        enforced=False,
        reason="the list is arranged anew at each swap",
    ),
    Budget(
        figure="added_p99",
        name="added to a call, 99 in 100",
        limit=1.1,
        unit="ms",
        enforced=False,
        reason=KEEPALIVE_PAUSE,
    ),
    Budget(
        figure="added_p99_all_rows",
        name="added to a call, 99 in 100, where a proxy sees all rows",
        limit=1.1,
        unit="ms",
        enforced=False,
        reason=KEEPALIVE_PAUSE,
    ),
    Budget(
        figure="added_p99_fleet",
        name="added to a call, 99 in 100, at many proxies at once",
        limit=1.1,
        unit="ms",
        enforced=False,
        reason=KEEPALIVE_PAUSE,
    ),
)


@dataclass(slots=True, frozen=True)
class Verdict:
    """Which budgets a set of figures meets.

    Attributes:
        checked: Figures that were compared with their budgets.
        unchecked: Budgets that had no figure.
        over: One text for each figure over its limit.
        violated: Those figures over their limits whose budgets are enforced.
    """

    checked: tuple[str, ...]
    unchecked: tuple[str, ...]
    over: tuple[str, ...]
    violated: tuple[str, ...]

    def line(self) -> str:
        """Return one line for people."""
        over = "; ".join(self.over) or "none"
        missing = f"; not checked: {', '.join(self.unchecked)}" if self.unchecked else ""
        return f"checked {len(self.checked)} budgets ({', '.join(self.checked)}){missing}; over: {over}"


def check_budgets(figures: Mapping[str, float], budgets: Iterable[Budget] = BUDGETS) -> Verdict:
    """Compare figures with the budgets that they belong to."""
    checked, unchecked, over, violated = [], [], [], []
    for budget in budgets:
        if budget.figure not in figures:
            unchecked.append(budget.figure)
            continue
        checked.append(budget.figure)
        figure = figures[budget.figure]
        if figure <= budget.limit:
            continue
        standing = "said to be held" if budget.enforced else "known"
        over.append(f"{budget.figure} {figure:.3g} of {budget.limit:g} {budget.unit} ({standing})")
        if budget.enforced:
            violated.append(budget.figure)
    return Verdict(tuple(checked), tuple(unchecked), tuple(over), tuple(violated))
