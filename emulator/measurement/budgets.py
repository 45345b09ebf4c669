"""The budgets of the target deployment, and the check of measured figures against them.

Each run returns its figures by the names that `Budget.figure` has here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


@dataclass(slots=True, frozen=True)
class Budget:
    """The limit of one figure.

    Attributes:
        figure: Name of the figure in the results of the runs.
        name: Description of the figure.
        limit: The highest allowed value.
        unit: Unit of the limit.
        enforced: Whether a figure over the limit is a failure; False if the limit is not met yet.
        reason: What determines the figure.
    """

    figure: str
    name: str
    limit: float
    unit: str
    enforced: bool
    reason: str


KEEPALIVE_PAUSE = "a request waits while the upstream connection pauses after its previous response"
BUDGETS = (
    Budget(
        figure="processor_mean",
        name="processor time for control, mean over the day",
        limit=4.7,
        unit="% of a core",
        enforced=True,
        reason="2,900 changes a day are one change every 30 s",
    ),
    Budget(
        figure="processor_worst",
        name="processor time for control, worst 10 s",
        limit=4.7,
        unit="% of a core",
        enforced=False,
        reason="if the entries of a zone arrive one by one, the list is rebuilt for each entry",
    ),
    Budget(
        figure="memory",
        name="resident memory of a proxy without calls",
        limit=64.0,
        unit="MB",
        enforced=True,
        reason="one endpoint list and the interpreter",
    ),
    Budget(
        figure="bytes_mean",
        name="bytes for control, mean over the day",
        limit=4096.0,
        unit="B/s",
        enforced=True,
        reason="a change is sent as a delta, not as the complete list",
    ),
    Budget(
        figure="bytes_worst",
        name="bytes for control, worst 10 s",
        limit=4096.0,
        unit="B/s",
        enforced=False,
        reason="a registry that has lost its log sends the complete list",
    ),
    Budget(
        figure="change_age",
        name="age of a change at the last proxy",
        limit=6.0,
        unit="s",
        enforced=True,
        reason="changes at the rate of the run, without a network partition",
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
        reason="a configuration file is read and applied in one step",
    ),
    Budget(
        figure="settings_hold",
        name="one change of settings holds the loop of a proxy that sees all rows",
        limit=1.1,
        unit="ms",
        enforced=False,
        reason="the endpoint list is rebuilt each time that the settings are replaced",
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
    """Result of checking a set of figures against the budgets.

    Attributes:
        checked: Figures that were compared with their budgets.
        unchecked: Figures that have a budget but were not measured.
        over_limit: A description of each figure over its limit.
        violated: Figures over an enforced limit.
    """

    checked: tuple[str, ...]
    unchecked: tuple[str, ...]
    over_limit: tuple[str, ...]
    violated: tuple[str, ...]

    def line(self) -> str:
        """Return a summary in one line."""
        over_limit = "; ".join(self.over_limit) or "none"
        not_checked = f"; not checked: {', '.join(self.unchecked)}" if self.unchecked else ""
        checked = f"checked {len(self.checked)} budgets ({', '.join(self.checked)})"
        return f"{checked}{not_checked}; over: {over_limit}"


def check_budgets(figures: Mapping[str, float], budgets: Iterable[Budget] = BUDGETS) -> Verdict:
    """Compare measured figures with their budgets."""
    checked, unchecked, over_limit, violated = [], [], [], []
    for budget in budgets:
        if budget.figure not in figures:
            unchecked.append(budget.figure)
            continue
        checked.append(budget.figure)
        figure = figures[budget.figure]
        if figure <= budget.limit:
            continue
        severity = "violation" if budget.enforced else "known"
        over_limit.append(f"{budget.figure} {figure:.3g} of {budget.limit:g} {budget.unit} ({severity})")
        if budget.enforced:
            violated.append(budget.figure)
    return Verdict(tuple(checked), tuple(unchecked), tuple(over_limit), tuple(violated))
