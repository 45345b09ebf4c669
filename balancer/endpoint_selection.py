"""Endpoint selection by the power of two choices; `attempt_dispatch` then asks each candidate's breaker."""

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

#: Random endpoints that are compared by their scores, from the operator's DESIGN page ("of two random ready
#: servers"). Three were tried: a day of the score fell from 0.945 to 0.676 and 0.715 (docs/postmortems.md,
#: "Three random candidates instead of two").
CANDIDATES = 2
#: Random draws to find them: where most endpoints were tried already or are deferred, a selection must end.
#: Chosen: it came with the program, and no derivation is known.
MAX_DRAWS = 8


@dataclass(slots=True)
class EndpointSelection:
    """Draws the candidates for an attempt and orders them by their scores.

    Attributes:
        rng: The balancer's source of randomness.
        statistics: The latencies measured.
        slow_start: Which endpoints are warming up, and when they are deferred.
        assignment: The pools, all of which use the tokens of a warming endpoint.
    """

    rng: Random
    statistics: LatencyStatistics
    slow_start: SlowStart
    assignment: PoolAssignment

    def rank(self, now: float, request: RequestState, endpoints: list[EndpointState]) -> list[EndpointState]:
        """Return candidates for an attempt, the best first.

        A request must not wait behind others in the subset while endpoints outside it are idle, which
        matters most where the subset is narrow or an endpoint of it is slow or dead. So where all
        candidates are busy or outliers, two more are drawn from outside the subset. This instance sees none
        of the calls that other instances have in flight there: they are estimated by what it has in flight
        at its own subset on average. It can do harm where others have far more traffic, as their endpoints
        are busier than that.

        Args:
            now: The time in seconds.
            request: The request to send; endpoints that it was sent to are no candidates.
            endpoints: The list of the request's pool to draw from.
        """
        pool = request.pool
        # Before the first answer all endpoints count as equally fast.
        latency = self.statistics.tier_latency or request.request_class.latency_objective
        drawn = self._draw(now, request, endpoints)
        scores = {state: state.score(now, latency) for state in drawn}
        if endpoints is pool.subset and all(state.in_flight or state.is_outlier(now) for state in drawn):
            unseen = pool.sent_rate.read(now) * self.statistics.tier_latency / max(1, len(pool.subset))
            for state in self._draw(now, request, _outside_subset(now, pool, drawn)):
                if state not in pool.subset:
                    scores[state] = state.score(now, latency, unseen)
        if request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            # What can not be retried avoids outliers: a breaker admits calls until it has seen enough
            # failures, and one a second from then on. What can be retried finds out whether they have
            # recovered. It can do harm where the requests themselves cause the failures: their endpoint is
            # avoided for a window.
            return sorted(scores, key=lambda state: (state.is_outlier(now), scores[state]))
        return sorted(scores, key=scores.__getitem__)

    def _draw(self, now: float, request: RequestState, endpoints: list[EndpointState]) -> list[EndpointState]:
        """Draw up to CANDIDATES endpoints that the request was not sent to.

        From the subset, an endpoint is drawn with a probability in proportion to its part of the subset's
        stretch of the ring. Warming endpoints come from the subset alone, and `slow_start` may defer them.
        """
        found: list[EndpointState] = []
        pool, pools, count = request.pool, self.assignment.pools, len(endpoints)
        from_subset = endpoints is pool.subset
        if now >= pool.next_warm_at:
            self.slow_start.update_warm_fraction(now, pool)
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
            if warming and (not from_subset or self.slow_start.should_skip(now, state, pool, pools)):
                continue
            found.append(state)
            if len(found) == CANDIDATES:
                break
        return found


def _outside_subset(now: float, pool: EndpointPool, drawn: list[EndpointState]) -> list[EndpointState]:
    """Return the list to draw from where the candidates from the subset are all busy or outliers.

    That is the few endpoints of the fallback subset, and all ready ones only where the subset is dead or
    covers all of the list.
    """
    if pool.fallback_subset and not all(state.is_outlier(now) for state in drawn):
        return pool.fallback_subset
    return pool.ready
