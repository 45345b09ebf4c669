"""What an event costs a simulated fleet, and how old changes are when they have been applied everywhere.

A proxy of a real fleet has a core of its own; here many share one, so an age includes the wait for the
others of the same process. The module owns the figures and their form in a result; `fleet_events` has the
events.
"""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass
from typing import Any

import psutil
from hdrh.histogram import HdrHistogram

from emulator.change_ages import MICROSECONDS, AgeReport, age_histogram, record_age
from emulator.meter import MB, WORST_WINDOW
from emulator.registry import RegistryUsage
from emulator.runs.fleet_events import FleetEvent
from emulator.runs.simulated_fleet import SimulatedFleet
from emulator.usage_sampler import UsageSampler

MAX_MEMORY_FRACTION = 0.5  # of this machine's, beyond which a run ends
APPLY_TIMEOUT = 60.0  # seconds that a change may take to be applied everywhere before it counts as missing


@dataclass(slots=True, frozen=True)
class AgeSummary:
    """A histogram of ages; seconds, which are None where it is empty."""

    count: int
    median: float | None = None
    p99: float | None = None
    worst: float | None = None
    hdr: str | None = None  # the encoded histogram, in microseconds

    @classmethod
    def of(cls, histogram: HdrHistogram) -> AgeSummary:
        """Summarize a histogram of microseconds."""
        count = histogram.get_total_count()
        if not count:
            return cls(0)
        return cls(
            count=count,
            median=histogram.get_value_at_percentile(50.0) / MICROSECONDS,
            p99=histogram.get_value_at_percentile(99.0) / MICROSECONDS,
            worst=histogram.get_max_value() / MICROSECONDS,
            hdr=histogram.encode().decode(),
        )

    def as_dict(self) -> dict[str, Any]:
        """The summary as a result holds it: without the figures that an empty one lacks."""
        return {name: value for name, value in asdict(self).items() if value is not None}


@dataclass(slots=True, frozen=True)
class EventAges:
    """Ages of an event's versions.

    Attributes:
        everywhere: At all proxies.
        at_last: At the last proxy to apply each version.
        missing: How many times a proxy hasn't applied a version that concerns it.
    """

    everywhere: AgeSummary
    at_last: AgeSummary
    missing: int

    @classmethod
    def of(cls, reports: list[AgeReport]) -> EventAges:
        """Merge the reports of all hosts."""
        everywhere, at_last = age_histogram(), age_histogram()
        oldest: dict[int, float] = {}
        for report in reports:
            everywhere.decode_and_add(report.histogram)
            for version, age in report.oldest.items():
                oldest[version] = max(oldest.get(version, 0.0), age)
        for age in oldest.values():
            if age > 0.0:  # a change that concerns no proxy has no last one
                record_age(at_last, age)
        missing = sum(report.missing for report in reports)
        return cls(AgeSummary.of(everywhere), AgeSummary.of(at_last), missing)

    def as_dict(self) -> dict[str, Any]:
        """The ages as a result holds them."""
        return {
            "all": self.everywhere.as_dict(),
            "last": self.at_last.as_dict(),
            "missing": self.missing,
        }


@dataclass(slots=True, frozen=True)
class ProxyFigures:
    """What an event costs a proxy; fields are named as in results.

    Attributes:
        processor_mean: Percent of a core over the event.
        processor_worst: Percent of a core in the worst window, in the process with the most for a proxy.
        lists_worst: Percent of a core that lists alone cost the proxy with the most, in its worst window.
        processor_each: Seconds of processor time for a version.
        bytes_mean: Bytes a second over the event.
        bytes_worst: Bytes a second in the worst window, from the machine that sent each watch the most.
        bytes_each: Bytes for a version.
    """

    processor_mean: float
    processor_worst: float
    lists_worst: float
    processor_each: float
    bytes_mean: float
    bytes_worst: float
    bytes_each: float


@dataclass(slots=True, frozen=True)
class MachineCost:
    """What an event costs a control machine.

    Attributes:
        processor: Processor time in seconds.
        sent_bytes: Bytes sent.
        open_watches: Watches open at its end.
        started_watches: Watches begun.
        snapshots: Complete lists sent.
        processor_worst: Percent of a core in the worst window.
    """

    processor: float
    sent_bytes: int
    open_watches: int
    started_watches: int
    snapshots: int
    processor_worst: float

    @classmethod
    def between(cls, before: RegistryUsage, after: RegistryUsage, processor_worst: float) -> MachineCost:
        """The cost between two readings."""
        return cls(
            processor=after.processor - before.processor,
            sent_bytes=after.traffic.sent_bytes - before.traffic.sent_bytes,
            open_watches=after.open_watches,
            started_watches=after.traffic.watches - before.traffic.watches,
            snapshots=after.traffic.snapshots - before.traffic.snapshots,
            processor_worst=processor_worst,
        )

    def as_dict(self) -> dict[str, Any]:
        """The cost as a result holds it."""
        return {
            "processor": self.processor,
            "sent": self.sent_bytes,
            "watches": self.open_watches,
            "begun": self.started_watches,
            "wholes": self.snapshots,
            "worst": self.processor_worst,
        }


