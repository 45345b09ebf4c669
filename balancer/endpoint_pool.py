"""Endpoint pools; `pool_assignment` gives a class its pool, and `subsetting` gives a pool its subset."""

from dataclasses import dataclass, field

from balancer.circuit_breaker import CircuitBreaker
from balancer.endpoint_state import EndpointState
from balancer.endpoints import Endpoint
from balancer.rate_estimators import SmoothedRate, WarmRate
from balancer.settings import DeduplicationScope, Placement

Groups = dict[tuple[DeduplicationScope, int], list[EndpointState]]


@dataclass(slots=True, eq=False, repr=False)
class EndpointPool:
    """The endpoints of one placement, and the load of the classes that draw from them.

    Each selection, for a first attempt or a retry, draws from one of the pool's lists of endpoints.

    Attributes:
        placement: The machine types and zones that the pool's classes are restricted to.
        ready: The endpoints that are up, in the order of the ring (see `subsetting`).
        subset: Those of them that selections ordinarily draw from.
        cumulative_weights: For each endpoint of the subset, where its stretch of the ring ends.
        ring_start: Where the subset's stretch of the ring begins, in units of endpoint size.
        ring_span: The length of that stretch.
        fallback_subset: The endpoints that are selected where the subset is busy.
        deduplication_groups: The ready endpoints that discard each other's repeats, by scope and zone or
            cell.
        offered_rate: Requests a second.
        sent_rate: Attempts a second.
        served_rate: Answered requests a second.
        warm_rate: Attempts a second while all endpoints of the subset were warm.
        first_request_at: When the first request came, in seconds.
        pending: Requests whose final answer is still to be given.
        smoothed_pending: The mean of `pending` over `admission_control.PENDING_SMOOTHING_SPAN`.
        smoothed_at: When that mean was last updated, in seconds.
        breaker: The circuit breaker over all requests of the pool, at whichever endpoint.
        next_warm_at: When the next of the subset's warming endpoints is warm, in seconds.
        warm_fraction: The share of the subset's endpoints that is warm, from 0 to 1.
    """

    placement: Placement
    ready: list[EndpointState] = field(default_factory=list)
    subset: list[EndpointState] = field(default_factory=list)
    cumulative_weights: list[float] = field(default_factory=list)
    ring_start: float = 0.0
    ring_span: float = 0.0
    fallback_subset: list[EndpointState] = field(default_factory=list)
    deduplication_groups: Groups = field(default_factory=dict)
    offered_rate: SmoothedRate = field(default_factory=SmoothedRate)
    sent_rate: SmoothedRate = field(default_factory=SmoothedRate)
    served_rate: SmoothedRate = field(default_factory=SmoothedRate)
    warm_rate: WarmRate = field(default_factory=WarmRate)
    first_request_at: float = float("inf")
    pending: int = 0
    smoothed_pending: float = 0.0
    smoothed_at: float = 0.0
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    next_warm_at: float = float("inf")
    warm_fraction: float = 1.0

    def allows(self, endpoint: Endpoint) -> bool:
        """Whether the classes of this pool may use this endpoint."""
        types, zones = self.placement.machine_types, self.placement.zones
        return (types is None or endpoint.machine_type in types) and (zones is None or endpoint.zone in zones)

    def set_ready(self, ready: list[EndpointState]) -> None:
        """Replace the endpoints by those of `ready` that the placement allows."""
        self.ready = [state for state in ready if self.allows(state.endpoint)]
        groups: Groups = {}
        for state in self.ready:
            groups.setdefault((DeduplicationScope.ZONE, state.endpoint.zone), []).append(state)
            groups.setdefault((DeduplicationScope.CELL, state.endpoint.cell), []).append(state)
        self.deduplication_groups = groups

    def record_request(self, now: float) -> None:
        """Count a request whose final answer is pending from now on."""
        self.offered_rate.add(now)
        self.pending += 1
        self.first_request_at = min(self.first_request_at, now)

    def rate_per_endpoint(self, now: float) -> float:
        """Return the calls a second that each endpoint of the subset gets from this pool.

        This is the rate of calls sent, as rejected clients come back and are offered again. Where endpoints
        are warming up, what is sent follows from this very figure: for their part the rate of calls offered
        counts, but not beyond the rate sent while all were warm (docs/postmortems.md, "Retries of rejected
        clients were counted again in the slow-start budgets").
        """
        offered = min(self.offered_rate.read(now), self.warm_rate.read())
        rate = self.warm_fraction * self.sent_rate.read(now) + (1.0 - self.warm_fraction) * offered
        return rate / max(1, len(self.subset))
