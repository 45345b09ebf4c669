"""After which idle times a connection may be reused, learned from how earlier reuses succeeded.

It owns the counts of reuses and of failed ones, and how late unsolicited bytes arrived behind responses. It
holds no connections: `ConnectionPool` asks it.
"""

from __future__ import annotations

from bisect import bisect_right
from math import inf

#: Idle times in seconds that separate the intervals in which reuses are counted.
INTERVAL_BOUNDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)

#: The fraction of reuses that may fail if the attempt is retryable: each failure costs one retry.
MAX_FAILURE_RATIO_RETRYABLE = 0.3

#: The same if it is not retryable: a failure loses the request, a new connection costs one handshake.
MAX_FAILURE_RATIO_NON_RETRYABLE = 0.08

#: Reuses that are assumed to have succeeded beside those counted, so that one failure proves little.
PRIOR_SUCCESSES = 5.0

HALF_LIFE = 10.0  # seconds in which the weight of a count halves: faults end
PRESUMED_ALIVE = 1.0  # seconds after a response in which non-retryable attempts may reuse without evidence
MIN_REUSES_FOR_PROOF = 5.0  # reuses after at least some idle time that prove it safe for non-retryable ones

MIN_REUSE_DELAY = 0.01  # seconds in which something may follow a response: a second one, or a close
MAX_REUSE_DELAY = 0.05  # seconds: what arrives later than that is no second response
REUSE_DELAY_FACTOR = 2.0  # multiple of the longest recent lateness that connections wait for
LATENESS_WINDOW = 60.0  # seconds for which the lateness of a second response counts as recent


class KeepalivePolicy:
    """Limits the idle time after which connections are reused.

    Backends, or network devices in between, may drop idle connections without closing them. They do so after
    some time, so connections that were idle for less are still good. Where connections fail at any idle time,
    and new ones too, reuse is not the cause, and without it backends would pay a handshake for each request.
    """

    __slots__ = ("_failures", "_halved_at", "_max_lateness", "_max_lateness_at", "_reuses")

    def __init__(self, now: float) -> None:
        self._reuses = [0.0] * (len(INTERVAL_BOUNDS) + 1)
        self._failures = [0.0] * (len(INTERVAL_BOUNDS) + 1)
        self._halved_at = now
        self._max_lateness = 0.0  # seconds, of bytes behind a complete response
        self._max_lateness_at = now

    def record_late_bytes(self, now: float, lateness: float) -> None:
        """Record unsolicited bytes on an idle connection.

        Args:
            now: The event loop's time.
            lateness: Seconds between the response and these bytes.
        """
        if lateness <= MAX_REUSE_DELAY and lateness >= self._recent_max_lateness(now):
            self._max_lateness, self._max_lateness_at = lateness, now

    def reuse_delay(self, now: float) -> float:
        """Return the seconds that have to pass between a response and the next request on its connection.

        A second response that arrives late would be taken for the next request's own. Nothing in it shows
        that, so the delay follows from how late such responses were seen to arrive.
        """
        delay = max(MIN_REUSE_DELAY, REUSE_DELAY_FACTOR * self._recent_max_lateness(now))
        return min(MAX_REUSE_DELAY, delay)

    def _recent_max_lateness(self, now: float) -> float:
        return self._max_lateness if now - self._max_lateness_at < LATENESS_WINDOW else 0.0

    def record_reuse(self, idle_time: float) -> None:
        """Count a connection that is reused after so many idle seconds."""
        self._reuses[bisect_right(INTERVAL_BOUNDS, idle_time)] += 1.0

    def record_failure(self, idle_time: float) -> None:
        """Count a reused connection that was lost before any byte of a response."""
        self._failures[bisect_right(INTERVAL_BOUNDS, idle_time)] += 1.0

    def max_idle_time(self, now: float, *, retryable: bool) -> float:
        """Return the seconds for which a connection may have been idle to carry an attempt.

        An attempt that is not retryable needs evidence, as a connection may be dead without any sign of it.
        One that has just answered is as good as a new one, and costs the backend no handshake.

        Args:
            now: The event loop's time.
            retryable: Whether the attempt can be retried.
        """
        if retryable:
            return self._idle_time_within(MAX_FAILURE_RATIO_RETRYABLE, now)
        limit = self._idle_time_within(MAX_FAILURE_RATIO_NON_RETRYABLE, now)
        return min(max(PRESUMED_ALIVE, self._proven_idle_time()), limit)

    def _idle_time_within(self, max_failure_ratio: float, now: float) -> float:
        """Return the idle time in seconds below which no interval has a larger fraction of failures."""
        self._decay(now)
        for interval, failures in enumerate(self._failures):
            if failures > max_failure_ratio * (self._reuses[interval] + PRIOR_SUCCESSES):
                return INTERVAL_BOUNDS[interval - 1] if interval else 0.0
        return inf

    def _decay(self, now: float) -> None:
        """Halve the counts after each half-life: a fault that has ended must not limit reuse permanently."""
        if now - self._halved_at >= HALF_LIFE:
            self._halved_at = now
            self._reuses = [count / 2.0 for count in self._reuses]
            self._failures = [count / 2.0 for count in self._failures]

    def _proven_idle_time(self) -> float:
        """Return the idle time in seconds up to which reuses were seen to succeed.

        What succeeds after a long idle time succeeds after a short one, so counts of longer times are
        evidence for shorter ones. A proxy of a large fleet calls each backend seldom: without this, backends
        would pay a handshake for nearly each of its requests. It takes reuses that succeeded, not just the
        lack of failures: a non-retryable attempt must not be the first trial.
        """
        reuses = failures = 0.0
        for interval in reversed(range(len(self._reuses))):
            reuses += self._reuses[interval]
            failures += self._failures[interval]
            if reuses >= MIN_REUSES_FOR_PROOF and failures <= MAX_FAILURE_RATIO_NON_RETRYABLE * reuses:
                return INTERVAL_BOUNDS[interval] if interval < len(INTERVAL_BOUNDS) else inf
        return 0.0
