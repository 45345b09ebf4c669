"""HDR histograms of latencies in microseconds, their quantiles, and their form in the result file."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from emulator.measurement.json_values import JsonObject

LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 3  # range and precision of every histogram
TICKS_PER_HALF_DISTANCE = 10  # points of a percentile curve for each halving of the distance to 100 %


def new_histogram() -> HdrHistogram:
    """Create an empty histogram of latencies in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def to_microseconds(seconds: float) -> int:
    """Convert a latency to whole microseconds, limited to the range of a histogram."""
    return min(HIGHEST_US, max(LOWEST_US, round(seconds * 1e6)))


def histogram_of(latencies_us: Iterable[int]) -> HdrHistogram:
    """Create a histogram of latencies that are given in microseconds."""
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
    """Quantiles of latencies, or differences of quantiles, in microseconds.

    The field names are keys of the result file.
    """

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

    def difference_to(self, other: Quantiles) -> Quantiles:
        """Return the difference of each quantile to that of `other`; it may be negative."""
        return Quantiles(
            self.median - other.median, self.p99 - other.p99, self.p999 - other.p999, self.max - other.max
        )

    def as_dict(self) -> dict[str, int]:
        """Return the quantiles as stored in the result file."""
        return asdict(self)


def percentile_curve(histogram: HdrHistogram) -> list[tuple[float, int]]:
    """Return ascending pairs of percentile and latency, which are denser near 100 %."""
    points = histogram.get_percentile_iterator(TICKS_PER_HALF_DISTANCE)
    return [(round(point.percentile_level_iterated_to, 6), int(point.value_iterated_to)) for point in points]


@dataclass(slots=True, frozen=True)
class Distribution:
    """Summary of a histogram of latencies; the field names are keys of the result file.

    Attributes:
        count: Number of latencies.
        us: Quantiles in microseconds.
        curve_us: Pairs of percentile and latency in microseconds.
    """

    count: int
    us: Quantiles
    curve_us: list[tuple[float, int]]

    @classmethod
    def of(cls, histogram: HdrHistogram) -> Distribution:
        """Summarize a histogram."""
        count = int(histogram.get_total_count())
        return cls(count, Quantiles.of(histogram), percentile_curve(histogram))

    def as_dict(self) -> JsonObject:
        """Return the distribution as stored in the result file."""
        return asdict(self)
