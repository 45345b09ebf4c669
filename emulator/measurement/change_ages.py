"""How old a change of the endpoint list is when a proxy applies it.

It owns what is recorded when a version is published and when it is applied, and the histogram of ages.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MAX_AGE_MICROSECONDS = 600_000_000  # greater ages are recorded as this one
MICROSECONDS = 1e6  # in a second


@dataclass(slots=True, frozen=True)
class Publication:
    """One version's publishing: when, on the machine's monotonic clock, and the backends that it changed."""

    at: float
    names: frozenset[str]

    def concerns(self, view: frozenset[str] | None) -> bool:
        """Whether a proxy that sees these backends (None: all) is sent the version."""
        return view is None or bool(view & self.names)


Publications = Mapping[int, Publication]  # by version


@dataclass(slots=True, frozen=True)
class AppliedUpdate:
    """One message of the watch: when it was applied, and the versions before and after."""

    at: float
    previous_index: int
    index: int


@dataclass(slots=True, frozen=True)
class AgeReport:
    """Ages of versions at the proxies of one process.

    Attributes:
        histogram: All ages in microseconds, an encoded HDR histogram.
        oldest: The age in seconds at the last proxy to apply it, by version; 0 where none did.
        missing: How many times a proxy hasn't applied a version that concerns it.
    """

    histogram: bytes
    oldest: dict[int, float]
    missing: int


def age_histogram() -> HdrHistogram:
    """Create an empty histogram of ages in microseconds, to three digits."""
    return HdrHistogram(1, MAX_AGE_MICROSECONDS, 3)


def record_age(histogram: HdrHistogram, seconds: float) -> None:
    """Add one age to a histogram of ages."""
    histogram.record_value(max(1, min(MAX_AGE_MICROSECONDS, round(seconds * MICROSECONDS))))


def ages_when_applied(
    applied: Iterable[AppliedUpdate], publications: Publications, view: frozenset[str] | None
) -> dict[int, float]:
    """Return the age in seconds of each version that concerns a view, when it was first applied."""
    ages: dict[int, float] = {}
    first_published = min(publications, default=None)
    if first_published is None:
        return ages
    for update in applied:
        for version in range(max(update.previous_index + 1, first_published), update.index + 1):
            publication = publications.get(version)
            if publication and version not in ages and publication.concerns(view):
                ages[version] = update.at - publication.at
    return ages
