"""The report of a run of settings changes: ages, calls, processor time and memory, as its result has them."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

from emulator.load.plan import SERVED
from emulator.measurement.latency import Distribution, histogram_of, to_microseconds

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from emulator.measurement.json_values import JsonObject

MAX_AGE = 6.0  # seconds in which a change must be in force


@dataclass(slots=True, frozen=True)
class ChangeAge:
    """The age of one change at one proxy in seconds, when it came into force or was given up."""

    seconds: float
    in_force: bool


@dataclass(slots=True)
class Ages:
    """Ages of many changes at many proxies, in seconds.

    Attributes:
        in_force: Of those that came into force within `MAX_AGE`.
        given_up: How long the others were waited for.
    """

    in_force: list[float] = field(default_factory=list)
    given_up: list[float] = field(default_factory=list)

    def add(self, age: ChangeAge) -> None:
        """Add one change at one proxy; one that is too late counts as one that never came into force."""
        on_time = age.in_force and age.seconds <= MAX_AGE
        (self.in_force if on_time else self.given_up).append(age.seconds)

    def worst(self) -> float:
        """Return the oldest in seconds; where some were given up, it is at least that."""
        return max([*self.in_force, *self.given_up], default=0.0)

    def as_dict(self) -> JsonObject:
        """Return counts, and the distribution of those in force, as plain values for the result."""
        found: JsonObject = {
            "in_force": len(self.in_force),
            "of": len(self.in_force) + len(self.given_up),
        }
        if self.in_force:
            found["age"] = Distribution.of(histogram_of(map(to_microseconds, self.in_force))).as_dict()
        return found


@dataclass(slots=True, frozen=True)
class ChangesReport:
    """How many changes were made, and how old they were when in force, in all and by kind."""

    changes: int
    all: Ages
    by_kind: Mapping[str, Ages]

    def as_dict(self) -> JsonObject:
        """Return plain values for the result; kinds of which there was no change are left out."""
        return {
            "changes": self.changes,
            "worst": self.all.worst(),
            "all": self.all.as_dict(),
            "by_kind": {kind: ages.as_dict() for kind, ages in self.by_kind.items() if ages.worst()},
        }


@dataclass(slots=True, frozen=True)
class CallOutcomes:
    """How many calls were made, and how many of them ended with another status than 200, or with none.

    Attributes:
        calls: All calls.
        lost: Those that were not served.
        otherwise: The latter, by outcome.
    """

    calls: int
    lost: int
    otherwise: Mapping[str, int]

    @classmethod
    def of(cls, ended: Iterable[Mapping[str, int]]) -> CallOutcomes:
        """Sum the counts of several streams, by outcome."""
        total: Counter[str] = Counter()
        for counts in ended:
            total.update(counts)
        otherwise = {outcome: count for outcome, count in total.items() if outcome != SERVED and count}
        return cls(sum(total.values()), sum(otherwise.values()), otherwise)


@dataclass(slots=True, frozen=True)
class CallsReport:
    """The outcomes and latencies of the calls that were made while settings changed."""

    outcomes: CallOutcomes
    rate: float
    proxies: int
    latency: Distribution

    def as_dict(self) -> JsonObject:
        """Return plain values for the result."""
        return asdict(self.outcomes) | {
            "rate": self.rate,
            "proxies": self.proxies,
            "latency": self.latency.as_dict(),
        }


@dataclass(slots=True, frozen=True)
class ReloadCost:
    """Processor seconds of one SIGHUP, net of what the proxy spends idle, at an endpoint list of `rows`.

    Attributes:
        rows: Rows of the endpoint list.
        signals: SIGHUPs sent with other settings.
        swaps: How often the settings were replaced by them; None where the proxy does not report it.
        reload: Of a SIGHUP with other settings, reading the file and its known list included.
        reread: Of a SIGHUP with the same settings.
        swap: The difference between these.
    """

    rows: int
    signals: int
    swaps: int | None
    reload: float
    reread: float
    swap: float


@dataclass(slots=True, frozen=True)
class MemoryGrowth:
    """Resident memory of a proxy in MB before, amid and after reloads, and by how much it grew."""

    signals: int
    swaps: int | None
    resident_mb: Sequence[float]
    grew_mb: float


def budget_figures(worst_age: float, cost: ReloadCost) -> dict[str, float]:
    """Return the budgets' figures: the oldest change in seconds, a reload's processor time in ms."""
    return {"settings_age": worst_age, "settings_hold": 1e3 * cost.reload}
