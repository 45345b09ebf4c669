"""After which idle times a connection may be reused, learnt from how earlier ones fared.

It owns the counts of reuses and of those that failed, and how late responses came that nobody waited for. It
holds no connections: `ConnectionPool` asks it.
"""

from __future__ import annotations

from bisect import bisect_right
from math import inf

#: Idle times in seconds that separate the intervals in which reuses are counted.
INTERVAL_BOUNDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)

#: The part of reuses that may fail where the attempt can be retried: each failure costs one retry.
MAX_FAILURE_RATIO_RETRYABLE = 0.3

#: The same where it can not be retried: a failure loses all its work, a new connection costs one handshake.
MAX_FAILURE_RATIO_NON_RETRYABLE = 0.08

#: Reuses taken to have succeeded beside those counted, so that one failure proves little.
PRIOR_SUCCESSES = 5.0

HALF_LIFE = 10.0  # seconds after which what was counted weighs half: faults end
PRESUMED_ALIVE = 1.0  # seconds after a response in which non-retryable attempts may reuse without evidence
MIN_REUSES_FOR_PROOF = 5.0  # reuses after at least some idle time that prove it safe for non-retryable ones

REST_AFTER_RESPONSE = 0.01  # seconds in which something may come behind a response: a second one, or a close
MAX_REST = 0.05  # seconds: what comes later than that is no second response
REST_PER_DELAY = 2.0  # multiple of the longest delay of such a response of late for which connections rest
DELAY_MEMORY = 60.0  # seconds for which such a delay counts


class KeepalivePolicy:
    """Limits the idle time after which connections are reused.

    Backends, or what lies between, may forget idle connections without closing them. They do so after some
    time, so connections that were idle for less are still good. Where connections fail whatever their idle
    time, new ones too, keeping them is not at fault, and to reuse none would cost backends a handshake for
    each request.
    """

    __slots__ = ("_failures", "_halved_at", "_longest_delay", "_longest_delay_at", "_reuses")

    def __init__(self, now: float) -> None:
        self._reuses = [0.0] * (len(INTERVAL_BOUNDS) + 1)
        self._failures = [0.0] * (len(INTERVAL_BOUNDS) + 1)
        self._halved_at = now
        self._longest_delay = 0.0  # of bytes behind a complete response
        self._longest_delay_at = now

    def record_late_bytes(self, now: float, delay: float) -> None:
        """Note bytes that came on an idle connection so many seconds behind its response."""
        if delay <= MAX_REST and delay >= self._delay_of_late(now):
            self._longest_delay, self._longest_delay_at = delay, now

    def rest_time(self, now: float) -> float:
        """For how many seconds a connection rests after a response before it carries another attempt.

        A second response that comes late would be taken for the next request's own. Nothing in it tells, so
        what was seen of backends decides how late that may be.
        """
        return min(MAX_REST, max(REST_AFTER_RESPONSE, REST_PER_DELAY * self._delay_of_late(now)))

    def _delay_of_late(self, now: float) -> float:
        return self._longest_delay if now - self._longest_delay_at < DELAY_MEMORY else 0.0

    def record_reuse(self, idle_time: float) -> None:
        """Count a connection that is reused after so many idle seconds."""
        self._reuses[bisect_right(INTERVAL_BOUNDS, idle_time)] += 1.0

    def record_failure(self, idle_time: float) -> None:
        """Count a reused connection that was lost before any byte of a response."""
        self._failures[bisect_right(INTERVAL_BOUNDS, idle_time)] += 1.0

    def max_idle_time(self, now: float, retryable: bool) -> float:
        """How many seconds a connection may have been idle to carry an attempt.

        An attempt that can not be retried needs evidence, as a connection may be dead already without any
        sign of it. One that has just answered is as good as a new one, and costs the backend no handshake.
        """
        if retryable:
            return self._idle_time_within(MAX_FAILURE_RATIO_RETRYABLE, now)
        limit = self._idle_time_within(MAX_FAILURE_RATIO_NON_RETRYABLE, now)
        return min(max(PRESUMED_ALIVE, self._proven_idle_time()), limit)

    def _idle_time_within(self, max_failure_ratio: float, now: float) -> float:
        """The idle time below which no interval has a larger part of failures."""
        self._decay(now)
        for interval, failures in enumerate(self._failures):
            if failures > max_failure_ratio * (self._reuses[interval] + PRIOR_SUCCESSES):
                return INTERVAL_BOUNDS[interval - 1] if interval else 0.0
        return inf

    def _decay(self, now: float) -> None:
        """Halve the counts after each half-life: a fault of some time ago must not limit reuse for good."""
        if now - self._halved_at >= HALF_LIFE:
            self._halved_at = now
            self._reuses = [count / 2.0 for count in self._reuses]
            self._failures = [count / 2.0 for count in self._failures]

    def _proven_idle_time(self) -> float:
        """The idle time up to which reuses were seen to succeed.

        What succeeds after a long idle time succeeds after a short one, so counts of longer times are
        evidence for shorter ones. A proxy of a large fleet calls each backend seldom: without this, backends
        would pay a handshake for nearly each of its requests. It takes reuses that succeeded, not just the
        lack of failures: a non-retryable attempt must not be the trial.
        """
        reuses = failures = 0.0
        for interval in reversed(range(len(self._reuses))):
            reuses += self._reuses[interval]
            failures += self._failures[interval]
            if reuses >= MIN_REUSES_FOR_PROOF and failures <= MAX_FAILURE_RATIO_NON_RETRYABLE * reuses:
                return INTERVAL_BOUNDS[interval] if interval < len(INTERVAL_BOUNDS) else inf
        return 0.0
