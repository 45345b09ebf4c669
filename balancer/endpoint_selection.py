"""Endpoint selection by the power of two choices; whether a breaker lets the call through `balancer` asks."""

from bisect import bisect_right
from dataclasses import dataclass
from random import Random

from balancer.attempts import RequestState
from balancer.endpoint_state import EndpointState
from balancer.latency_statistics import LatencyStatistics
from balancer.pool_assignment import PoolAssignment
from balancer.settings import Idempotency
from balancer.slow_start import SlowStart

CANDIDATES = 2  # random endpoints that are compared by their scores
MAX_DRAWS = 8  # random draws to find them


@dataclass(slots=True)
class EndpointSelection:
    """Draws the candidates for an attempt and orders them, the best first."""

    rng: Random
    statistics: LatencyStatistics
    slow_start: SlowStart
    assignment: PoolAssignment

    def rank(self, now: float, request: RequestState, endpoints: list[EndpointState]) -> list[EndpointState]:
        """Return candidates among `endpoints`, a list of the request's pool; the best first.

        A request must not wait behind others in the subset while endpoints outside it stand idle, most of all
        where it is narrow or an endpoint of it is slow or dead. So where all candidates are busy or outliers,
        two more are drawn from outside, taken to have in flight of others' calls what ours have of ours on
        average. It can do harm where others have far more traffic: their endpoints are busier than they seem.
        """
        pool = request.pool
        # Before any answer all endpoints are alike.
        latency = self.statistics.tier_latency or request.request_class.latency_objective
        drawn = self._draw(now, request, endpoints)
        scores = {state: state.score(now, latency) for state in drawn}
        if endpoints is pool.subset and all(state.in_flight or state.is_outlier(now) for state in drawn):
            unseen = pool.sent_rate.read(now) * self.statistics.tier_latency / max(1, len(pool.subset))
            all_outliers = all(state.is_outlier(now) for state in drawn)
            outside = pool.fallback_subset if pool.fallback_subset and not all_outliers else pool.ready
            for state in self._draw(now, request, outside):
                if state not in pool.subset:
                    scores[state] = state.score(now, latency, unseen)
        if request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            # What can't be retried avoids outliers: a breaker lets calls through until it has seen enough,
            # and one a second then. What can be retried goes on finding out whether they have recovered. It
            # can do harm where the requests themselves are at fault: their endpoint is avoided for a window.
            return sorted(scores, key=lambda state: (state.is_outlier(now), scores[state]))
        return sorted(scores, key=scores.__getitem__)

    def _draw(self, now: float, request: RequestState, endpoints: list[EndpointState]) -> list[EndpointState]:
        """Draw two endpoints that the request was not sent to; warming ones come from the subset alone."""
        found: list[EndpointState] = []
        pool, pools, count = request.pool, self.assignment.pools, len(endpoints)
        from_subset = endpoints is pool.subset
        if now >= pool.next_warm_at:
            self.slow_start.measure(now, pool)
        tried = [attempt.target for attempt in request.attempts]
        for _ in range(MAX_DRAWS if endpoints else 0):
            if from_subset:
                position = pool.ring_start + pool.ring_span * self.rng.random()
                state = endpoints[min(bisect_right(pool.cumulative_weights, position), count - 1)]
            else:
                state = endpoints[int(self.rng.random() * count)]
            if state in found or state in tried:
                continue
            warming = self.slow_start.warm_at(state.endpoint) > now
            if warming and (not from_subset or self.slow_start.defers(now, state, pool, pools)):
                continue
            found.append(state)
            if len(found) == CANDIDATES:
                break
        return found
