"""Pool assignment: which endpoint pool each class and each request in flight uses, also after a reload."""

from collections.abc import Iterable

from balancer.attempts import RequestState
from balancer.endpoint_pool import EndpointPool
from balancer.settings import Placement, Settings


class PoolAssignment:
    """The pools of an instance; classes with the same placement share a pool.

    Attributes:
        pools: All pools, including those that only requests in flight still use.
        by_class: The pool of each class, by class index.
    """

    def __init__(self) -> None:
        self.pools: list[EndpointPool] = []
        self.by_class: list[EndpointPool] = []

    def configure(
        self, settings: Settings, previous_indices: list[int], requests: Iterable[RequestState]
    ) -> None:
        """Assign a pool to each class and to each request in flight.

        Args:
            settings: The new settings.
            previous_indices: The index of each of their classes in the previous settings, -1 for a new class.
                A class with an unchanged placement retains its pool and the pool's learned state.
            requests: The requests in flight, with their classes already restricted to what the new settings
                also allow. A request whose placement has changed moves to the pool of that placement.
        """
        placements = [request_class.placement for request_class in settings.classes]
        class_pools: dict[Placement, EndpointPool] = {}
        for placement, index in zip(placements, previous_indices, strict=True):
            if index >= 0 and self.by_class[index].placement == placement:
                class_pools[placement] = self.by_class[index]
        for placement in placements:
            class_pools.setdefault(placement, EndpointPool(placement))
        self.by_class = [class_pools[placement] for placement in placements]
        restricted_pools: dict[Placement, EndpointPool] = {}
        for request in requests:
            placement = request.request_class.placement
            if request.class_index < 0 or request.pool.placement == placement:
                continue  # a request of a removed class is finished in the pool that it was admitted to
            pool = self.by_class[request.class_index]
            if pool.placement != placement:
                pool = restricted_pools.setdefault(placement, EndpointPool(placement))
            request.pool.pending -= not request.responded
            pool.pending += not request.responded
            request.pool = pool
        # Requests in flight may use pools that no class uses any more.
        unassigned_pools = [pool for pool in self.pools if pool.pending and pool not in self.by_class]
        self.pools = [*class_pools.values(), *restricted_pools.values(), *unassigned_pools]