@dataclass(slots=True, frozen=True)
class EventMeasurement:
    """What an event cost.

    Attributes:
        seconds: From its beginning until it was applied everywhere.
        applied_after: Seconds from its end until it was applied everywhere.
        versions: How many versions were published.
        is_complete: Whether every proxy applied all that concerns it in time.
        ages: The ages of its versions.
        proxy: What it cost a proxy.
        resident_mb: The most resident memory of all processes together.
        machines: What it cost each control machine.
    """

    seconds: float
    applied_after: float
    versions: int
    is_complete: bool
    ages: EventAges
    proxy: ProxyFigures
    resident_mb: float
    machines: list[MachineCost]

    def as_dict(self) -> dict[str, Any]:
        """The measurement as a result holds it."""
        return {
            "seconds": self.seconds,
            "taken_in_after": self.applied_after,
            "versions": self.versions,
            "whole": self.is_complete,
            "age": self.ages.as_dict(),
            "proxy": asdict(self.proxy),
            "resident_mb": self.resident_mb,
            "machines": [machine.as_dict() for machine in self.machines],
        }


def measure(fleet: SimulatedFleet, event: FleetEvent) -> EventMeasurement:
    """Let an event happen, wait until it is applied everywhere, and say what it cost.

    Raises:
        RuntimeError: The processes take too much of this machine's memory.
    """
    fleet.forget_publications()
    before, started = fleet.machine_usages(), time.monotonic()
    with UsageSampler([*fleet.hosts, *fleet.machines]) as sampler:
        event(fleet)
        happened = time.monotonic()
        is_complete = fleet.wait_until_applied(APPLY_TIMEOUT)
        ended = time.monotonic()
    resident = sum(sampler.peak_memory)
    _check_memory(resident)
    lists_worst = 100.0 * fleet.worst_list_cost(started, ended) / WORST_WINDOW
    machines = _machine_costs(before, fleet.machine_usages(), sampler)
    return EventMeasurement(
        seconds=ended - started,
        applied_after=ended - happened,
        versions=len(fleet.publications),
        is_complete=is_complete,
        ages=EventAges.of(fleet.age_reports()),
        proxy=_proxy_figures(fleet, sampler, machines, ended - started, lists_worst),
        resident_mb=resident / MB,
        machines=machines,
    )


def _check_memory(resident: int) -> None:
    if resident > MAX_MEMORY_FRACTION * psutil.virtual_memory().total:
        raise RuntimeError(f"the processes take {resident / MB:.0f} MB")


def _machine_costs(
    before: list[RegistryUsage], after: list[RegistryUsage], sampler: UsageSampler
) -> list[MachineCost]:
    series = sampler.processor[-len(after) :]  # the hosts' come first
    return [
        MachineCost.between(first, last, 100.0 * each.worst())
        for first, last, each in zip(before, after, series, strict=True)
    ]


def _proxy_figures(
    fleet: SimulatedFleet,
    sampler: UsageSampler,
    machines: list[MachineCost],
    seconds: float,
    lists_worst: float,
) -> ProxyFigures:
    proxies, versions = fleet.plan.proxies, max(1, len(fleet.publications))
    hosts = sampler.processor[: len(fleet.hosts)]
    processor = sum(series.growth() for series in hosts)
    worst_shares = [series.worst() / held for series, held in zip(hosts, fleet.proxies_per_host, strict=True)]
    sent_bytes = sum(machine.sent_bytes for machine in machines)
    worst_bytes = max(machine.sent_bytes / max(1, machine.open_watches) for machine in machines)
    return ProxyFigures(
        processor_mean=100.0 * processor / proxies / seconds,
        processor_worst=100.0 * max(worst_shares),
        lists_worst=lists_worst,
        processor_each=processor / proxies / versions,
        bytes_mean=sent_bytes / proxies / seconds,
        bytes_worst=worst_bytes / max(WORST_WINDOW, seconds),
        bytes_each=sent_bytes / proxies / versions,
    )
