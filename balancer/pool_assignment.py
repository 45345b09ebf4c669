"""Pool assignment: which endpoint pool the requests of each class draw from, also after a reload."""

from collections.abc import Iterable

from balancer.attempts import RequestState
from balancer.endpoint_pool import EndpointPool
from balancer.settings import Placement, Settings


class PoolAssignment:
    """The pools of an instance; classes with the same placement share one."""

    def __init__(self) -> None:
        self.pools: list[EndpointPool] = []  # also those that only requests in flight still draw from
        self.by_class: list[EndpointPool] = []

    def configure(self, settings: Settings, previous: list[int], requests: Iterable[RequestState]) -> None:
        """Assign new classes, then requests in flight; a class keeps its pool with its name and placement."""
        placements = [request_class.placement for request_class in settings.classes]
        assigned: dict[Placement, EndpointPool] = {}
        for placement, index in zip(placements, previous, strict=True):
            if index >= 0 and self.by_class[index].placement == placement:
                assigned[placement] = self.by_class[index]
        for placement in placements:
            assigned.setdefault(placement, EndpointPool(placement))
        self.by_class = [assigned[placement] for placement in placements]
        narrowed: dict[Placement, EndpointPool] = {}
        for request in requests:
            placement = request.request_class.placement
            if request.class_index < 0 or request.pool.placement == placement:
                continue  # a request whose class is gone is finished as it was admitted
            pool = self.by_class[request.class_index]
            if pool.placement != placement:
                pool = narrowed.setdefault(placement, EndpointPool(placement))
            request.pool.pending -= not request.answered
            pool.pending += not request.answered
            request.pool = pool
        # Requests in flight may draw from pools that no class has any more.
        needed = [pool for pool in self.pools if pool.pending and pool not in self.by_class]
        self.pools = [*assigned.values(), *narrowed.values(), *needed]
