"""Endpoint pools; a class gets its pool from `pool_assignment`, a pool gets its subset from `subsetting`."""

from dataclasses import dataclass, field

from balancer.circuit_breaker import CircuitBreaker
from balancer.endpoint_state import EndpointState
from balancer.endpoints import Endpoint
from balancer.rate_estimators import SmoothedRate, WarmRate
from balancer.settings import DeduplicationScope, Placement

Groups = dict[tuple[DeduplicationScope, int], list[EndpointState]]


@dataclass(slots=True, eq=False, repr=False)
class EndpointPool:
    """The endpoints of one placement; every pick, first or retry, is drawn from a list that is kept here."""

    placement: Placement
    ready: list[EndpointState] = field(default_factory=list)  # in the order of the ring
    subset: list[EndpointState] = field(default_factory=list)  # the part that ordinary picks draw from
    cumulative_weights: list[float] = field(default_factory=list)  # where the stretch of each one ends
    ring_start: float = 0.0  # where the subset's stretch of the ring begins
    ring_span: float = 0.0  # the length of that stretch
    fallback_subset: list[EndpointState] = field(default_factory=list)  # stands in for a busy subset
    deduplication_groups: Groups = field(default_factory=dict)  # endpoints that discard each other's repeats
    offered_rate: SmoothedRate = field(default_factory=SmoothedRate)  # requests
    sent_rate: SmoothedRate = field(default_factory=SmoothedRate)  # attempts
    served_rate: SmoothedRate = field(default_factory=SmoothedRate)  # requests that were answered
    warm_rate: WarmRate = field(default_factory=WarmRate)  # attempts while all of the subset were warm
    first_request_at: float = float("inf")
    pending: int = 0  # requests whose final answer is still to be given
    smoothed_pending: float = 0.0  # the mean of `pending` over the last half second
    smoothed_at: float = 0.0  # when that mean was updated
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)  # of requests, wherever they went
    next_warm_at: float = float("inf")  # when the next of the warming endpoints is warm
    warm_fraction: float = 1.0  # of the subset

    def allows(self, endpoint: Endpoint) -> bool:
        """Whether the classes of this pool may go to this endpoint."""
        types, zones = self.placement.machine_types, self.placement.zones
        return (types is None or endpoint.machine_type in types) and (zones is None or endpoint.zone in zones)

    def set_ready(self, ready: list[EndpointState]) -> None:
        """Replace the endpoints; `ready` may hold some that the placement does not allow."""
        self.ready = [state for state in ready if self.allows(state.endpoint)]
        groups: Groups = {}
        for state in self.ready:
            groups.setdefault((DeduplicationScope.ZONE, state.endpoint.zone), []).append(state)
            groups.setdefault((DeduplicationScope.CELL, state.endpoint.cell), []).append(state)
        self.deduplication_groups = groups

    def record_request(self, now: float) -> None:
        """Count a request that a final answer is pending for."""
        self.offered_rate.add(now)
        self.pending += 1
        self.first_request_at = min(self.first_request_at, now)

    def rate_per_endpoint(self, now: float) -> float:
        """Return the calls a second that each endpoint of the subset gets from here.

        By calls sent, as rejected clients come back and count again. Where all endpoints are warming up, what
        is sent follows from this: there by calls offered, but not beyond the warm rate.
        """
        offered = min(self.offered_rate.read(now), self.warm_rate.read())
        rate = self.warm_fraction * self.sent_rate.read(now) + (1.0 - self.warm_fraction) * offered
        return rate / max(1, len(self.subset))
