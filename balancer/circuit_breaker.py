"""The circuit breaker of an endpoint or a pool; the caller decides what follows from a rejection.

The formulas and all constants but MIN_OUTLIER_FAILURES are those of the operator's DESIGN page: adaptive
throttling of the SRE book for errors, with the parameters of go-zero, and the latency term of go-zero's PR
#5366. DESIGN names K's range, window, factors and cap as open; they have been left as they are.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random

ERROR_WINDOW = 10.0  # seconds of calls that the error probability counts
BUCKET_COUNT = 40  # buckets that the window is divided into, so that calls leave it a few at a time
BUCKET_WIDTH = ERROR_WINDOW / BUCKET_COUNT  # seconds
#: The K of adaptive throttling: calls are rejected at random once there are more than K for each accepted
#: one. The part beyond 1 lets an endpoint fail occasionally, and admits calls that find out that it
#: recovered.
MAX_MULTIPLIER = 1.5
MIN_MULTIPLIER = 1.1  # what K falls to where all recent buckets hold failures alone
PROTECTED_REQUESTS = 5  # requests that never count against an endpoint: a few failures are no evidence
#: Failures in the window from which an endpoint may be an outlier; one alone would make one of an endpoint
#: that is called for the first time. Chosen: it came with the program, and no derivation is known.
MIN_OUTLIER_FAILURES = 2
#: Seconds between calls that pass at any probability: without them a breaker that rejects all never sees a
#: success.
PROBE_INTERVAL = 1.0
LATENCY_ACTIVATION = 3.0  # multiple of the latency baseline from which calls are rejected for latency
LATENCY_CEILING = 0.95  # part of the timeout at which the latency probability reaches its maximum
MAX_LATENCY_PROBABILITY = 0.3  # that maximum: latency alone never cuts an endpoint off
RECENT_SAMPLES = 4.0  # a current latency moves by 1 / this of the gap to each new sample
#: A baseline moves by 1 / this of the gap: fast down to a better latency, slowly up, so that a slowdown of
#: seconds is not taken for normal.
FALL_SAMPLES, RISE_SAMPLES = 4.0, 100.0


@dataclass(slots=True)
class _Bucket:
    """The calls of one slice of the window.

    Attributes:
        number: The slice's number, counted from time 0.
        requests: All calls, those that were rejected locally included.
        accepts: The calls that were accepted and answered.
        failures: The calls that failed.
    """

    number: int
    requests: int = 0
    accepts: int = 0
    failures: int = 0


@dataclass(slots=True, eq=False)
class CircuitBreaker:
    """Rejects calls at random, by the larger of two probabilities: by errors and by latency.

    Attributes:
        latency_baseline: The latency in seconds that counts as normal; 0 before the first sample.
        current_latency: The mean of the latest latencies, in seconds; 0 before the first sample.
        last_probe_at: When a call last passed although calls were being rejected, in seconds.
    """

    latency_baseline: float = 0.0
    current_latency: float = 0.0
    last_probe_at: float = float("-inf")
    _buckets: deque[_Bucket] = field(default_factory=deque)
    _requests: int = 0
    _accepts: int = 0
    _failures: int = 0
    _failing_buckets: int = 0  # how many of the newest buckets hold failures alone

    def _count(self, now: float) -> _Bucket:
        """Count one request and return its bucket."""
        number = int(now / BUCKET_WIDTH)
        if not self._buckets or self._buckets[-1].number < number:
            self._expire(number)
            self._buckets.append(_Bucket(number))
        self._requests += 1
        self._buckets[-1].requests += 1
        return self._buckets[-1]

    def _expire(self, number: int) -> None:
        """Drop the buckets that have left the window; `number` is that of the current one."""
        buckets = self._buckets
        while buckets and buckets[0].number <= number - BUCKET_COUNT:
            expired = buckets.popleft()
            self._requests -= expired.requests
            self._accepts -= expired.accepts
            self._failures -= expired.failures
        self._failing_buckets = min(self._failing_buckets, len(buckets))

    def record_rejection(self, now: float) -> None:
        """Count a call that was rejected locally."""
        self._count(now)

    def record_accepted(self, now: float) -> None:
        """Count a call that was accepted and answered."""
        self._count(now).accepts += 1
        self._accepts += 1
        self._failing_buckets = 0

    def record_failure(self, now: float) -> None:
        """Count an error, a timeout, an overload answer or a failed connection."""
        bucket = self._count(now)
        if not bucket.accepts and not bucket.failures:
            self._failing_buckets += 1
        bucket.failures += 1
        self._failures += 1

    def record_latency(self, latency: float) -> None:
        """Move both averages by the latency of a success; the baseline falls fast and rises slowly."""
        if self.current_latency <= 0.0:
            self.latency_baseline = self.current_latency = latency
            return
        samples = FALL_SAMPLES if latency < self.latency_baseline else RISE_SAMPLES
        self.latency_baseline += (latency - self.latency_baseline) / samples
        self.current_latency += (latency - self.current_latency) / RECENT_SAMPLES

    def failure_ratio(self, now: float) -> float:
        """Return the share of calls that failed, of those not rejected locally, from 0 to 1."""
        self._expire(int(now / BUCKET_WIDTH))
        return self._failures / (self._failures + self._accepts + PROTECTED_REQUESTS)

    def is_outlier(self, now: float) -> bool:
        """Whether most of the calls that were sent failed, and not just one."""
        self._expire(int(now / BUCKET_WIDTH))
        return self._failures >= MIN_OUTLIER_FAILURES and self._failures > self._accepts

    def error_probability(
        self, now: float, multiplier: float = MAX_MULTIPLIER, protection: float = PROTECTED_REQUESTS
    ) -> float:
        """Return the rejection probability by adaptive throttling.

        Args:
            now: The time in seconds.
            multiplier: The K of the formula; it falls towards MIN_MULTIPLIER as the newest buckets fail.
            protection: The requests in the window that never count.
        """
        self._expire(int(now / BUCKET_WIDTH))
        multiplier = multiplier - (multiplier - MIN_MULTIPLIER) * self._failing_buckets / BUCKET_COUNT
        return max(0.0, (self._requests - protection - multiplier * self._accepts) / (self._requests + 1))

    def latency_probability(self, timeout: float) -> float:
        """Return the rejection probability for a latency far over its baseline.

        Args:
            timeout: Seconds that callers wait for an answer; 0 where there is no limit, and no probability.
        """
        threshold = LATENCY_ACTIVATION * self.latency_baseline
        span = LATENCY_CEILING * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or span <= 0.0:
            return 0.0
        probability = (self.current_latency - threshold) / span * MAX_LATENCY_PROBABILITY
        return min(max(probability, 0.0), MAX_LATENCY_PROBABILITY)

    def rejection_probability(self, now: float, timeout: float) -> float:
        """Return the larger of the two rejection probabilities; `timeout` is in seconds."""
        return max(self.error_probability(now), self.latency_probability(timeout))

    def rejects(self, now: float, timeout: float, rng: Random) -> bool:
        """Whether to reject this call; one call in each probe interval passes while calls are rejected.

        Args:
            now: The time in seconds.
            timeout: Seconds that callers wait for an answer.
            rng: Drawn from only where the probability is above 0 and no probe is due.
        """
        probability = self.rejection_probability(now, timeout)
        if probability <= 0.0:
            return False
        if now - self.last_probe_at < PROBE_INTERVAL and rng.random() < probability:
            self.record_rejection(now)
            return True
        self.last_probe_at = now
        return False
