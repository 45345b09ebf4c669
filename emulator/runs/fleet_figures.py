"""The figures of one event of the run `fleet`, and their form in a result.

It owns typed values and how they are summed up; `fleet_measurement` takes the readings behind them.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from emulator.measurement.change_ages import MICROSECONDS, AgeReport, age_histogram, record_age

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

    from emulator.measurement.json_values import JsonObject
    from testbed.discovery.registry import RegistryUsage


@dataclass(slots=True, frozen=True)
class AgeSummary:
    """A histogram of ages in seconds.

    Attributes:
        count: How many ages there are; without any, the other attributes are None.
        median: The age that half of them don't exceed.
        p99: The age that 99 in 100 don't exceed.
        worst: The greatest age.
        hdr: The encoded HDR histogram, in microseconds.
    """

    count: int
    median: float | None = None
    p99: float | None = None
    worst: float | None = None
    hdr: str | None = None

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

    def as_dict(self) -> JsonObject:
        """Return the summary as a result holds it, without the figures that an empty one lacks."""
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

    def as_dict(self) -> JsonObject:
        """Return the ages as a result holds them."""
        return {
            "all": self.everywhere.as_dict(),
            "last": self.at_last.as_dict(),
            "missing": self.missing,
        }


@dataclass(slots=True, frozen=True)
class ProxyFigures:
    """What an event costs a proxy; the names are those of results.

    Attributes:
        processor_mean: Percent of a core on average over the event.
        processor_worst: Percent of a core in the worst window, averaged over the busiest process.
        lists_worst: Percent of a core that lists alone cost the busiest proxy in its worst window.
        processor_each: Processor time in seconds for each version.
        bytes_mean: Bytes a second on average over the event.
        bytes_worst: Bytes a second in the worst window, from the machine that sent the most to a watch.
        bytes_each: Bytes for each version.
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
        started_watches: Watches opened during it.
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
        """Work out the cost between two readings."""
        return cls(
            processor=after.processor - before.processor,
            sent_bytes=after.traffic.sent_bytes - before.traffic.sent_bytes,
            open_watches=after.open_watches,
            started_watches=after.traffic.watches - before.traffic.watches,
            snapshots=after.traffic.snapshots - before.traffic.snapshots,
            processor_worst=processor_worst,
        )

    def as_dict(self) -> JsonObject:
        """Return the cost as a result holds it."""
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
        resident_mb: Peak resident memory, summed over all processes.
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

    def as_dict(self) -> JsonObject:
        """Return the measurement as a result holds it."""
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
