"""Endpoint selection by the power of two choices; `attempt_dispatch` then checks the circuit breakers."""

from bisect import bisect_right
from dataclasses import dataclass
from random import Random

from balancer.attempts import RequestState
from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import EndpointState
from balancer.latency_statistics import LatencyStatistics
from balancer.pool_assignment import PoolAssignment
from balancer.settings import Idempotency
from balancer.slow_start import SlowStart

#: Number of random endpoints whose scores are compared (power of two choices). With three, requests
#: were rejected while backends were neither full nor failing (see docs/postmortems.md, "Three random
#: candidates instead of two").
CANDIDATE_COUNT = 2
#: Upper limit of the random draws in one selection, so that it also ends if most endpoints were already tried
#: or are not accepted as candidates because they are warming up.
MAX_DRAWS = 8


@dataclass(slots=True)
class EndpointSelection:
    """Draws the candidates for an attempt and orders them by their scores.

    Attributes:
        rng: The balancer's source of randomness.
        statistics: The measured latencies.
        slow_start: Limits the attempts at endpoints that are warming up.
        assignment: The pools; the attempts of all of them spend the tokens of a warming endpoint.
    """

    rng: Random
    statistics: LatencyStatistics
    slow_start: SlowStart
    assignment: PoolAssignment

    def rank(self, now: float, request: RequestState, endpoints: list[EndpointState]) -> list[EndpointState]:
        """Return candidates for an attempt, the best first.

        A request must not wait behind others in the subset while endpoints outside it are idle. This matters
        most if the subset is small, or one of its endpoints is slow or fails. So if all candidates are busy
        or outliers, up to two more are drawn from outside the subset. This instance cannot see the attempts
        that other instances have in flight there. It assumes as many as it has in flight itself at an
        endpoint of its own subset, on average. Limitation: if other instances have far more traffic, their
        endpoints are busier than this estimate.

        Args:
            now: The time in seconds.
            request: The request to send; endpoints of its earlier attempts are excluded.
            endpoints: The list of the request's pool to draw from.
        """
        pool = request.pool
        # Before the first response, all endpoints count as equally fast.
        latency = self.statistics.tier_latency or request.request_class.latency_objective
        candidates = self._draw(now, request, endpoints)
        scores = {state: state.score(now, latency) for state in candidates}
        if endpoints is pool.subset and all(state.in_flight or state.is_outlier(now) for state in candidates):
            # Little's law: the attempts in flight at the subset are their rate times their latency.
            in_flight = pool.sent_rate.read(now) * self.statistics.tier_latency / max(1, len(pool.subset))
            for state in self._draw(now, request, _fallback_endpoints(now, pool, candidates)):
                if state not in pool.subset:
                    scores[state] = state.score(now, latency, in_flight)
        if request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            # Non-idempotent requests avoid outliers because they cannot be retried after a failure there: a
            # breaker admits attempts until it has counted enough failures, and then one a second. Requests
            # that can be retried detect whether an outlier has recovered. Limitation: if the requests
            # themselves cause the failures, their endpoint is avoided for the breaker's window.
            return sorted(scores, key=lambda state: (state.is_outlier(now), scores[state]))
        return sorted(scores, key=scores.__getitem__)

    def _draw(self, now: float, request: RequestState, endpoints: list[EndpointState]) -> list[EndpointState]:
        """Draw up to CANDIDATE_COUNT endpoints that the request was not sent to yet.

        In the subset, the probability of an endpoint is proportional to its fraction of the subset's segment
        of the ring. Warming endpoints are drawn only from the subset, and only if `slow_start` accepts them.
        """
        candidates: list[EndpointState] = []
        pool, pools, endpoint_count = request.pool, self.assignment.pools, len(endpoints)
        is_subset = endpoints is pool.subset
        if now >= pool.next_warm_at:
            self.slow_start.update_warm_fraction(now, pool)
        tried = [attempt.target for attempt in request.attempts]
        for _ in range(MAX_DRAWS if endpoints else 0):
            if is_subset:
                position = pool.ring_start + pool.ring_span * self.rng.random()
                state = endpoints[min(bisect_right(pool.cumulative_weights, position), endpoint_count - 1)]
            else:
                state = endpoints[int(self.rng.random() * endpoint_count)]
            if state in candidates or state in tried:
                continue
            warming = self.slow_start.warm_at(state.endpoint) > now
            if warming and (not is_subset or self.slow_start.should_skip(now, state, pool, pools)):
                continue
            candidates.append(state)
            if len(candidates) == CANDIDATE_COUNT:
                break
        return candidates


def _fallback_endpoints(
    now: float, pool: EndpointPool, candidates: list[EndpointState]
) -> list[EndpointState]:
    """Return the list to draw from if all candidates from the subset are busy or outliers.

    This is the fallback subset, which has few endpoints. It is the list of all ready endpoints only if all
    candidates are outliers, or if the subset already contains all ready endpoints.
    """
    if pool.fallback_subset and not all(state.is_outlier(now) for state in candidates):
        return pool.fallback_subset
    return pool.ready
