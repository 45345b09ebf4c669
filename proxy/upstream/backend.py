"""What the connection pool knows of one backend: its address, its incarnation and its idle connections.

It holds state alone: `ConnectionPool` changes it, when the endpoint list changes and as connections are
reused and released.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from proxy.config import Address
    from proxy.upstream.connection import UpstreamConnection


class Backend:
    """One backend of the endpoint list and the idle connections to it.

    Attributes:
        address: Where it listens.
        started_at: When its process started, by the endpoint list.
        in_service: Whether the endpoint list lets new requests go to it.
        incarnation: Counts its processes and addresses; a connection belongs to the one it was dialled to.
        idle_connections: Connections that carry no attempt, the most recently used one last.
    """

    __slots__ = ("address", "idle_connections", "in_service", "incarnation", "started_at")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.started_at = 0.0
        self.in_service = False
        self.incarnation = 0
        self.idle_connections: list[UpstreamConnection] = []

    def update(self, address: Address, started_at: float, in_service: bool) -> None:
        """Take over what the endpoint list says now; another process or address is another incarnation."""
        self.incarnation += self.is_replaced_by(address, started_at)
        self.address = address
        self.started_at = started_at
        self.in_service = in_service

    def is_replaced_by(self, address: Address, started_at: float) -> bool:
        """Whether this address and start belong to another process than the one known so far."""
        return self.address != address or self.started_at != started_at
