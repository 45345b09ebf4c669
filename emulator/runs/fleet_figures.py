"""The figures of one event of the run `fleet`, and their form in the result file.

`fleet_measurement` takes the readings from which the figures are computed.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from emulator.measurement.propagation_delay import (
    MICROSECONDS_PER_SECOND,
    DelayReport,
    new_delay_histogram,
    record_delay,
)

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

    from emulator.measurement.json_values import JsonObject
    from testbed.discovery.registry import RegistryUsage


@dataclass(slots=True, frozen=True)
class DelaySummary:
    """Summary of propagation delays in seconds; the field names are keys of the result file.

    Attributes:
        count: Number of delays; the other fields are None if it is 0.
        median: The 50th percentile.
        p99: The 99th percentile.
        worst: The maximum.
        hdr: The encoded HDR histogram, in microseconds.
    """

    count: int
    median: float | None = None
    p99: float | None = None
    worst: float | None = None
    hdr: str | None = None

    @classmethod
    def of(cls, histogram: HdrHistogram) -> DelaySummary:
        """Summarize a histogram of microseconds."""
        count = histogram.get_total_count()
        if not count:
            return cls(0)
        return cls(
            count=count,
            median=histogram.get_value_at_percentile(50.0) / MICROSECONDS_PER_SECOND,
            p99=histogram.get_value_at_percentile(99.0) / MICROSECONDS_PER_SECOND,
            worst=histogram.get_max_value() / MICROSECONDS_PER_SECOND,
            hdr=histogram.encode().decode(),
        )

    def as_dict(self) -> JsonObject:
        """Return the summary as stored in the result file; fields without a value are left out."""
        return {name: value for name, value in asdict(self).items() if value is not None}


@dataclass(slots=True, frozen=True)
class EventDelays:
    """Propagation delays of the versions that an event published.

    Attributes:
        all_proxies: Delays at all proxies.
        last_proxy: Delays until the last proxy applied each version.
        missing: Number of pairs of a proxy and a version visible to it that the proxy has not applied.
    """

    all_proxies: DelaySummary
    last_proxy: DelaySummary
    missing: int

    @classmethod
    def of(cls, reports: list[DelayReport]) -> EventDelays:
        """Merge the reports of all host processes."""
        all_proxies, last_proxy = new_delay_histogram(), new_delay_histogram()
        longest: dict[int, float] = {}
        for report in reports:
            all_proxies.decode_and_add(report.histogram)
            for version, delay in report.longest.items():
                longest[version] = max(longest.get(version, 0.0), delay)
        for delay in longest.values():
            if delay > 0.0:  # 0 means that no proxy applied the version
                record_delay(last_proxy, delay)
        missing = sum(report.missing for report in reports)
        return cls(DelaySummary.of(all_proxies), DelaySummary.of(last_proxy), missing)

    def as_dict(self) -> JsonObject:
        """Return the delays as stored in the result file."""
        return {
            "all": self.all_proxies.as_dict(),
            "last": self.last_proxy.as_dict(),
            "missing": self.missing,
        }


@dataclass(slots=True, frozen=True)
class ProxyFigures:
    """Cost of an event for one proxy; the field names are keys of the result file.

    Attributes:
        processor_mean: Percent of a core, averaged over the event.
        processor_worst: Percent of a core in the worst window, averaged over the proxies of the busiest
            process.
        lists_worst: Percent of a core that list updates took at the busiest proxy in its worst window.
        processor_each: Processor time in seconds for one version.
        bytes_mean: Bytes a second, averaged over the event.
        bytes_worst: Bytes a second in the worst window, from the registry that sent most for each watch.
        bytes_each: Bytes for one version.
    """

    processor_mean: float
    processor_worst: float
    lists_worst: float
    processor_each: float
    bytes_mean: float
    bytes_worst: float
    bytes_each: float


@dataclass(slots=True, frozen=True)
class RegistryCost:
    """Cost of an event for one registry.

    Attributes:
        processor_seconds: Processor time.
        sent_bytes: Bytes sent.
        open_watches: Watches open at the end of the event.
        started_watches: Watches opened during the event.
        snapshots: Complete lists sent.
        processor_worst: Percent of a core in the worst window.
    """

    processor_seconds: float
    sent_bytes: int
    open_watches: int
    started_watches: int
    snapshots: int
    processor_worst: float

    @classmethod
    def between(cls, before: RegistryUsage, after: RegistryUsage, processor_worst: float) -> RegistryCost:
        """Compute the cost between two readings."""
        return cls(
            processor_seconds=after.processor - before.processor,
            sent_bytes=after.traffic.sent_bytes - before.traffic.sent_bytes,
            open_watches=after.open_watches,
            started_watches=after.traffic.watches - before.traffic.watches,
            snapshots=after.traffic.snapshots - before.traffic.snapshots,
            processor_worst=processor_worst,
        )

    def as_dict(self) -> JsonObject:
        """Return the cost as stored in the result file."""
        return {
            "processor": self.processor_seconds,
            "sent": self.sent_bytes,
            "watches": self.open_watches,
            "begun": self.started_watches,
            "wholes": self.snapshots,
            "worst": self.processor_worst,
        }


@dataclass(slots=True, frozen=True)
class EventMeasurement:
    """Measurements of one event.

    Attributes:
        seconds: Time from the start of the event until all proxies had applied it.
        applied_after: Seconds from the end of the event until all proxies had applied it.
        versions: Number of versions published.
        is_complete: Whether every proxy applied in time all versions that are visible to it.
        delays: Propagation delays of the versions.
        proxy: Cost for one proxy.
        resident_mb: Peak resident memory, summed over all processes.
        registries: Cost for each registry.
    """

    seconds: float
    applied_after: float
    versions: int
    is_complete: bool
    delays: EventDelays
    proxy: ProxyFigures
    resident_mb: float
    registries: list[RegistryCost]

    def as_dict(self) -> JsonObject:
        """Return the measurements as stored in the result file."""
        return {
            "seconds": self.seconds,
            "taken_in_after": self.applied_after,
            "versions": self.versions,
            "whole": self.is_complete,
            "age": self.delays.as_dict(),
            "proxy": asdict(self.proxy),
            "resident_mb": self.resident_mb,
            "machines": [registry.as_dict() for registry in self.registries],
        }
