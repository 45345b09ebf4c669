"""The backends of the endpoint list, by endpoint id.

It owns the set of backends. It does not choose a backend for a request. `proxy.discovery` reads the list, and
`proxy.upstream` owns the connections to the backends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.endpoints import EndpointId, EndpointStatus, UpdateKind
from proxy.upstream import Backend, ConnectionPool

if TYPE_CHECKING:
    from proxy.discovery.endpoint_reader import DiscoveredEndpoint


class EndpointTable:
    """One `Backend` for each endpoint of the list.

    Attributes:
        backends: The backends by endpoint id.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self.backends: dict[EndpointId, Backend] = {}

    def update(self, kind: UpdateKind, endpoints: list[DiscoveredEndpoint]) -> None:
        """Apply an update of the endpoint list.

        A changed address or start time starts a new incarnation of a backend. `ConnectionPool.update_backend`
        ensures that connections to the previous incarnation are not used any more.

        Args:
            kind: Whether the update is a complete list or a change.
            endpoints: All endpoints, or only those that have changed.
        """
        if kind is not UpdateKind.DELTA:
            listed_ids = {discovered.endpoint.id for discovered in endpoints}
            for endpoint_id in self.backends.keys() - listed_ids:
                self._remove(endpoint_id)
        for discovered in endpoints:
            endpoint = discovered.endpoint
            if endpoint.status is EndpointStatus.REMOVED:
                self._remove(endpoint.id)
                continue
            backend = self.backends.setdefault(endpoint.id, Backend(discovered.address))
            in_service = endpoint.status is EndpointStatus.UP
            self._pool.update_backend(backend, discovered.address, endpoint.started, in_service=in_service)

    def update_idle_quota(self, fleet_size: int) -> None:
        """Update this proxy's quota of idle connections.

        Args:
            fleet_size: The number of proxies that connect to the same backends.
        """
        self._pool.set_idle_quota(len(self.backends), fleet_size)

    def _remove(self, endpoint_id: EndpointId) -> None:
        """Remove a backend that is no longer listed, so that such backends do not accumulate in memory.

        Attempts in flight to it keep a reference to the `Backend`.
        """
        backend = self.backends.pop(endpoint_id, None)
        if backend is not None:
            self._pool.update_backend(backend, backend.address, backend.started_at, in_service=False)
