"""The report of a trial of added latency: for the result file, for the budgets, and as one line of text.

The added latency is the difference of two quantiles, through the proxies and direct. That is not a quantile
of differences, since no call goes both ways.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from emulator.load.plan import SERVED, LoadReport, StreamReport
from emulator.measurement.latency import Distribution, Quantiles, merge
from emulator.runs.latency_trials import ALL_ROWS, AVERAGE_RATE, SERVICE_ROWS, WARMUP, Trial, fleet, one_proxy
from testbed.meter import MB

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from emulator.fleet.placement import Placement
    from emulator.measurement.json_values import JsonObject
    from testbed.processes import ProcessUsage

ALL_PROXIES = "all"  # the group of calls through any proxy

#: The trial whose 99th percentile is compared with each budget.
BUDGET_TRIALS = {
    "added_p99": one_proxy(AVERAGE_RATE, SERVICE_ROWS, 0.0).name,
    "added_p99_all_rows": one_proxy(AVERAGE_RATE, ALL_ROWS, 0.0).name,
    "added_p99_fleet": fleet(0.0).name,
}


@dataclass(slots=True, frozen=True)
class UsagePair:
    """What one process had used before and after the calls."""

    before: ProcessUsage
    after: ProcessUsage

    @property
    def processor(self) -> float:
        """Processor time spent between the two, in seconds."""
        return self.after.processor - self.before.processor

    @property
    def preemptions(self) -> int:
        """Involuntary context switches between the two."""
        return self.after.preemptions - self.before.preemptions


@dataclass(slots=True, frozen=True)
class TrialUsage:
    """What all processes of a trial used."""

    proxies: Sequence[UsagePair]
    backend: UsagePair
    load_generator: UsagePair


@dataclass(slots=True, frozen=True)
class ProxyReport:
    """One proxy's own figures, by their names in the result.

    Its processor time covers the warm-up, and its work that no call causes.
    """

    rate: float
    ended: Mapping[str, int]
    count: int
    us: Quantiles
    cpu_ms_per_call: float
    resident_mb: float
    resident_mb_before: float
    preempted: int

    @classmethod
    def of(cls, rate: float, stream: StreamReport, usage: UsagePair) -> ProxyReport:
        """Summarise the calls through one proxy, and what it used during them."""
        calls = sum(stream.ended.values())
        histogram = merge([stream.histogram])
        return cls(
            rate=rate,
            ended=stream.ended,
            count=int(histogram.get_total_count()),
            us=Quantiles.of(histogram),
            cpu_ms_per_call=1000.0 * usage.processor / max(1, calls),
            resident_mb=usage.after.resident / MB,
            resident_mb_before=usage.before.resident / MB,
            preempted=usage.preemptions,
        )


@dataclass(slots=True, frozen=True)
class Disturbance:
    """Signs that the cores were not the trial's own.

    The load generator polls without a pause: a gap between two polls, or being preempted, means that
    something else ran on its core.
    """

    stalls: int
    max_stall_us: int
    backend_preemptions: int
    load_generator_preemptions: int
    backend_core_share: float

    def as_dict(self) -> JsonObject:
        """Return plain values for the result, which calls the load generator a caller."""
        return {
            "caller_stalls": self.stalls,
            "caller_stall_us": self.max_stall_us,
            "backend_preempted": self.backend_preemptions,
            "caller_preempted": self.load_generator_preemptions,
            "backend_cpu": self.backend_core_share,
        }


@dataclass(slots=True, frozen=True)
class TrialReport:
    """A trial's figures; `through` and `added` are by group of proxies, of which `ALL_PROXIES` is one."""

    trial: Trial
    placement: Placement
    direct: Distribution
    direct_ended: Mapping[str, int]
    through: Mapping[str, Distribution]
    proxies: Sequence[ProxyReport]
    disturbance: Disturbance

    @classmethod
    def of(cls, trial: Trial, placement: Placement, load: LoadReport, usage: TrialUsage) -> TrialReport:
        """Summarise a trial; the streams are those through each proxy, in order, and then the direct one."""
        *through, direct = load.streams
        return cls(
            trial=trial,
            placement=placement,
            direct=Distribution.of(merge([direct.histogram])),
            direct_ended=direct.ended,
            through=_through(trial, through),
            proxies=[ProxyReport.of(*each) for each in zip(trial.rates, through, usage.proxies, strict=True)],
            disturbance=_disturbance(trial, load, usage),
        )

    def added(self) -> dict[str, Quantiles]:
        """Return by how much each quantile through the proxies lies above the direct one, by group."""
        return {name: group.us.above(self.direct.us) for name, group in self.through.items()}

    def as_dict(self) -> JsonObject:
        """Return plain values for the result."""
        return {
            "rows": self.trial.rows,
            "seconds": self.trial.seconds,
            "rates": list(self.trial.rates),
            "cores": {
                "backend": sorted(self.placement.backend),
                "caller": sorted(self.placement.load_generator),
                "proxies": [sorted(cores) for cores in self.placement.proxies],
                "one_process_each": self.placement.exclusive,
            },
            "direct": self.direct.as_dict() | {"rate": self.trial.direct, "ended": self.direct_ended},
            "through": {name: group.as_dict() for name, group in self.through.items()},
            "added_us": {name: quantiles.as_dict() for name, quantiles in self.added().items()},
            "proxies": [asdict(proxy) for proxy in self.proxies],
            "disturbed": self.disturbance.as_dict(),
        }

    def summary(self) -> str:
        """Return one line for people."""
        added = self.added()[ALL_PROXIES].as_dict()
        quantiles = ", ".join(f"{name} {value / 1000.0:.2f}" for name, value in added.items())
        processor = sum(proxy.cpu_ms_per_call for proxy in self.proxies) / len(self.proxies)
        resident = max(proxy.resident_mb for proxy in self.proxies)
        ended = [*(proxy.ended for proxy in self.proxies), self.direct_ended]
        failed = sum(sum(counts.values()) - counts.get(SERVED, 0) for counts in ended)
        return (
            f"{self.trial.name}: added ms: {quantiles}; "
            f"{self.through[ALL_PROXIES].count} calls, {failed} not served; "
            f"{processor:.2f} ms of processor a call, {resident:.0f} MB at most; "
            f"the load generator's core was taken {self.disturbance.stalls} times, "
            f"{self.disturbance.max_stall_us / 1000.0:.1f} ms at most"
        )


