"""Subsetting: the endpoints that ordinary picks draw from; if all are busy `endpoint_selection` goes on."""

from dataclasses import dataclass
from math import sqrt

from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import EndpointState
from balancer.endpoints import EndpointId, EndpointStatus
from balancer.latency_statistics import LatencyStatistics
from balancer.settings import Settings
from balancer.slow_start import SlowStart

SUBSET_GROWTH = 1.0  # endpoints of a subset beyond the first, for each root of the calls usually in flight
RESIZE_INTERVAL = 3.0  # seconds between two choices of the subsets
FALLBACKS_PER_ENDPOINT = 2  # endpoints that stand in for a busy subset, for each one in it
MIN_FALLBACKS = 2  # endpoints that stand in for a busy subset, whatever its size
RING_MULTIPLIER = 0x9E3779B1  # 2^32 over the golden ratio scatters consecutive ids


def ready_ring(states: dict[EndpointId, EndpointState]) -> list[EndpointState]:
    """Return the endpoints that are up, in a scattered order that is the same at every instance."""
    ready = [state for state in states.values() if state.endpoint.status is EndpointStatus.UP]
    ready.sort(key=lambda s: (s.endpoint.id * RING_MULTIPLIER & 0xFFFFFFFF, s.endpoint.id))
    return ready


@dataclass
class Subsetting:
    """Chooses the subsets of an instance's pools, every few seconds and after each change of the list."""

    statistics: LatencyStatistics
    slow_start: SlowStart
    settings: Settings
    resize_at: float = 0.0  # when the next choice is due

    def resize(self, now: float, pools: list[EndpointPool]) -> None:
        """Choose the subset of each pool."""
        self.resize_at = now + RESIZE_INTERVAL
        for pool in pools:
            self._choose(now, pool)
            pool.fallback_subset = _fallback_subset(pool)
            self.slow_start.measure(now, pool)

    def _choose(self, now: float, pool: EndpointPool) -> None:
        """Choose the subset's stretch of the ring, and put the endpoints that it touches into the subset.

        With few calls to many endpoints a breaker never leaves its protection, averages go stale, and the
        own in-flight says nothing. An endpoint's stretch is as long as its size.
        """
        total = sum(state.endpoint.size or 1.0 for state in pool.ready)
        mean_size = total / max(1, len(pool.ready))
        calls_in_flight = pool.offered_rate.read(now) * self.statistics.tier_latency
        wanted = mean_size * (1.0 + SUBSET_GROWTH * sqrt(calls_in_flight))
        step = total / self.settings.fleet_size  # only whole steps cover every endpoint alike
        pool.ring_span = min(total, step * max(1, round(wanted / step))) if total else 0.0
        pool.ring_start = step * self.settings.ordinal
        pool.subset, pool.cumulative_weights = [], []
        end = 0.0
        for state in (*pool.ready, *pool.ready):  # the stretch may reach past the ring's end
            size = state.endpoint.size or 1.0
            end += size
            if pool.ring_start < end and end - size < pool.ring_start + pool.ring_span:
                pool.subset.append(state)
                pool.cumulative_weights.append(end)


def _fallback_subset(pool: EndpointPool) -> list[EndpointState]:
    """Return the endpoints that stand in for a busy subset: the next ones on the ring.

    If any endpoint could, each would get a connection from every proxy of a large fleet: a new one costs a
    handshake and capacity, and one to an endpoint that is seldom called is never used again.
    """
    if not pool.subset:
        return []
    after = pool.ready.index(pool.subset[-1]) + 1
    ring = pool.ready[after:] + pool.ready[:after]
    count = MIN_FALLBACKS + FALLBACKS_PER_ENDPOINT * len(pool.subset)
    return [state for state in ring[:count] if state not in pool.subset]
