"""The report of the run `settings`: activation delays, requests, processor time and memory."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from emulator.load.plan import SERVED
from emulator.measurement.latency import Distribution, histogram_of, to_microseconds

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from emulator.measurement.json_values import JsonObject

MAX_ACTIVATION_DELAY = 6.0  # seconds within which a change must be in force
MILLISECONDS_PER_SECOND = 1e3


@dataclass(slots=True, frozen=True)
class ActivationDelay:
    """The delay of one change at one proxy.

    Attributes:
        seconds: Time from the change until it was in force, or until the wait for it was given up.
        in_force: Whether the change came into force.
    """

    seconds: float
    in_force: bool


@dataclass(slots=True)
class ActivationDelays:
    """Delays of many changes at many proxies, in seconds.

    Attributes:
        in_force: Delays of the changes that came into force within `MAX_ACTIVATION_DELAY`.
        late: Delays, or waiting times, of all other changes.
    """

    in_force: list[float] = field(default_factory=list)
    late: list[float] = field(default_factory=list)

    def add(self, delay: ActivationDelay) -> None:
        """Add one change at one proxy; a late change counts like one that never came into force."""
        is_on_time = delay.in_force and delay.seconds <= MAX_ACTIVATION_DELAY
        (self.in_force if is_on_time else self.late).append(delay.seconds)

    def worst(self) -> float:
        """Return the longest delay in seconds; a lower bound if a change never came into force."""
        return max([*self.in_force, *self.late], default=0.0)

    def as_dict(self) -> JsonObject:
        """Return the counts, and the distribution of delays in `in_force`, as stored in the result file."""
        summary: JsonObject = {
            "in_force": len(self.in_force),
            "of": len(self.in_force) + len(self.late),
        }
        if self.in_force:
            summary["age"] = Distribution.of(histogram_of(map(to_microseconds, self.in_force))).as_dict()
        return summary


@dataclass(slots=True, frozen=True)
class ChangesReport:
    """Changes of settings under load.

    Attributes:
        changes: Number of changes made.
        delays: Activation delays of all changes.
        delays_by_kind: Activation delays of the changes of each kind.
    """

    changes: int
    delays: ActivationDelays
    delays_by_kind: Mapping[str, ActivationDelays]

    def as_dict(self) -> JsonObject:
        """Return the report as stored in the result file; kinds without a change are left out."""
        return {
            "changes": self.changes,
            "worst": self.delays.worst(),
            "all": self.delays.as_dict(),
            "by_kind": {
                kind: delays.as_dict() for kind, delays in self.delays_by_kind.items() if delays.worst()
            },
        }


@dataclass(slots=True, frozen=True)
class RequestOutcomes:
    """Outcomes of requests.

    Attributes:
        total: Number of requests.
        not_served: Number of requests that ended with a status other than 200, or without a status.
        not_served_by_outcome: The requests that were not served, by outcome.
    """

    total: int
    not_served: int
    not_served_by_outcome: Mapping[str, int]

    @classmethod
    def of(cls, outcome_counts: Iterable[Mapping[str, int]]) -> RequestOutcomes:
        """Add up the counts by outcome of several streams."""
        totals: Counter[str] = Counter()
        for stream_counts in outcome_counts:
            totals.update(stream_counts)
        not_served = {outcome: count for outcome, count in totals.items() if outcome != SERVED and count}
        return cls(sum(totals.values()), sum(not_served.values()), not_served)

    def as_dict(self) -> JsonObject:
        """Return the outcomes as stored in the result file."""
        return {"calls": self.total, "lost": self.not_served, "otherwise": self.not_served_by_outcome}


@dataclass(slots=True, frozen=True)
class RequestsReport:
    """Requests that were sent while settings changed.

    Attributes:
        outcomes: Their outcomes.
        rate: Requests a second at each proxy.
        proxies: Number of proxies that received requests.
        latency: Latencies of the served requests.
    """

    outcomes: RequestOutcomes
    rate: float
    proxies: int
    latency: Distribution

    def as_dict(self) -> JsonObject:
        """Return the report as stored in the result file."""
        return self.outcomes.as_dict() | {
            "rate": self.rate,
            "proxies": self.proxies,
            "latency": self.latency.as_dict(),
        }


@dataclass(slots=True, frozen=True)
class ReloadCost:
    """Processor time of one SIGHUP in seconds, without the processor time of an idle proxy.

    Attributes:
        endpoint_count: Length of the proxy's endpoint list.
        signals: Number of SIGHUPs with changed settings.
        swaps: How often the proxy replaced its settings; None if the proxy does not report it.
        reload: Cost of a SIGHUP with changed settings, including the reading of the file and its cached list.
        reread: Cost of a SIGHUP with unchanged settings.
        swap: Difference between `reload` and `reread`.
    """

    endpoint_count: int
    signals: int
    swaps: int | None
    reload: float
    reread: float
    swap: float

    def as_dict(self) -> JsonObject:
        """Return the cost as stored in the result file."""
        return {
            "rows": self.endpoint_count,
            "signals": self.signals,
            "swaps": self.swaps,
            "reload": self.reload,
            "reread": self.reread,
            "swap": self.swap,
        }


@dataclass(slots=True, frozen=True)
class MemoryGrowth:
    """Growth of a proxy's resident memory through reloads.

    Attributes:
        signals: Number of SIGHUPs.
        swaps: How often the proxy replaced its settings; None if the proxy does not report it.
        resident_mb: Resident memory before, during and after the reloads.
        growth_mb: Difference between the last and the first of these.
    """

    signals: int
    swaps: int | None
    resident_mb: Sequence[float]
    growth_mb: float

    def as_dict(self) -> JsonObject:
        """Return the figures as stored in the result file."""
        return {
            "signals": self.signals,
            "swaps": self.swaps,
            "resident_mb": self.resident_mb,
            "grew_mb": self.growth_mb,
        }


def budget_figures(worst_delay: float, cost: ReloadCost) -> dict[str, float]:
    """Return the figures that have a budget: worst activation delay in s, and cost of a reload in ms."""
    return {"settings_age": worst_delay, "settings_hold": MILLISECONDS_PER_SECOND * cost.reload}