def _through(trial: Trial, streams: Sequence[StreamReport]) -> dict[str, Distribution]:
    """Group the calls through the proxies: all of them and, where their rates differ, those at each rate."""
    groups = {ALL_PROXIES: [stream.histogram for stream in streams]}
    rates = sorted(set(trial.rates))
    if len(rates) > 1:
        for rate in rates:
            groups[f"{rate:.0f}/s"] = [
                stream.histogram
                for stream, proxy_rate in zip(streams, trial.rates, strict=True)
                if proxy_rate == rate
            ]
    return {name: Distribution.of(merge(encoded)) for name, encoded in groups.items()}


def _disturbance(trial: Trial, load: LoadReport, usage: TrialUsage) -> Disturbance:
    return Disturbance(
        stalls=len(load.stalls_us),
        max_stall_us=max(load.stalls_us, default=0),
        backend_preemptions=usage.backend.preemptions,
        load_generator_preemptions=usage.load_generator.preemptions,
        backend_core_share=usage.backend.processor / (WARMUP + trial.seconds),
    )


def budget_figures(added: Mapping[str, Quantiles]) -> dict[str, float]:
    """Return the figures that have a budget, by its name: milliseconds added to 99 in 100 calls.

    Args:
        added: The latency added to all calls, by the trial's name; trials that did not run have no figure.
    """
    return {budget: added[trial].p99 / 1000.0 for budget, trial in BUDGET_TRIALS.items() if trial in added}
