"""Subsetting: chooses the endpoints that a proxy ordinarily uses.

Each proxy sends its attempts to a subset of the endpoints. With few attempts at each of many endpoints, the
circuit breakers would see too few of them to react, the latencies would be out of date, and the proxy's own
attempts in flight would not show how loaded an endpoint is. Each endpoint would also need a connection.

The endpoints are placed on a ring in a scattered order that is the same at every proxy. Each takes a segment
as long as its size. Proxy k of n uses a segment that begins at k/n of the ring, so that all endpoints are
covered equally.
"""

from dataclasses import dataclass
from math import sqrt

from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import EndpointState
from balancer.endpoints import EndpointId, EndpointStatus
from balancer.latency_statistics import LatencyStatistics
from balancer.settings import Settings
from balancer.slow_start import SlowStart

#: Endpoints of a subset beyond the first, per square root of the requests usually in flight. More requests
#: need more endpoints, but with fewer endpoints a proxy has more samples of each.
SUBSET_GROWTH = 1.0
#: Seconds after which the subsets are chosen again, to follow the traffic. Each endpoint that enters a subset
#: costs connections. After a change of the endpoint list, the subsets are chosen immediately.
RESIZE_INTERVAL = 3.0
#: Size of the fallback subset: this many endpoints for each one in the subset, and MIN_FALLBACKS more. With
#: all endpoints, fewer requests were served (see docs/postmortems.md, "Calls beyond a busy subset went to all
#: backends").
FALLBACKS_PER_ENDPOINT = 2
MIN_FALLBACKS = 2
#: 2^32 divided by the golden ratio. Multiplication by it scatters consecutive ids over 32 bits (Fibonacci
#: hashing).
RING_MULTIPLIER = 0x9E3779B1
RING_MASK = 0xFFFFFFFF  # selects the lower 32 bits of the product
DEFAULT_SIZE = 1.0  # the size of an endpoint that is listed without one


def ready_ring(states: dict[EndpointId, EndpointState]) -> list[EndpointState]:
    """Return the endpoints that are up, in a scattered order that is the same at every proxy."""
    ready = [state for state in states.values() if state.endpoint.status is EndpointStatus.UP]
    ready.sort(key=lambda state: (state.endpoint.id * RING_MULTIPLIER & RING_MASK, state.endpoint.id))
    return ready


@dataclass
class Subsetting:
    """Chooses the subsets of all pools, every RESIZE_INTERVAL and after each change of the endpoint list.

    Attributes:
        statistics: The measured latencies.
        slow_start: Updates which fraction of each subset is warm.
        settings: The settings in force.
        resize_at: When the next choice is due, in seconds.
    """

    statistics: LatencyStatistics
    slow_start: SlowStart
    settings: Settings
    resize_at: float = 0.0

    def resize(self, now: float, pools: list[EndpointPool]) -> None:
        """Choose the subset and the fallback subset of each pool."""
        self.resize_at = now + RESIZE_INTERVAL
        for pool in pools:
            self._choose_subset(now, pool)
            pool.fallback_subset = _fallback_subset(pool)
            self.slow_start.update_warm_fraction(now, pool)

    def _choose_subset(self, now: float, pool: EndpointPool) -> None:
        """Choose a pool's segment of the ring; the endpoints that overlap it are the subset."""
        total_size = sum(state.endpoint.size or DEFAULT_SIZE for state in pool.ready)
        mean_size = total_size / max(1, len(pool.ready))
        requests_in_flight = pool.offered_rate.read(now) * self.statistics.tier_latency
        wanted_size = mean_size * (1.0 + SUBSET_GROWTH * sqrt(requests_in_flight))
        step = total_size / self.settings.fleet_size  # complete steps cover all endpoints equally
        pool.ring_span = min(total_size, step * max(1, round(wanted_size / step))) if total_size else 0.0
        pool.ring_start = step * self.settings.ordinal
        pool.subset, pool.cumulative_weights = [], []
        end = 0.0
        for state in (*pool.ready, *pool.ready):  # the segment may extend past the end of the ring
            size = state.endpoint.size or DEFAULT_SIZE
            end += size
            if pool.ring_start < end and end - size < pool.ring_start + pool.ring_span:
                pool.subset.append(state)
                pool.cumulative_weights.append(end)


def _fallback_subset(pool: EndpointPool) -> list[EndpointState]:
    """Return the endpoints that are used while a pool's subset is busy: the next ones on the ring.

    If all endpoints were used, each would get a connection from every proxy of a large fleet. A new
    connection costs a handshake and capacity, and one to an endpoint that is rarely used is not reused.
    """
    if not pool.subset:
        return []
    start = pool.ready.index(pool.subset[-1]) + 1
    ring_from_start = pool.ready[start:] + pool.ready[:start]
    count = MIN_FALLBACKS + FALLBACKS_PER_ENDPOINT * len(pool.subset)
    return [state for state in ring_from_start[:count] if state not in pool.subset]
