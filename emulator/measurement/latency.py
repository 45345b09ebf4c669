"""Latencies in microseconds: HDR histograms, their quantiles, and the form in which they go into a result.

It measures nothing itself; a histogram is an `HdrHistogram`, which has no type hints.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from emulator.measurement.json_values import JsonObject

LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 3  # of every histogram
TICKS_PER_HALF_DISTANCE = 10  # points of a percentile curve for each halving of the distance to 100


def new_histogram() -> HdrHistogram:
    """Create an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def to_microseconds(seconds: float) -> int:
    """Round a latency to microseconds, within the range of a histogram."""
    return min(HIGHEST_US, max(LOWEST_US, round(seconds * 1e6)))


def histogram_of(latencies_us: Iterable[int]) -> HdrHistogram:
    """Record latencies, given in microseconds, in a new histogram."""
    histogram = new_histogram()
    for latency in latencies_us:
        histogram.record_value(latency)
    return histogram


def encode(histogram: HdrHistogram) -> str:
    """Encode a histogram in HDR's compressed form (V2, base64)."""
    return str(histogram.encode().decode())


def merge(encoded: Iterable[str]) -> HdrHistogram:
    """Merge histograms in compressed form into one."""
    merged = new_histogram()
    for text in encoded:
        merged.decode_and_add(text)
    return merged


@dataclass(slots=True, frozen=True)
class Quantiles:
    """The quantiles that results name, in microseconds: of latencies, or differences between such."""

    median: int
    p99: int
    p999: int
    max: int

    @classmethod
    def of(cls, histogram: HdrHistogram) -> Quantiles:
        """Read the quantiles of a histogram."""
        return cls(
            *(int(histogram.get_value_at_percentile(percent)) for percent in (50.0, 99.0, 99.9, 100.0))
        )

    def above(self, other: Quantiles) -> Quantiles:
        """Return by how much each quantile lies above the other's; may be negative."""
        return Quantiles(
            self.median - other.median, self.p99 - other.p99, self.p999 - other.p999, self.max - other.max
        )

    def as_dict(self) -> dict[str, int]:
        """Return plain values for a result."""
        return asdict(self)


def percentile_curve(histogram: HdrHistogram) -> list[tuple[float, int]]:
    """Return pairs of percentile and latency, ascending, closer together towards 100."""
    points = histogram.get_percentile_iterator(TICKS_PER_HALF_DISTANCE)
    return [(round(p.percentile_level_iterated_to, 6), int(p.value_iterated_to)) for p in points]


@dataclass(slots=True, frozen=True)
class Distribution:
    """A histogram as it goes into a result: number of latencies, their quantiles and percentile curve."""

    count: int
    us: Quantiles
    curve_us: list[tuple[float, int]]

    @classmethod
    def of(cls, histogram: HdrHistogram) -> Distribution:
        """Summarise a histogram."""
        count = int(histogram.get_total_count())
        return cls(count, Quantiles.of(histogram), percentile_curve(histogram))

    def as_dict(self) -> JsonObject:
        """Return plain values for a result."""
        return asdict(self)
