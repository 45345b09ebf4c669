"""Admission control: whether a new request is rejected before it costs work; quotas are in `tenant_quota`.

Sources of the constants: DESIGN is the operator's page on the design, docs/postmortems.md has the trials.
Where a comment ends in "Chosen.", the value came with the program as the operator handed it over, without
its history: it is not derived from a rule, and no trial of other values is known unless the comment names
one.
"""

from math import exp
from random import Random

from balancer.endpoint_pool import EndpointPool
from balancer.events import RejectReason
from balancer.latency_statistics import MIN_SAMPLES, LatencyStatistics
from balancer.rate_estimators import SMOOTHING_SPAN
from balancer.settings import Settings

#: Share of its latency objective that the class with the highest priority weight may be expected to wait; a
#: class without weight gets MIN_WAIT, and those between in proportion. What would answer late is rejected
#: before it costs work, the least valuable class first. What is left of the objective is for the work
#: itself and for expectations that are too low. Chosen.
MAX_WAIT = 0.7
MIN_WAIT = 0.35
#: Both shares shrink to this part of themselves where requests fail from overload, since queues that lose
#: requests have to drain before they serve. Chosen.
FAILING_WAIT = 0.57
#: FAILING_WAIT is reached where one request in this many fails. Chosen.
FAILING_SLOPE = 8.0
#: Share of the offered rate that counts as served at least: without it, requests stuck at dead endpoints
#: would block all others once nothing is served any more. Chosen.
OFFERED_PART = 0.1
#: Requests admitted even if none was served recently: a start, and a proxy with few calls, have served
#: nothing yet. One instead of three was no cure for a day of overload (docs/postmortems.md, zone+vast).
#: Chosen.
ADMITTED_ALWAYS = 3.0
#: Requests admitted beyond those, while none fail, by a proxy that is alone in its zone: the clients that it
#: rejects come straight back to it, so a short burst would be rejected again and again. Chosen.
ADMITTED_ALONE = 2.0
#: Seconds: a pool counts as no younger than this, as the rate correction for age would divide by almost 0.
#: Chosen.
MIN_AGE = 0.2

#: Multiple of the latency's baseline at which shedding by chance begins: a higher value lets more requests
#: pile up at endpoints that serve less the more they have in flight, a lower one sheds bursts that they
#: could have served. 1.75 to 2.5 raised the mean score of twelve days from 0.73 to 0.79 (1 play each); 2 to
#: 3 was worse on days of overload. Since the baseline is one of means, lower values were tried on
#: lima-feeds and served less: 0.466 from 1.2 to 1.7, where 1.75 to 2.5 served 0.547 and 0.568
#: (docs/postmortems.md, "All proxies together had more in flight than backends bear" and "Figures: the
#: standing test").
SHEDDING_START = 1.75
#: Multiple of the baseline at which all requests are shed; from the same trials.
SHEDDING_FULL = 2.5
#: Part by which both multiples are higher for the highest priority weight; from the same trials.
SHEDDING_PRIORITY = 0.5
#: Fleet sizes, in proxies: nothing is shed by chance at the first, and in full from the second on. Two or
#: three proxies see an overload by themselves, and shedding cost them more bursts than it saved (median
#: 0.901 to 0.877 of 3 plays each on the day "reload"; commit 3494bfc). Found by trials on that day and
#: three days of large fleets.
SHEDDING_MIN_FLEET, SHEDDING_FULL_FLEET = 2, 6
#: Seconds over which pending requests are averaged, as the number of one moment is mostly chance at a proxy
#: that has a few. Set together with SHEDDING_START, not derived.
PENDING_SMOOTHING_SPAN = 0.5

#: Requests that adaptive throttling never counts against a pool. DESIGN's 5 is for a single endpoint, which
#: sees a few calls in a window; a pool sees all calls of the proxy. Chosen.
POOL_PROTECTED_REQUESTS = 1.0
#: The K of adaptive throttling (DESIGN) for a class without weight is 1 / POOL_ACCEPTS, for the class with
#: the highest weight 1 / (POOL_ACCEPTS - POOL_PRIORITY): the least valuable requests go first. Chosen.
POOL_ACCEPTS = 0.85
POOL_PRIORITY = 0.45

#: Part of the tier's mean latency for which rejected clients should stay away: half of what is in flight has
#: ended by then. The time of one place (1 / rate served) let clients use up their attempts at once: 0.917
#: against 0.943 and 0.938 on event5803 (docs/postmortems.md, "Rejected clients never got a Retry-After").
RETRY_AFTER_PART = 0.5
#: Seconds that a client should stay away at most where the settings state no limit. Chosen.
MAX_RETRY_AFTER = 1.0


