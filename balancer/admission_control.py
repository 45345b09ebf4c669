"""Admission control: rejects requests that cannot be served in time, those of the lowest priority first.

It decides on arrival, before any work is done for the request. `tenant_quota` counts which requests are
within their tenant's quota.
"""

from math import exp
from random import Random

from balancer.endpoint_pool import EndpointPool
from balancer.events import RejectReason
from balancer.latency_statistics import MIN_SAMPLES, LatencyStatistics
from balancer.rate_estimators import SMOOTHING_SPAN
from balancer.settings import Settings

#: Longest expected wait at which a request is admitted, as a fraction of the latency objective of its class:
#: for the highest priority weight, and for a weight of 0. Weights in between are interpolated. The
#: remaining time is left for the work itself and for estimates that are too low.
MAX_WAIT_FRACTION = 0.7
MIN_WAIT_FRACTION = 0.35
#: Factor of both fractions while many requests fail from overload: the queues have to drain before requests
#: are served in time again.
FAILING_WAIT_FACTOR = 0.57
#: How fast the fractions shrink to that as requests fail: completely at a failure ratio of 1 / this value.
SHRINK_PER_FAILURE_RATIO = 8.0
#: Lower bound of the served rate, as a fraction of the offered rate. Without it, requests stuck at dead
#: endpoints would block all others once nothing is served.
MIN_SERVED_FRACTION = 0.1
#: Pending requests that are allowed at any served rate, as a proxy that has just started or gets few requests
#: has not served any recently. A value of 1 did not reduce overload.
PENDING_ALLOWANCE = 3.0
#: Further pending requests that are allowed while none fail, at a proxy that is the only one in its zone. Its
#: rejected clients retry at the same proxy, so a short burst would be rejected again and again.
SOLE_PROXY_ALLOWANCE = 2.0
#: Seconds; a younger pool counts as this old, because the correction of its rates for its age would otherwise
#: divide by almost 0.
MIN_POOL_AGE = 0.2

#: Ratio of the expected wait to the latency baseline at which shedding by latency begins. Higher values let
#: more requests pile up at endpoints that serve less the more they have in flight. Lower values reject
#: bursts that the endpoints could have served.
SHEDDING_START_RATIO = 1.75
#: Ratio of the expected wait to the latency baseline at which all requests are shed.
SHEDDING_FULL_RATIO = 2.5
#: Fraction by which both ratios are higher for the highest priority weight, and in proportion for others.
SHEDDING_PRIORITY_FRACTION = 0.5
#: Fleet sizes, in proxies, up to which nothing is shed by latency, and from which the full probability
#: applies. Two or three proxies notice an overload by other means, and there shedding rejected more
#: requests of bursts than it saved.
SHEDDING_MIN_FLEET_SIZE, SHEDDING_FULL_FLEET_SIZE = 2, 6
#: Seconds over which the number of pending requests is averaged. At a proxy with few requests the number at
#: one moment is mostly noise.
PENDING_SMOOTHING_SPAN = 0.5

#: Requests in the breaker's window that adaptive throttling never counts against a pool. A single endpoint
#: has more of them (`circuit_breaker.PROTECTED_REQUESTS`), as it gets only a few calls in a window, while a
#: pool gets all calls of the proxy.
POOL_PROTECTED_REQUESTS = 1.0
#: Ratio of accepted to all requests below which adaptive throttling rejects requests of a class of weight 0,
#: and by how much this ratio is lower for the highest priority weight. The K of the formula is 1 / ratio, so
#: requests of low priority are rejected first.
POOL_ACCEPT_RATIO = 0.85
PRIORITY_ACCEPT_RATIO_REDUCTION = 0.45

#: Delay advised to rejected clients, as a ratio to the tier's mean latency: half of the requests in flight
#: have ended by then. With the time until one more request can be served (1 / served rate), clients used up
#: their attempts immediately.
RETRY_AFTER_RATIO = 0.5
DEFAULT_MAX_RETRY_AFTER = 1.0  # seconds; the longest delay advised where the settings state no limit


