"""The report of one scenario of added latency: for the result file, the budgets, and the progress output.

The added latency is the difference between two quantiles: that of requests through the proxies, and that of
direct requests. It is not a quantile of differences, because no request takes both ways.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from emulator.load.plan import SERVED, LoadReport, StreamReport
from emulator.measurement.latency import Distribution, Quantiles, merge
from emulator.runs.latency_scenarios import (
    ALL_ENDPOINTS,
    AVERAGE_RATE,
    SERVICE_ENDPOINTS,
    WARMUP,
    Scenario,
    fleet_scenario,
    one_proxy_scenario,
)
from testbed.meter import MB

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from emulator.fleet.placement import Placement
    from emulator.measurement.json_values import JsonObject
    from testbed.processes import ProcessUsage

ALL_PROXIES = "all"  # name of the group of requests through any proxy

#: The name of the scenario whose 99th percentile is compared with each budget, by the figure's name.
BUDGET_SCENARIOS = {
    "added_p99": one_proxy_scenario(AVERAGE_RATE, SERVICE_ENDPOINTS, 0.0).name,
    "added_p99_all_rows": one_proxy_scenario(AVERAGE_RATE, ALL_ENDPOINTS, 0.0).name,
    "added_p99_fleet": fleet_scenario(0.0).name,
}


@dataclass(slots=True, frozen=True)
class UsagePair:
    """Resource usage of one process before and after the requests."""

    before: ProcessUsage
    after: ProcessUsage

    @property
    def processor_seconds(self) -> float:
        """Processor time spent between the two readings."""
        return self.after.processor - self.before.processor

    @property
    def preemptions(self) -> int:
        """Involuntary context switches between the two readings."""
        return self.after.preemptions - self.before.preemptions


@dataclass(slots=True, frozen=True)
class ScenarioUsage:
    """Resource usage of all processes of a scenario."""

    proxies: Sequence[UsagePair]
    backend: UsagePair
    load_generator: UsagePair


@dataclass(slots=True, frozen=True)
class ProxyReport:
    """Figures of one proxy; the field names are keys of the result file.

    Attributes:
        rate: Requests a second.
        ended: Number of requests by outcome.
        count: Number of measured requests that were served.
        us: Quantiles of their latency in microseconds.
        cpu_ms_per_call: Processor time for each request in milliseconds. It includes the warm-up and the work
            that is not caused by requests.
        resident_mb: Resident memory after the requests.
        resident_mb_before: Resident memory before the requests.
        preempted: Involuntary context switches.
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
        """Summarize the requests through one proxy, and its resource usage during them."""
        request_count = sum(stream.outcome_counts.values())
        histogram = merge([stream.histogram])
        return cls(
            rate=rate,
            ended=stream.outcome_counts,
            count=int(histogram.get_total_count()),
            us=Quantiles.of(histogram),
            cpu_ms_per_call=1000.0 * usage.processor_seconds / max(1, request_count),
            resident_mb=usage.after.resident / MB,
            resident_mb_before=usage.before.resident / MB,
            preempted=usage.preemptions,
        )


@dataclass(slots=True, frozen=True)
class Interference:
    """Signs that other processes ran on the cores of the scenario.

    The load generator polls without a pause. A gap between two polls, or a preemption, means that something
    else ran on its core.

    Attributes:
        stalls: Number of gaps between two polls of the load generator.
        max_stall_us: Longest of these gaps in microseconds.
        backend_preemptions: Involuntary context switches of the backend.
        load_generator_preemptions: Involuntary context switches of the load generator.
        backend_core_share: Processor time of the backend as a fraction of the run time.
    """

    stalls: int
    max_stall_us: int
    backend_preemptions: int
    load_generator_preemptions: int
    backend_core_share: float

    def as_dict(self) -> JsonObject:
        """Return the figures as stored in the result file, where "caller" is the load generator."""
        return {
            "caller_stalls": self.stalls,
            "caller_stall_us": self.max_stall_us,
            "backend_preempted": self.backend_preemptions,
            "caller_preempted": self.load_generator_preemptions,
            "backend_cpu": self.backend_core_share,
        }


