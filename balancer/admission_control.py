"""Admission control: whether a new request is rejected before it costs work; quotas are in `tenant_quota`."""

from math import exp
from random import Random

from balancer.endpoint_pool import EndpointPool
from balancer.events import RejectReason
from balancer.latency_statistics import MIN_SAMPLES, LatencyStatistics
from balancer.settings import Settings

MAX_WAIT = 0.7  # part of its objective that the class with the highest priority weight may wait
MIN_WAIT = 0.35  # the same of a class with no priority weight
FAILING_WAIT = 0.57  # what is left of both at endpoints that lose what they are sent
FAILING_SLOPE = 8.0  # FAILING_WAIT is reached where one request in so many fails
OFFERED_PART = 0.1  # part of the offered rate that counts as served: stuck requests must not block all others
ADMITTED_ALWAYS = 3.0  # requests admitted whatever was served lately: a start, a proxy with few calls
ADMITTED_ALONE = 2.0  # requests admitted beyond those, while none fail, at a proxy alone in its zone
MIN_AGE, RATE_SPAN = 0.2, 2.0  # seconds: a younger pool counts as this old; a rate needs so long to be full

SHEDDING_START = 1.75  # multiple of the latency's baseline at which some requests are shed, by chance
SHEDDING_FULL = 2.5  # multiple of the baseline at which all are shed
SHEDDING_PRIORITY = 0.5  # part by which both are higher for the highest priority weight
SHEDDING_MIN_FLEET, SHEDDING_FULL_FLEET = 2, 6  # proxies: none is shed at 2, and in full from 6 on
SHEDDING_SPAN = 0.5  # seconds over which pending requests are averaged: a moment says little

POOL_PROTECTION = 1.0  # requests that never count against a pool: all calls of a proxy fill its window
POOL_ACCEPTS = 0.85  # requests with no weight are rejected beyond 1 / this times those served
POOL_PRIORITY = 0.45  # those with the highest weight beyond 1 / (POOL_ACCEPTS - POOL_PRIORITY) times

RETRY_AFTER_PART = 0.5  # part of the tier's latency for which rejected clients should stay away
MAX_RETRY_AFTER = 1.0  # seconds, where the settings state no other limit


class AdmissionControl:
    """Admits what the tiers below can be expected to serve in time, the highest priority first.

    It acts at the first tier alone: a rejection further down wastes the work above. It goes by pool, so that
    a jam of a class that is bound to some endpoints takes no capacity from the others.
    """

    def __init__(self, rng: Random, statistics: LatencyStatistics) -> None:
        self._rng, self._statistics = rng, statistics

    def configure(self, settings: Settings) -> None:
        """Take over new settings."""
        self._settings, rows = settings, settings.classes
        max_weight = max(row.priority_weight for row in rows) or 1.0
        span = (MAX_WAIT - MIN_WAIT) / max_weight
        self.wait_budgets = [r.latency_objective * (MIN_WAIT + span * r.priority_weight) for r in rows]
        self._weights = [row.priority_weight / max_weight for row in rows]
        self._multipliers = [1.0 / (POOL_ACCEPTS - POOL_PRIORITY * weight) for weight in self._weights]
        others = max(0, settings.fleet_size - SHEDDING_MIN_FLEET)
        self.shedding_strength = min(1.0, others / (SHEDDING_FULL_FLEET - SHEDDING_MIN_FLEET))
        self.admitted_alone = ADMITTED_ALONE if settings.fleet_size <= settings.zone_count else 0.0

    def rejection(
        self, now: float, pool: EndpointPool, class_index: int, *, is_within_quota: bool
    ) -> RejectReason | None:
        """Return why not to admit a request that is counted as pending already; None to admit it.

        What would end late is rejected at once: where the requests pending, over those served a second, make
        a wait too long for the class, by latency, or by adaptive throttling over whole requests. That sees
        failures too sparse for the breakers, which stay protected at many proxies while all endpoints fail.
        It can harm a burst at a proxy with few calls: its clients are dealt to the zone's other proxies, but
        where there are none they come straight back, so there a burst is no overload until requests fail.
        """
        if self._settings.tier:
            return None
        shrink = min(1.0, FAILING_SLOPE * pool.breaker.failure_ratio(now))
        budget = self._wait_budget(class_index, shrink)
        if not is_within_quota:
            budget *= 1.0 - (1.0 - self._settings.over_quota_weight) * shrink
        age = now - pool.first_request_at
        # At the start nothing can have been served yet, and smoothed rates still count from zero.
        served = pool.offered_rate.read(now) * (1.0 if age < budget else OFFERED_PART)
        served = max(served, pool.served_rate.read(now))
        served /= 1.0 - exp(-max(age, MIN_AGE) / RATE_SPAN)
        if pool.pending > budget * served + ADMITTED_ALWAYS + self.admitted_alone * (1.0 - shrink):
            return RejectReason.PENDING
        if self._sheds_by_latency(now, pool, class_index, served):
            return RejectReason.LATENCY
        multiplier = self._multipliers[class_index]
        if self._rng.random() < pool.breaker.error_probability(now, multiplier, POOL_PROTECTION):
            pool.breaker.record_rejection(now)
            return RejectReason.THROTTLED
        return None

    def _wait_budget(self, class_index: int, shrink: float) -> float:
        """Return the expected wait up to which a class is admitted.

        It shrinks with the part that fails: queues that lose requests must drain before they serve. Requests
        pending over those served is a mean of all; a class of short work waits a part of that alone.
        """
        statistics = self._statistics
        latency = statistics.class_latency[class_index] if statistics.sample_count >= MIN_SAMPLES else 0.0
        scale = max(1.0, statistics.answer_latency / latency) if latency > 0.0 else 1.0
        return (1.0 - (1.0 - FAILING_WAIT) * shrink) * self.wait_budgets[class_index] * scale

    def _sheds_by_latency(self, now: float, pool: EndpointPool, class_index: int, served: float) -> bool:
        """Whether to reject by chance as latency leaves its baseline.

        Endpoints do less the more they hold. What all proxies may have in flight by the objectives alone is
        far more than that, and once endpoints are slow the few requests that each proxy always admits keep
        them so. Pending over served shows a stall before an answer is late. Both sides are means: where work
        varies the baseline of single latencies is far below their mean. It can do harm where endpoints are
        slow for another reason: they get less than they could do. With two or three proxies it cost bursts
        more than it saved, so it acts where many share the tier.
        """
        decay = exp((pool.smoothed_at - now) / SHEDDING_SPAN)
        pool.smoothed_pending += (pool.pending - 1 - pool.smoothed_pending) * (1.0 - decay)
        pool.smoothed_at = now
        baseline = self._statistics.answer_baseline
        if self._statistics.sample_count < MIN_SAMPLES or served <= 0.0 or baseline <= 0.0:
            return False
        wait = pool.smoothed_pending / served
        ratio = wait / (baseline * (1.0 + SHEDDING_PRIORITY * self._weights[class_index]))
        strength = min(1.0, (ratio - SHEDDING_START) / (SHEDDING_FULL - SHEDDING_START))
        return self._rng.random() < self.shedding_strength * strength

    def retry_after(self) -> float:
        """Return how long a rejected client should stay away: until a part of what is in flight has ended.

        Clients that guess lose time that their answer is wanted in, or one of few attempts. At the first tier
        alone: nobody else comes back by itself.
        """
        limits = self._settings.limits
        if self._settings.tier or not limits.retry_after:
            return 0.0
        longest = limits.max_retry_after or MAX_RETRY_AFTER
        return min(RETRY_AFTER_PART * self._statistics.tier_latency, longest)
