"""Pool assignment: which endpoint pool the requests of each class draw from, before and after a reload."""

from collections.abc import Iterable

from balancer.attempts import RequestState
from balancer.endpoint_pool import EndpointPool
from balancer.settings import Placement, Settings


class PoolAssignment:
    """The pools of an instance; classes with the same placement share one.

    Attributes:
        pools: All pools, those included that only requests in flight still draw from.
        by_class: By class index, the pool of the class.
    """

    def __init__(self) -> None:
        self.pools: list[EndpointPool] = []
        self.by_class: list[EndpointPool] = []

    def configure(self, settings: Settings, previous: list[int], requests: Iterable[RequestState]) -> None:
        """Assign a pool to each class, then to the requests in flight.

        Args:
            settings: The new settings.
            previous: The index of each of their classes in the previous settings, -1 for a new class. A class
                that keeps its placement keeps its pool, with what it has learned.
            requests: The requests in flight, their classes narrowed by the new settings. A request whose
                class is restricted further moves to the pool of its own placement.
        """
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
                continue  # a request whose class was removed is finished as it was admitted
            pool = self.by_class[request.class_index]
            if pool.placement != placement:
                pool = narrowed.setdefault(placement, EndpointPool(placement))
            request.pool.pending -= not request.responded
            pool.pending += not request.responded
            request.pool = pool
        # Requests in flight may draw from pools that no class uses any more.
        needed = [pool for pool in self.pools if pool.pending and pool not in self.by_class]
        self.pools = [*assigned.values(), *narrowed.values(), *needed]