@dataclass(slots=True, frozen=True)
class ScenarioReport:
    """Figures of a scenario.

    Attributes:
        scenario: The scenario.
        placement: The cores of its processes.
        direct: Latencies of the direct requests.
        direct_outcome_counts: Number of direct requests by outcome.
        through: Latencies of the requests through proxies, by group; `ALL_PROXIES` is one of the groups.
        proxies: Figures of each proxy.
        interference: Signs that other processes ran on the cores.
    """

    scenario: Scenario
    placement: Placement
    direct: Distribution
    direct_outcome_counts: Mapping[str, int]
    through: Mapping[str, Distribution]
    proxies: Sequence[ProxyReport]
    interference: Interference

    @classmethod
    def of(
        cls, scenario: Scenario, placement: Placement, load: LoadReport, usage: ScenarioUsage
    ) -> ScenarioReport:
        """Summarize a scenario; `load` has one stream for each proxy in order, and then the direct one."""
        *proxy_streams, direct_stream = load.streams
        return cls(
            scenario=scenario,
            placement=placement,
            direct=Distribution.of(merge([direct_stream.histogram])),
            direct_outcome_counts=direct_stream.outcome_counts,
            through=_latencies_by_group(scenario, proxy_streams),
            proxies=[
                ProxyReport.of(rate, stream, proxy_usage)
                for rate, stream, proxy_usage in zip(
                    scenario.proxy_rates, proxy_streams, usage.proxies, strict=True
                )
            ],
            interference=_interference(scenario, load, usage),
        )

    def added_latency(self) -> dict[str, Quantiles]:
        """Return the difference of each quantile through the proxies to the direct one, by group."""
        return {name: group.us.difference_to(self.direct.us) for name, group in self.through.items()}

    def as_dict(self) -> JsonObject:
        """Return the report as stored in the result file."""
        return {
            "rows": self.scenario.endpoint_count,
            "seconds": self.scenario.seconds,
            "rates": list(self.scenario.proxy_rates),
            "cores": {
                "backend": sorted(self.placement.backend),
                "caller": sorted(self.placement.load_generator),
                "proxies": [sorted(cores) for cores in self.placement.proxies],
                "one_process_each": self.placement.exclusive,
            },
            "direct": self.direct.as_dict()
            | {"rate": self.scenario.direct_rate, "ended": self.direct_outcome_counts},
            "through": {name: group.as_dict() for name, group in self.through.items()},
            "added_us": {name: quantiles.as_dict() for name, quantiles in self.added_latency().items()},
            "proxies": [asdict(proxy) for proxy in self.proxies],
            "disturbed": self.interference.as_dict(),
        }

    def summary(self) -> str:
        """Return a summary in one line."""
        added_us = self.added_latency()[ALL_PROXIES].as_dict()
        added_ms = ", ".join(f"{name} {value / 1000.0:.2f}" for name, value in added_us.items())
        cpu_ms_per_request = sum(proxy.cpu_ms_per_call for proxy in self.proxies) / len(self.proxies)
        max_resident_mb = max(proxy.resident_mb for proxy in self.proxies)
        outcome_counts = [*(proxy.ended for proxy in self.proxies), self.direct_outcome_counts]
        not_served = sum(sum(counts.values()) - counts.get(SERVED, 0) for counts in outcome_counts)
        return (
            f"{self.scenario.name}: added ms: {added_ms}; "
            f"{self.through[ALL_PROXIES].count} requests, {not_served} not served; "
            f"{cpu_ms_per_request:.2f} ms of processor time a request, "
            f"{max_resident_mb:.0f} MB resident at most; "
            f"the load generator stalled {self.interference.stalls} times, "
            f"{self.interference.max_stall_us / 1000.0:.1f} ms at most"
        )


def _latencies_by_group(scenario: Scenario, streams: Sequence[StreamReport]) -> dict[str, Distribution]:
    """Group the requests through proxies: those of all proxies and, if rates differ, those at each rate."""
    histograms = {ALL_PROXIES: [stream.histogram for stream in streams]}
    rates = sorted(set(scenario.proxy_rates))
    if len(rates) > 1:
        for rate in rates:
            histograms[f"{rate:.0f}/s"] = [
                stream.histogram
                for stream, proxy_rate in zip(streams, scenario.proxy_rates, strict=True)
                if proxy_rate == rate
            ]
    return {name: Distribution.of(merge(encoded)) for name, encoded in histograms.items()}


def _interference(scenario: Scenario, load: LoadReport, usage: ScenarioUsage) -> Interference:
    return Interference(
        stalls=len(load.stalls_us),
        max_stall_us=max(load.stalls_us, default=0),
        backend_preemptions=usage.backend.preemptions,
        load_generator_preemptions=usage.load_generator.preemptions,
        backend_core_share=usage.backend.processor_seconds / (WARMUP + scenario.seconds),
    )


def budget_figures(added_latencies: Mapping[str, Quantiles]) -> dict[str, float]:
    """Return the figures that have a budget: the 99th percentile of the added latency in milliseconds.

    Args:
        added_latencies: Added latency of all requests by scenario name. A scenario that did not run has no
            figure.
    """
    return {
        figure: added_latencies[name].p99 / 1000.0
        for figure, name in BUDGET_SCENARIOS.items()
        if name in added_latencies
    }
