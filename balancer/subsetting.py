"""Subsetting: the endpoints that selections ordinarily draw from.

Each instance calls only a part of the endpoints: with few calls to many endpoints, each on a connection of
its own, breakers never leave their protection, latencies are out of date and the own calls in flight show
nothing (DESIGN names this as the limit of per-server breakers at scale).

The endpoints lie on a ring in a scattered order that is the same at every instance, each with a stretch as
long as its size. Instance k of n draws from a stretch that begins at k/n of the ring, so that all endpoints
are covered alike.
"""

from dataclasses import dataclass
from math import sqrt

from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import EndpointState
from balancer.endpoints import EndpointId, EndpointStatus
from balancer.latency_statistics import LatencyStatistics
from balancer.settings import Settings
from balancer.slow_start import SlowStart

#: Endpoints of a subset beyond the first, for each root of the calls usually in flight: more calls need
#: more endpoints, but the fewer there are, the more this instance learns of each of them. Chosen: it came
#: with the program, and no derivation is known.
SUBSET_GROWTH = 1.0
#: Seconds between two choices of the subsets, which follow the traffic; after a change of the list they are
#: chosen at once. A new endpoint in a subset costs connections. Chosen.
RESIZE_INTERVAL = 3.0
#: Endpoints that are selected where the subset is busy: this many for each one in it, and MIN_FALLBACKS more.
#: Set with the change to few fallbacks instead of all endpoints, which took a day with 177 proxies from a
#: score of 0.544 to 0.631 (1 play each; docs/postmortems.md, "Calls beyond a busy subset went to all
#: backends"). Not derived.
FALLBACKS_PER_ENDPOINT = 2
MIN_FALLBACKS = 2
#: 2^32 over the golden ratio: multiplied by it, consecutive ids scatter over all of 32 bits (Fibonacci
#: hashing).
RING_MULTIPLIER = 0x9E3779B1
RING_MASK = 0xFFFFFFFF  # keeps 32 bits of the product
UNKNOWN_SIZE = 1.0  # the size of an endpoint that is listed without one


def ready_ring(states: dict[EndpointId, EndpointState]) -> list[EndpointState]:
    """Return the endpoints that are up, in a scattered order that is the same at every instance."""
    ready = [state for state in states.values() if state.endpoint.status is EndpointStatus.UP]
    ready.sort(key=lambda s: (s.endpoint.id * RING_MULTIPLIER & RING_MASK, s.endpoint.id))
    return ready


@dataclass
class Subsetting:
    """Chooses the subsets of an instance's pools, every few seconds and after each change of the list.

    Attributes:
        statistics: The latencies measured.
        slow_start: Measures how much of each subset is warm.
        settings: The settings in force.
        resize_at: When the next choice is due, in seconds.
    """

    statistics: LatencyStatistics
    slow_start: SlowStart
    settings: Settings
    resize_at: float = 0.0

    def resize(self, now: float, pools: list[EndpointPool]) -> None:
        """Choose the subset of each pool."""
        self.resize_at = now + RESIZE_INTERVAL
        for pool in pools:
            self._choose(now, pool)
            pool.fallback_subset = _fallback_subset(pool)
            self.slow_start.update_warm_fraction(now, pool)

    def _choose(self, now: float, pool: EndpointPool) -> None:
        """Choose the subset's stretch of the ring, and put the endpoints that it touches into the subset."""
        total = sum(state.endpoint.size or UNKNOWN_SIZE for state in pool.ready)
        mean_size = total / max(1, len(pool.ready))
        calls_in_flight = pool.offered_rate.read(now) * self.statistics.tier_latency
        wanted = mean_size * (1.0 + SUBSET_GROWTH * sqrt(calls_in_flight))
        step = total / self.settings.fleet_size  # only complete steps cover every endpoint alike
        pool.ring_span = min(total, step * max(1, round(wanted / step))) if total else 0.0
        pool.ring_start = step * self.settings.ordinal
        pool.subset, pool.cumulative_weights = [], []
        end = 0.0
        for state in (*pool.ready, *pool.ready):  # the stretch may reach past the ring's end
            size = state.endpoint.size or UNKNOWN_SIZE
            end += size
            if pool.ring_start < end and end - size < pool.ring_start + pool.ring_span:
                pool.subset.append(state)
                pool.cumulative_weights.append(end)


def _fallback_subset(pool: EndpointPool) -> list[EndpointState]:
    """Return the endpoints that are selected where a pool's subset is busy: the next ones on the ring.

    If any endpoint could, each would get a connection from every proxy of a large fleet: a new one costs a
    handshake and capacity, and a connection to an endpoint that is seldom called is never used again.
    """
    if not pool.subset:
        return []
    after = pool.ready.index(pool.subset[-1]) + 1
    ring = pool.ready[after:] + pool.ready[:after]
    count = MIN_FALLBACKS + FALLBACKS_PER_ENDPOINT * len(pool.subset)
    return [state for state in ring[:count] if state not in pool.subset]
