"""A history with indices for the checks, and the slack for delays that the proxy did not cause.

Such delays occur when the soak test's own processes are scheduled late, or when the run pauses the proxy. The
slack is the time by which they extend the bounds of the checks.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from operator import attrgetter
from typing import TYPE_CHECKING

from soak.history import NEVER, Arrival, History, ProxyIncarnation, Request

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORDING_SLACK = 0.05  # seconds between an event and its record on an idle machine
DELAY_NEIGHBOURHOOD = 0.5  # seconds before and after an event in which delays and pauses count
PAUSE_SLACK = 0.15  # longest pause in seconds of a process between reading its clock and writing
#: Seconds after SIGTERM in which a request may be sent and interrupted by SIGKILL without a violation.
EXCUSED_AFTER_TERMINATION = 0.7


class IndexedHistory:
    """A history, its requests and arrivals by id, and its incarnations by proxy.

    Attributes:
        records: All records of the run.
        arrivals: The arrivals of each request id, in the order of time.
        requests: The requests of each id, in the order in which they were created.
    """

    def __init__(self, history: History) -> None:
        self.records = history
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in sorted(history.arrivals, key=attrgetter("received_at")):
            self.arrivals[arrival.id].append(arrival)
        self.requests: dict[str, list[Request]] = defaultdict(list)
        for request in history.requests:
            self.requests[request.id].append(request)
        self._incarnations: dict[int, list[ProxyIncarnation]] = defaultdict(list)
        for incarnation in history.incarnations:
            self._incarnations[incarnation.proxy].append(incarnation)
        self._scheduling_delays = sorted(history.scheduling_delays, key=attrgetter("at"))

    def slack(self, at: float, proxy: int) -> float:
        """Return the seconds by which an event of a proxy may be late for reasons outside the proxy."""
        longest_pause = max(self._pauses_near(at, proxy), default=0.0)
        return RECORDING_SLACK + self._scheduling_delay_near(at) + min(PAUSE_SLACK, longest_pause)

    def _scheduling_delay_near(self, at: float) -> float:
        """Return the longest scheduling delay near a time, in seconds."""
        delays, time_of = self._scheduling_delays, attrgetter("at")
        begin = bisect_left(delays, at - DELAY_NEIGHBOURHOOD, key=time_of)
        end = bisect_right(delays, at + DELAY_NEIGHBOURHOOD, key=time_of)
        return max((delay.seconds for delay in delays[begin:end]), default=0.0)

    def _pauses_near(self, at: float, proxy: int) -> Iterable[float]:
        """Return the lengths of a proxy's pauses near a time, in seconds."""
        return [
            span.end - span.begin
            for incarnation in self._incarnations.get(proxy, [])
            for span in incarnation.paused
            if span.begin - DELAY_NEIGHBOURHOOD <= at <= span.end + DELAY_NEIGHBOURHOOD
        ]

    def incarnation_at(self, proxy: int, at: float) -> ProxyIncarnation | None:
        """Return the process that a proxy had at a time; None if it had none."""
        return next(
            (each for each in self._incarnations.get(proxy, []) if each.started_at <= at < each.ended_at),
            None,
        )

    def is_excused(self, request: Request) -> bool:
        """Return whether a request needs no response because its proxy was killed while it was in flight.

        If SIGTERM was sent before SIGKILL, a request is excused only if it was sent less than
        `EXCUSED_AFTER_TERMINATION` seconds after SIGTERM. A proxy that reads a later request during its
        graceful shutdown has to respond to it.
        """
        for incarnation in self._incarnations.get(request.proxy, []):
            if not incarnation.started_at <= request.sent_at <= incarnation.ended_at + RECORDING_SLACK:
                continue
            was_killed = incarnation.killed_at < request.ended_at + RECORDING_SLACK
            sent_late = request.sent_at > incarnation.terminated_at + EXCUSED_AFTER_TERMINATION
            if was_killed and (incarnation.terminated_at == NEVER or not sent_late):
                return True
        return False
