"""Checks every request, arrival and process of a history against the rules in `violations`.

`IndexedHistory.slack` extends the bounds of the checks when the soak test's own processes were scheduled
late, or when the run paused a proxy.
"""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from soak.arrival_checks import check_arrival, check_drain, check_retries
from soak.indexed_history import IndexedHistory
from soak.process_checks import check_incarnation, check_readiness, check_stalled_client
from soak.request_checks import check_close_delimited, check_request

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.history import History
    from soak.violations import Violation


class HistoryChecker:
    """Checks one history."""

    def __init__(self, history: History) -> None:
        self._indexed = IndexedHistory(history)

    def violations(self) -> list[Violation]:
        """Return all violations, in the order of time."""
        return sorted(self._run_checks(), key=attrgetter("at"))

    def _run_checks(self) -> Iterator[Violation]:
        indexed = self._indexed
        for request in indexed.records.requests:
            yield from check_request(indexed, request)
        for arrivals in indexed.arrivals.values():
            yield from check_retries(indexed, arrivals)
        for arrival in indexed.records.arrivals:
            yield from check_arrival(indexed, arrival)
        for drain in indexed.records.drains:
            yield from check_drain(indexed, drain)
        for incarnation in indexed.records.incarnations:
            yield from check_incarnation(incarnation)
        yield from check_readiness(indexed)
        for client in indexed.records.stalled_clients:
            yield from check_stalled_client(indexed, client)
        yield from check_close_delimited(indexed)
