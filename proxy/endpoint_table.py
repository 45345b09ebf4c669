"""The backends of the endpoint list, by their id.

It owns the set of backends. It does not choose among them, does not read the list (`proxy.discovery` does),
and does not own the connections to them (`proxy.upstream` does).
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
        backends: The backends by the id of their endpoint.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self.backends: dict[EndpointId, Backend] = {}

    def update(self, kind: UpdateKind, endpoints: list[DiscoveredEndpoint]) -> None:
        """Apply an update of the endpoint list.

        A backend with another address or start time is another incarnation: connections to the previous one
        are not used any more, which `ConnectionPool.update_backend` ensures.

        Args:
            kind: Whether the update is a complete list or a change.
            endpoints: The endpoints in it.
        """
        if kind is not UpdateKind.DELTA:
            listed = {discovered.endpoint.id for discovered in endpoints}
            for endpoint_id in self.backends.keys() - listed:
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
        """Limit the idle connections to this proxy's quota.

        Args:
            fleet_size: The number of proxies that connect to the same backends.
        """
        self._pool.set_idle_quota(len(self.backends), fleet_size)

    def _remove(self, endpoint_id: EndpointId) -> None:
        """Remove a terminated backend: without this, backends would accumulate in memory.

        Attempts in flight to it keep their reference to the object.
        """
        backend = self.backends.pop(endpoint_id, None)
        if backend is not None:
            self._pool.update_backend(backend, backend.address, backend.started_at, in_service=False)
