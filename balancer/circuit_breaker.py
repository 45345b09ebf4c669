"""The circuit breaker of an endpoint or a pool; what follows from a rejection is decided by the caller."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

ERROR_WINDOW = 10.0  # seconds that the error probability looks back
BUCKET_COUNT = 40  # slices of the window
BUCKET_WIDTH = ERROR_WINDOW / BUCKET_COUNT  # seconds
MAX_MULTIPLIER = 1.5  # requests that one accepted call makes up for (the K of adaptive throttling)
MIN_MULTIPLIER = 1.1  # what the multiplier falls to where every recent bucket fails
PROTECTED_REQUESTS = 5  # requests that never count against an endpoint
MIN_OUTLIER_FAILURES = 2  # failures in the window from which an endpoint may be an outlier
PROBE_INTERVAL = 1.0  # seconds between calls that pass whatever the probability
LATENCY_ACTIVATION = 3.0  # multiple of the latency baseline where the latency probability leaves 0
LATENCY_CEILING = 0.95  # part of the timeout where the latency probability is full
MAX_LATENCY_PROBABILITY = 0.3  # the latency probability where it is full
RECENT_SAMPLES = 4.0  # samples that a current latency goes over
FALL_SAMPLES, RISE_SAMPLES = 4.0, 100.0  # samples that a latency baseline goes over as it falls, as it rises


@dataclass(slots=True)
class _Bucket:
    number: int
    requests: int = 0
    accepts: int = 0
    failures: int = 0


@dataclass(slots=True, eq=False)
class CircuitBreaker:
    """Rejects by the larger of two chances: by errors (SRE book), and by latency (go-zero PR #5366)."""

    latency_baseline: float = 0.0
    current_latency: float = 0.0
    last_probe_at: float = float("-inf")
    _buckets: deque[_Bucket] = field(default_factory=deque)
    _requests: int = 0
    _accepts: int = 0
    _failures: int = 0
    _failing_buckets: int = 0  # the newest buckets that hold failures alone

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
        """Return the part of the calls that failed, of those not rejected locally."""
        self._expire(int(now / BUCKET_WIDTH))
        return self._failures / (self._failures + self._accepts + PROTECTED_REQUESTS)

    def is_outlier(self, now: float) -> bool:
        """Whether most of the calls that went out failed, and not just one."""
        self._expire(int(now / BUCKET_WIDTH))
        return self._failures >= MIN_OUTLIER_FAILURES and self._failures > self._accepts

    def error_probability(
        self, now: float, multiplier: float = MAX_MULTIPLIER, protection: float = PROTECTED_REQUESTS
    ) -> float:
        """Return the chance by adaptive throttling; the multiplier falls as the newest buckets fail."""
        self._expire(int(now / BUCKET_WIDTH))
        multiplier = multiplier - (multiplier - MIN_MULTIPLIER) * self._failing_buckets / BUCKET_COUNT
        return max(0.0, (self._requests - protection - multiplier * self._accepts) / (self._requests + 1))

    def latency_probability(self, timeout: float) -> float:
        """Return the capped chance for a latency far over its baseline; 0 without a usable timeout."""
        threshold = LATENCY_ACTIVATION * self.latency_baseline
        span = LATENCY_CEILING * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or span <= 0.0:
            return 0.0
        probability = (self.current_latency - threshold) / span * MAX_LATENCY_PROBABILITY
        return min(max(probability, 0.0), MAX_LATENCY_PROBABILITY)

    def drop_probability(self, now: float, timeout: float) -> float:
        """Return the larger of the two chances."""
        return max(self.error_probability(now), self.latency_probability(timeout))

    def rejects(self, now: float, timeout: float, rng: Random) -> bool:
        """Whether to reject this call; one call in each probe interval passes while calls are dropped."""
        probability = self.drop_probability(now, timeout)
        if probability <= 0.0:
            return False
        if now - self.last_probe_at < PROBE_INTERVAL and rng.random() < probability:
            self.record_rejection(now)
            return True
        self.last_probe_at = now
        return False
