"""Endpoint pools; `pool_assignment` assigns a pool to each class, `subsetting` a subset to each pool."""

from dataclasses import dataclass, field

from balancer.circuit_breaker import CircuitBreaker
from balancer.endpoint_state import EndpointState
from balancer.endpoints import Endpoint
from balancer.rate_estimators import SmoothedRate, WarmRate
from balancer.settings import DeduplicationScope, Placement

#: Endpoints by a deduplication scope and the index of the zone or cell.
DeduplicationGroups = dict[tuple[DeduplicationScope, int], list[EndpointState]]


@dataclass(slots=True, eq=False, repr=False)
class EndpointPool:
    """The endpoints that one placement allows, and the load of the classes that use them.

    Each selection of an endpoint, for a first attempt or a retry, draws from one of the pool's lists.

    Attributes:
        placement: The machine types and zones that the pool's classes are restricted to.
        ready: The endpoints that are up, in the order of the ring (see `subsetting`).
        subset: The ready endpoints that selections normally draw from.
        cumulative_weights: For each endpoint of the subset, the position on the ring where its segment ends.
        ring_start: The position on the ring where the subset's segment starts, in units of endpoint size.
        ring_span: The length of the subset's segment, in the same unit.
        fallback_subset: The endpoints to draw from if the subset is busy.
        deduplication_groups: The ready endpoints that discard each other's duplicates, by deduplication
            scope and zone or cell.
        offered_rate: Requests per second, rejected ones included.
        sent_rate: Attempts per second.
        served_rate: Requests per second whose final response came from an endpoint.
        warm_rate: Attempts per second while all endpoints of the subset were warm.
        first_request_at: When the first request arrived, in seconds.
        pending: The number of requests whose final response has not been given.
        smoothed_pending: The mean of `pending` over `admission_control.PENDING_SMOOTHING_SPAN`.
        smoothed_at: When that mean was last updated, in seconds.
        breaker: The circuit breaker that counts the requests of the pool at all endpoints.
        next_warm_at: When the next warming endpoint of the subset becomes warm, in seconds.
        warm_fraction: The fraction of the subset's endpoints that are warm, from 0 to 1.
    """

    placement: Placement
    ready: list[EndpointState] = field(default_factory=list)
    subset: list[EndpointState] = field(default_factory=list)
    cumulative_weights: list[float] = field(default_factory=list)
    ring_start: float = 0.0
    ring_span: float = 0.0
    fallback_subset: list[EndpointState] = field(default_factory=list)
    deduplication_groups: DeduplicationGroups = field(default_factory=dict)
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
        """Whether the placement allows this endpoint."""
        types, zones = self.placement.machine_types, self.placement.zones
        return (types is None or endpoint.machine_type in types) and (zones is None or endpoint.zone in zones)

    def set_ready(self, ready: list[EndpointState]) -> None:
        """Set the ready endpoints to those of `ready` that the placement allows."""
        self.ready = [state for state in ready if self.allows(state.endpoint)]
        groups: DeduplicationGroups = {}
        for state in self.ready:
            groups.setdefault((DeduplicationScope.ZONE, state.endpoint.zone), []).append(state)
            groups.setdefault((DeduplicationScope.CELL, state.endpoint.cell), []).append(state)
        self.deduplication_groups = groups

    def record_request(self, now: float) -> None:
        """Count a new request, whose final response is pending from now on."""
        self.offered_rate.add(now)
        self.pending += 1
        self.first_request_at = min(self.first_request_at, now)

    def rate_per_endpoint(self, now: float) -> float:
        """Return the attempts per second that each endpoint of the subset gets from this pool.

        The sent rate is used, not the offered rate, because the retries of rejected clients are offered
        again. While endpoints are warming up, the sent rate depends on this result. So the offered rate is
        used for their fraction of the subset, limited to the rate that was sent while all were warm (see
        docs/postmortems.md, "Retries of rejected clients were counted again in the slow-start budgets").
        """
        offered = min(self.offered_rate.read(now), self.warm_rate.read())
        rate = self.warm_fraction * self.sent_rate.read(now) + (1.0 - self.warm_fraction) * offered
        return rate / max(1, len(self.subset))