class AdmissionControl:
    """Admits the requests that the tiers below are expected to serve in time, the highest priority first.

    It acts only at the first tier: a rejection at a lower tier wastes the work of the tiers above. It decides
    for each pool separately, so that congestion of a class that is restricted to some endpoints takes no
    capacity from the other classes.

    The expected wait of a request is the number of pending requests divided by the served rate. A request is
    rejected for one of three reasons:
        PENDING: The expected wait is too long for the class.
        LATENCY: The expected wait is far above the latency baseline.
        THROTTLED: Adaptive throttling (see `circuit_breaker`) counts too many failures over all endpoints of
            the pool. It reacts to failures that the breakers of single endpoints miss: where many proxies
            share the failing endpoints, each breaker counts too few of them.

    Limitation: it may reject a burst at a proxy with few requests. The clients usually retry at other proxies
    of the zone. Where there are none they retry at the same proxy, so at the only proxy of a zone a burst
    does not count as overload until requests fail.

    Attributes:
        wait_budgets: The longest expected wait in seconds at which a class is admitted, by class index.
        shedding_strength: The factor of the probability of shedding by latency, from 0 to 1.
        sole_proxy_allowance: The pending requests allowed beyond PENDING_ALLOWANCE while none fail.
    """

    def __init__(self, rng: Random, statistics: LatencyStatistics) -> None:
        self._rng, self._statistics = rng, statistics

    def configure(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings, classes = settings, settings.classes
        max_weight = max(each.priority_weight for each in classes) or 1.0
        slope = (MAX_WAIT_FRACTION - MIN_WAIT_FRACTION) / max_weight
        self.wait_budgets = [
            each.latency_objective * (MIN_WAIT_FRACTION + slope * each.priority_weight) for each in classes
        ]
        self._weights = [each.priority_weight / max_weight for each in classes]
        self._multipliers = [
            1.0 / (POOL_ACCEPT_RATIO - PRIORITY_ACCEPT_RATIO_REDUCTION * weight) for weight in self._weights
        ]
        proxies_above_min = max(0, settings.fleet_size - SHEDDING_MIN_FLEET_SIZE)
        self.shedding_strength = min(
            1.0, proxies_above_min / (SHEDDING_FULL_FLEET_SIZE - SHEDDING_MIN_FLEET_SIZE)
        )
        is_sole_proxy = settings.fleet_size <= settings.zone_count
        self.sole_proxy_allowance = SOLE_PROXY_ALLOWANCE if is_sole_proxy else 0.0

    def rejection(
        self, now: float, pool: EndpointPool, class_index: int, *, is_within_quota: bool
    ) -> RejectReason | None:
        """Return why to reject a request; None to admit it.

        Args:
            now: The time in seconds.
            pool: The pool of the request's class, which already counts the request as pending.
            class_index: The class of the request.
            is_within_quota: Whether the tenant's quota covers the request.
        """
        if self._settings.tier:
            return None
        shrink = min(1.0, SHRINK_PER_FAILURE_RATIO * pool.breaker.failure_ratio(now))
        budget = self._wait_budget(class_index, shrink)
        if not is_within_quota:
            budget *= 1.0 - (1.0 - self._settings.over_quota_weight) * shrink
        age = now - pool.first_request_at
        # A pool younger than the budget cannot have served anything yet, so the offered rate counts.
        served_rate = pool.offered_rate.read(now) * (1.0 if age < budget else MIN_SERVED_FRACTION)
        served_rate = max(served_rate, pool.served_rate.read(now))
        # The smoothed rates of a young pool are still rising from 0.
        served_rate /= 1.0 - exp(-max(age, MIN_POOL_AGE) / SMOOTHING_SPAN)
        allowance = self.sole_proxy_allowance * (1.0 - shrink)
        if pool.pending > budget * served_rate + PENDING_ALLOWANCE + allowance:
            return RejectReason.PENDING
        if self._sheds_by_latency(now, pool, class_index, served_rate):
            return RejectReason.LATENCY
        multiplier = self._multipliers[class_index]
        if self._rng.random() < pool.breaker.error_probability(now, multiplier, POOL_PROTECTED_REQUESTS):
            pool.breaker.record_rejection(now)
            return RejectReason.THROTTLED
        return None

    def _wait_budget(self, class_index: int, shrink: float) -> float:
        """Return the longest expected wait in seconds at which a class is admitted.

        The expected wait (pending over served requests) is a mean over all classes. A class of short work
        waits only a fraction of it, so its budget is divided by that fraction. Otherwise short work would be
        rejected for the time that the long work of other classes takes (see docs/postmortems.md, "Short work
        was rejected because of others' long work").

        Args:
            class_index: The class.
            shrink: How far the budget shrinks towards FAILING_WAIT_FACTOR, from 0 to 1.
        """
        statistics = self._statistics
        latency = statistics.class_latency[class_index] if statistics.sample_count >= MIN_SAMPLES else 0.0
        scale = max(1.0, statistics.response_latency / latency) if latency > 0.0 else 1.0
        return (1.0 - (1.0 - FAILING_WAIT_FACTOR) * shrink) * self.wait_budgets[class_index] * scale

    def _sheds_by_latency(self, now: float, pool: EndpointPool, class_index: int, served_rate: float) -> bool:
        """Whether to reject a request at random because the expected wait exceeds the latency baseline.

        Endpoints serve less the more requests they have in flight. The wait budgets do not prevent that: they
        allow all proxies together far too many requests in flight, and once endpoints are slow, the
        PENDING_ALLOWANCE of all proxies keeps them slow. The expected wait shows a stall before any response
        is late. It is compared with a baseline of mean latencies, because a baseline of single latencies is
        far below their mean where work varies.

        Limitation: endpoints that are slow for another reason get less work than they could do. With two or
        three proxies this costs more requests than it saves, so `shedding_strength` grows with the fleet.

        Args:
            now: The time in seconds.
            pool: The pool of the request's class.
            class_index: The class of the request.
            served_rate: The requests that the pool serves, per second.
        """
        decay = exp((pool.smoothed_at - now) / PENDING_SMOOTHING_SPAN)
        pool.smoothed_pending += (pool.pending - 1 - pool.smoothed_pending) * (1.0 - decay)
        pool.smoothed_at = now
        baseline = self._statistics.response_baseline
        if self._statistics.sample_count < MIN_SAMPLES or served_rate <= 0.0 or baseline <= 0.0:
            return False
        expected_wait = pool.smoothed_pending / served_rate
        ratio = expected_wait / (baseline * (1.0 + SHEDDING_PRIORITY_FRACTION * self._weights[class_index]))
        probability = min(1.0, (ratio - SHEDDING_START_RATIO) / (SHEDDING_FULL_RATIO - SHEDDING_START_RATIO))
        return self._rng.random() < self.shedding_strength * probability

    def retry_after(self) -> float:
        """Return the seconds after which a rejected client should retry; 0 for no advice.

        Clients without advice may retry too late for their deadline, or so early that they waste one of few
        attempts. Only the first tier gives advice: callers of the other tiers do not retry by themselves.
        """
        limits = self._settings.limits
        if self._settings.tier or not limits.retry_after:
            return 0.0
        longest = limits.max_retry_after or DEFAULT_MAX_RETRY_AFTER
        return min(RETRY_AFTER_RATIO * self._statistics.tier_latency, longest)
