"""Propagation delay of endpoint-list changes: from the publication of a version until a proxy applies it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MAX_DELAY_MICROSECONDS = 600_000_000  # longer delays are recorded as this value
SIGNIFICANT_DIGITS = 3  # of the delay histograms
MICROSECONDS_PER_SECOND = 1e6


@dataclass(slots=True, frozen=True)
class Publication:
    """The publication of one version of the endpoint list.

    Attributes:
        published_at: Time on the machine's monotonic clock.
        changed_names: Names of the backends that the version changed.
    """

    published_at: float
    changed_names: frozenset[str]

    def is_visible_to(self, view: frozenset[str] | None) -> bool:
        """Whether the version is sent to a proxy that sees the backends in `view` (None: all backends)."""
        return view is None or bool(view & self.changed_names)


Publications = Mapping[int, Publication]  # by version


@dataclass(slots=True, frozen=True)
class AppliedUpdate:
    """One update message that a proxy applied.

    Attributes:
        applied_at: Time on the machine's monotonic clock.
        previous_index: Version before the update.
        index: Version after the update.
    """

    applied_at: float
    previous_index: int
    index: int


@dataclass(slots=True, frozen=True)
class DelayReport:
    """Propagation delays at the proxies of one process.

    Attributes:
        histogram: Delays of all proxies in microseconds, as an encoded HDR histogram.
        longest: The longest delay in seconds by version; 0 where no proxy applied the version.
        missing: Number of pairs of a proxy and a version visible to it that the proxy has not applied.
    """

    histogram: bytes
    longest: dict[int, float]
    missing: int


def new_delay_histogram() -> HdrHistogram:
    """Create an empty histogram of delays in microseconds."""
    return HdrHistogram(1, MAX_DELAY_MICROSECONDS, SIGNIFICANT_DIGITS)


def record_delay(histogram: HdrHistogram, seconds: float) -> None:
    """Record one delay in a histogram."""
    microseconds = round(seconds * MICROSECONDS_PER_SECOND)
    histogram.record_value(max(1, min(MAX_DELAY_MICROSECONDS, microseconds)))


def propagation_delays(
    applied_updates: Iterable[AppliedUpdate], publications: Publications, view: frozenset[str] | None
) -> dict[int, float]:
    """Return the delay in seconds until each version that is visible in `view` was first applied."""
    delays: dict[int, float] = {}
    first_published = min(publications, default=None)
    if first_published is None:
        return delays
    for update in applied_updates:
        for version in range(max(update.previous_index + 1, first_published), update.index + 1):
            publication = publications.get(version)
            if publication and version not in delays and publication.is_visible_to(view):
                delays[version] = update.applied_at - publication.published_at
    return delays