class AdmissionControl:
    """Admits what the tiers below can be expected to serve in time, the highest priority first.

    It acts at the first tier alone: a rejection at a lower tier wastes the work of the tiers above it. It
    decides by pool, so that congestion of a class that is restricted to some endpoints takes no capacity from
    the others.

    A request is rejected for one of three reasons. PENDING: the pending requests, over those served in a
    second, make an expected wait that is too long for the class. LATENCY: latency has left its baseline.
    THROTTLED: adaptive throttling counts too many failures over all endpoints of the pool; it sees failures
    that are too sparse for the breakers of single endpoints, which stay below their protection where many
    proxies share failing endpoints.

    It can do harm to a burst at a proxy with few calls. Its clients usually go to the other proxies of the
    zone; where there are none they come straight back, so there a burst is no overload until requests fail.

    Attributes:
        wait_budgets: The expected wait in seconds up to which a class is admitted, by class index.
        shedding_strength: The part of the chance of shedding by latency that applies, from 0 to 1.
        sole_proxy_allowance: The requests that are admitted beyond ADMITTED_ALWAYS while none fail.
    """

    def __init__(self, rng: Random, statistics: LatencyStatistics) -> None:
        self._rng, self._statistics = rng, statistics

    def configure(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings, rows = settings, settings.classes
        max_weight = max(row.priority_weight for row in rows) or 1.0
        span = (MAX_WAIT - MIN_WAIT) / max_weight
        self.wait_budgets = [r.latency_objective * (MIN_WAIT + span * r.priority_weight) for r in rows]
        self._weights = [row.priority_weight / max_weight for row in rows]
        self._multipliers = [1.0 / (POOL_ACCEPTS - POOL_PRIORITY * weight) for weight in self._weights]
        others = max(0, settings.fleet_size - SHEDDING_MIN_FLEET)
        self.shedding_strength = min(1.0, others / (SHEDDING_FULL_FLEET - SHEDDING_MIN_FLEET))
        self.sole_proxy_allowance = ADMITTED_ALONE if settings.fleet_size <= settings.zone_count else 0.0

    def rejection(
        self, now: float, pool: EndpointPool, class_index: int, *, is_within_quota: bool
    ) -> RejectReason | None:
        """Return why not to admit a request that is counted as pending already; None to admit it.

        Args:
            now: The time in seconds.
            pool: The pool that the request's class draws from.
            class_index: The class of the request.
            is_within_quota: Whether its tenant has a quota left for it.
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
        served /= 1.0 - exp(-max(age, MIN_AGE) / SMOOTHING_SPAN)
        if pool.pending > budget * served + ADMITTED_ALWAYS + self.sole_proxy_allowance * (1.0 - shrink):
            return RejectReason.PENDING
        if self._sheds_by_latency(now, pool, class_index, served):
            return RejectReason.LATENCY
        multiplier = self._multipliers[class_index]
        if self._rng.random() < pool.breaker.error_probability(now, multiplier, POOL_PROTECTED_REQUESTS):
            pool.breaker.record_rejection(now)
            return RejectReason.THROTTLED
        return None

    def _wait_budget(self, class_index: int, shrink: float) -> float:
        """Return the expected wait in seconds up to which a class is admitted.

        Pending requests over served ones is the mean wait of all classes, of which a class of short work
        waits a part: its budget is scaled up by that part. Without it, short work was rejected for the time
        that the long work of other classes takes (docs/postmortems.md, "Short work was rejected because of
        others' long work").

        Args:
            class_index: The class.
            shrink: How far the budget shrinks towards FAILING_WAIT, from 0 to 1: the part of requests that
                fail, times FAILING_SLOPE.
        """
        statistics = self._statistics
        latency = statistics.class_latency[class_index] if statistics.sample_count >= MIN_SAMPLES else 0.0
        scale = max(1.0, statistics.response_latency / latency) if latency > 0.0 else 1.0
        return (1.0 - (1.0 - FAILING_WAIT) * shrink) * self.wait_budgets[class_index] * scale

    def _sheds_by_latency(self, now: float, pool: EndpointPool, class_index: int, served: float) -> bool:
        """Whether to reject by chance as latency leaves its baseline.

        Endpoints serve less the more they hold. What all proxies may have in flight by the latency
        objectives alone is far more than that, and once endpoints are slow, the few requests that each
        proxy always admits keep them slow. Pending over served requests shows a stall before an answer is
        late. Both sides of the comparison are means: where work varies, the baseline of single latencies is
        far below their mean.

        It can do harm where endpoints are slow for another reason: they get less work than they could do.
        With two or three proxies it cost bursts more than it saved, so it acts where many share the tier.

        Args:
            now: The time in seconds.
            pool: The pool that the request's class draws from.
            class_index: The class of the request.
            served: The requests that the pool has served, per second.
        """
        decay = exp((pool.smoothed_at - now) / PENDING_SMOOTHING_SPAN)
        pool.smoothed_pending += (pool.pending - 1 - pool.smoothed_pending) * (1.0 - decay)
        pool.smoothed_at = now
        baseline = self._statistics.response_baseline
        if self._statistics.sample_count < MIN_SAMPLES or served <= 0.0 or baseline <= 0.0:
            return False
        wait = pool.smoothed_pending / served
        ratio = wait / (baseline * (1.0 + SHEDDING_PRIORITY * self._weights[class_index]))
        strength = min(1.0, (ratio - SHEDDING_START) / (SHEDDING_FULL - SHEDDING_START))
        return self._rng.random() < self.shedding_strength * strength

    def retry_after(self) -> float:
        """Return how many seconds a rejected client should stay away; 0 for no advice.

        Clients that guess lose time in which they want the answer, or one of few attempts. Advice is given at
        the first tier alone: callers of the other tiers do not come back by themselves.
        """
        limits = self._settings.limits
        if self._settings.tier or not limits.retry_after:
            return 0.0
        longest = limits.max_retry_after or MAX_RETRY_AFTER
        return min(RETRY_AFTER_PART * self._statistics.tier_latency, longest)
