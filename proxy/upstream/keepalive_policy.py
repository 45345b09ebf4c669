"""Decides after which idle times a connection may be reused, based on the success of earlier reuses.

It owns the counts of reuses and failures by idle time, and the delays after which unsolicited bytes arrived.
It stores no connections; `ConnectionPool` calls it.
"""

from __future__ import annotations

from bisect import bisect_right
from math import inf

#: The bounds in seconds between the intervals of idle time for which reuses are counted.
INTERVAL_BOUNDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)

#: The fraction of reuses that may fail for retryable attempts. A failure only costs one retry.
MAX_FAILURE_RATIO_RETRYABLE = 0.3

#: The fraction of reuses that may fail for non-retryable attempts. It is lower because a failure loses the
#: request, while avoiding reuse only costs the handshake of a new connection.
MAX_FAILURE_RATIO_NON_RETRYABLE = 0.08

#: Successful reuses that are assumed in addition to the counted ones, so that a single failure in an interval
#: does not stop reuse by retryable attempts.
PRIOR_SUCCESSES = 5.0

HALF_LIFE = 10.0  # seconds after which counts are halved, so that past faults lose their effect

#: The longest idle time in seconds after which non-retryable attempts may reuse a connection without evidence
#: that earlier reuses succeeded.
MAX_UNPROVEN_IDLE_TIME = 1.0

#: Reuses after at least a given idle time that are needed as evidence that this idle time is safe for
#: non-retryable attempts.
MIN_REUSES_FOR_PROOF = 5.0

#: The smallest reuse delay in seconds, that is the time between a response and the next request on its
#: connection. A second response, or a close, may arrive in this time.
MIN_REUSE_DELAY = 0.01

#: The largest reuse delay in seconds. Bytes that arrive later than this after a response are not recorded as
#: a late second response.
MAX_REUSE_DELAY = 0.05

REUSE_DELAY_FACTOR = 2.0  # the reuse delay as a multiple of the longest recent lateness
LATENESS_WINDOW = 60.0  # seconds for which the lateness of a second response counts as recent


class KeepalivePolicy:
    """Limits the idle time after which connections are reused.

    Backends and network devices may drop idle connections without closing them. They do so after a certain
    idle time, so connections with a shorter idle time still work: only reuse after longer idle times is
    stopped. If connections fail after every idle time, and new ones fail too, reuse is not the cause; without
    reuse, backends would have to do a handshake for each request.
    """

    __slots__ = ("_failures", "_halved_at", "_max_lateness", "_max_lateness_at", "_reuses")

    def __init__(self, now: float) -> None:
        self._reuses = [0.0] * (len(INTERVAL_BOUNDS) + 1)
        self._failures = [0.0] * (len(INTERVAL_BOUNDS) + 1)
        self._halved_at = now
        self._max_lateness = 0.0  # seconds between a complete response and unsolicited bytes after it
        self._max_lateness_at = now  # when that lateness was recorded

    def record_late_bytes(self, now: float, lateness: float) -> None:
        """Record unsolicited bytes on an idle connection.

        Args:
            now: The event loop's time.
            lateness: Seconds between the response and the unsolicited bytes.
        """
        if lateness <= MAX_REUSE_DELAY and lateness >= self._recent_max_lateness(now):
            self._max_lateness, self._max_lateness_at = lateness, now

    def reuse_delay(self, now: float) -> float:
        """Return the minimum time in seconds between a response and the next request on its connection.

        Without the delay, a late second response would be parsed as the response to the next request, and
        nothing in its content would reveal the error. The delay is based on the lateness of earlier second
        responses.
        """
        delay = max(MIN_REUSE_DELAY, REUSE_DELAY_FACTOR * self._recent_max_lateness(now))
        return min(MAX_REUSE_DELAY, delay)

    def _recent_max_lateness(self, now: float) -> float:
        return self._max_lateness if now - self._max_lateness_at < LATENESS_WINDOW else 0.0

    def record_reuse(self, idle_time: float) -> None:
        """Count a reuse of a connection that had been idle for `idle_time` seconds."""
        self._reuses[bisect_right(INTERVAL_BOUNDS, idle_time)] += 1.0

    def record_failure(self, idle_time: float) -> None:
        """Count a connection that was reused after `idle_time` seconds and lost before any response byte."""
        self._failures[bisect_right(INTERVAL_BOUNDS, idle_time)] += 1.0

    def max_idle_time(self, now: float, *, retryable: bool) -> float:
        """Return the longest idle time in seconds after which a connection may be reused for an attempt.

        A non-retryable attempt needs evidence that reuse succeeds, because a connection may be broken without
        any sign of it. No evidence is needed for a connection that has just responded: it is as reliable as a
        new one, and saves the backend a handshake.

        Args:
            now: The event loop's time.
            retryable: Whether the attempt can be retried.
        """
        if retryable:
            return self._failing_idle_time(MAX_FAILURE_RATIO_RETRYABLE, now)
        failing_idle_time = self._failing_idle_time(MAX_FAILURE_RATIO_NON_RETRYABLE, now)
        return min(max(MAX_UNPROVEN_IDLE_TIME, self._proven_idle_time()), failing_idle_time)

    def _failing_idle_time(self, max_failure_ratio: float, now: float) -> float:
        """Return the idle time in seconds from which on reuses fail more often than allowed.

        It is the lower bound of the first interval whose fraction of failures is larger than
        `max_failure_ratio`; infinite if there is none.
        """
        self._decay(now)
        for interval, failures in enumerate(self._failures):
            if failures > max_failure_ratio * (self._reuses[interval] + PRIOR_SUCCESSES):
                return INTERVAL_BOUNDS[interval - 1] if interval else 0.0
        return inf

    def _decay(self, now: float) -> None:
        """Halve the counts after each half-life, so that a past fault does not limit reuse permanently."""
        if now - self._halved_at >= HALF_LIFE:
            self._halved_at = now
            self._reuses = [count / 2.0 for count in self._reuses]
            self._failures = [count / 2.0 for count in self._failures]

    def _proven_idle_time(self) -> float:
        """Return the idle time in seconds up to which enough reuses succeeded.

        Success after a long idle time is also evidence for shorter idle times, so the counts of longer ones
        are included. In a large fleet, each proxy calls a given backend rarely; without this rule, backends
        would have to do a handshake for almost every non-retryable request. The absence of failures is not
        enough as evidence, because a non-retryable attempt must not be the first to try an idle time.
        """
        reuses = failures = 0.0
        for interval in reversed(range(len(self._reuses))):
            reuses += self._reuses[interval]
            failures += self._failures[interval]
            if reuses >= MIN_REUSES_FOR_PROOF and failures <= MAX_FAILURE_RATIO_NON_RETRYABLE * reuses:
                return INTERVAL_BOUNDS[interval] if interval < len(INTERVAL_BOUNDS) else inf
        return 0.0
