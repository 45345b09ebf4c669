"""The circuit breaker of an endpoint or a pool; its callers decide what to do with a rejected call.

Rejection by errors is the adaptive throttling of Google's SRE book, with the parameters of go-zero. Rejection
by latency follows go-zero's pull request 5366.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random

ERROR_WINDOW = 10.0  # seconds of calls that the error probability counts
BUCKET_COUNT = 40  # buckets of the window, so that calls leave it a few at a time
BUCKET_WIDTH = ERROR_WINDOW / BUCKET_COUNT  # seconds
#: The K of adaptive throttling: calls are rejected at random once there are more than K for each accepted
#: one. A value above 1 tolerates occasional failures, and admits calls that notice when an endpoint has
#: recovered.
MAX_MULTIPLIER = 1.5
MIN_MULTIPLIER = 1.1  # K where all buckets of the window have failures and none has a success
PROTECTED_REQUESTS = 5  # calls in the window that do not count: a few failures are no evidence
#: Failures in the window from which an endpoint may be an outlier. With 1, an endpoint whose first call fails
#: would be an outlier immediately.
MIN_OUTLIER_FAILURES = 2
#: Seconds between calls that pass at any probability. Without them, a breaker that rejects all calls never
#: records a success again.
PROBE_INTERVAL = 1.0
LATENCY_ACTIVATION = 3.0  # multiple of the latency baseline above which calls are rejected for latency
LATENCY_CEILING = 0.95  # fraction of the timeout at which the latency probability reaches its maximum
MAX_LATENCY_PROBABILITY = 0.3  # low enough that latency by itself never takes an endpoint out of service
RECENT_SAMPLES = 4.0  # the current latency moves by 1 / RECENT_SAMPLES of its distance to a new sample
#: A baseline moves by 1 / FALL_SAMPLES of its distance to a lower sample, and by 1 / RISE_SAMPLES to a higher
#: one, so that a slowdown of a few seconds does not become the new baseline.
FALL_SAMPLES, RISE_SAMPLES = 4.0, 100.0


@dataclass(slots=True)
class _Bucket:
    """The calls of one bucket of the window.

    Attributes:
        index: The start time of the bucket, in units of BUCKET_WIDTH.
        requests: All calls, including those that the breaker rejected.
        accepts: The successful calls.
        failures: The failed calls.
    """

    index: int
    requests: int = 0
    accepts: int = 0
    failures: int = 0


@dataclass(slots=True, eq=False)
class CircuitBreaker:
    """Rejects calls at random, with the larger of two probabilities: by errors and by latency.

    Attributes:
        latency_baseline: The latency in seconds that counts as normal; 0 before the first sample.
        current_latency: The mean of recent latencies in seconds; 0 before the first sample.
        last_probe_at: When a call last passed while calls were being rejected, in seconds.
    """

    latency_baseline: float = 0.0
    current_latency: float = 0.0
    last_probe_at: float = float("-inf")
    _buckets: deque[_Bucket] = field(default_factory=deque)
    _requests: int = 0
    _accepts: int = 0
    _failures: int = 0
    _failing_buckets: int = 0  # buckets since the last success that have failures

    def _count(self, now: float) -> _Bucket:
        """Count one call and return its bucket."""
        index = int(now / BUCKET_WIDTH)
        if not self._buckets or self._buckets[-1].index < index:
            self._expire(index)
            self._buckets.append(_Bucket(index))
        self._requests += 1
        self._buckets[-1].requests += 1
        return self._buckets[-1]

    def _expire(self, current_index: int) -> None:
        """Drop the buckets that have left the window; `current_index` is that of the current bucket."""
        buckets = self._buckets
        while buckets and buckets[0].index <= current_index - BUCKET_COUNT:
            expired = buckets.popleft()
            self._requests -= expired.requests
            self._accepts -= expired.accepts
            self._failures -= expired.failures
        self._failing_buckets = min(self._failing_buckets, len(buckets))

    def record_rejection(self, now: float) -> None:
        """Count a call that was rejected without being sent."""
        self._count(now)

    def record_accepted(self, now: float) -> None:
        """Count a successful call."""
        self._count(now).accepts += 1
        self._accepts += 1
        self._failing_buckets = 0

    def record_failure(self, now: float) -> None:
        """Count a call that ended with an error, a timeout, an overload response or a failed connection."""
        bucket = self._count(now)
        if not bucket.accepts and not bucket.failures:
            self._failing_buckets += 1
        bucket.failures += 1
        self._failures += 1

    def record_latency(self, latency: float) -> None:
        """Record the latency of a success in seconds; the baseline falls fast and rises slowly."""
        if self.current_latency <= 0.0:
            self.latency_baseline = self.current_latency = latency
            return
        samples = FALL_SAMPLES if latency < self.latency_baseline else RISE_SAMPLES
        self.latency_baseline += (latency - self.latency_baseline) / samples
        self.current_latency += (latency - self.current_latency) / RECENT_SAMPLES

    def failure_ratio(self, now: float) -> float:
        """Return the fraction of sent calls that failed; PROTECTED_REQUESTS more count as successful."""
        self._expire(int(now / BUCKET_WIDTH))
        return self._failures / (self._failures + self._accepts + PROTECTED_REQUESTS)

    def is_outlier(self, now: float) -> bool:
        """Whether more of the sent calls failed than succeeded, and at least MIN_OUTLIER_FAILURES did."""
        self._expire(int(now / BUCKET_WIDTH))
        return self._failures >= MIN_OUTLIER_FAILURES and self._failures > self._accepts

    def error_probability(
        self, now: float, multiplier: float = MAX_MULTIPLIER, protection: float = PROTECTED_REQUESTS
    ) -> float:
        """Return the rejection probability by adaptive throttling.

        Args:
            now: The time in seconds.
            multiplier: The K of the formula; it falls to MIN_MULTIPLIER as more buckets since the last
                success have failures.
            protection: The number of calls in the window that do not count.
        """
        self._expire(int(now / BUCKET_WIDTH))
        multiplier = multiplier - (multiplier - MIN_MULTIPLIER) * self._failing_buckets / BUCKET_COUNT
        return max(0.0, (self._requests - protection - multiplier * self._accepts) / (self._requests + 1))

    def latency_probability(self, timeout: float) -> float:
        """Return the rejection probability for a current latency far above the baseline.

        Args:
            timeout: Seconds that callers wait for a response; 0 for no limit, with a probability of 0.
        """
        threshold = LATENCY_ACTIVATION * self.latency_baseline
        latency_range = LATENCY_CEILING * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or latency_range <= 0.0:
            return 0.0
        probability = (self.current_latency - threshold) / latency_range * MAX_LATENCY_PROBABILITY
        return min(max(probability, 0.0), MAX_LATENCY_PROBABILITY)

    def rejection_probability(self, now: float, timeout: float) -> float:
        """Return the larger of the two rejection probabilities; `timeout` is in seconds."""
        return max(self.error_probability(now), self.latency_probability(timeout))

    def rejects(self, now: float, timeout: float, rng: Random) -> bool:
        """Whether to reject a call; one call in each PROBE_INTERVAL passes while calls are rejected.

        Args:
            now: The time in seconds.
            timeout: Seconds that callers wait for a response.
            rng: The source of randomness; used only if the probability is above 0 and no probe is due.
        """
        probability = self.rejection_probability(now, timeout)
        if probability <= 0.0:
            return False
        if now - self.last_probe_at < PROBE_INTERVAL and rng.random() < probability:
            self.record_rejection(now)
            return True
        self.last_probe_at = now
        return False
