"""One backend of the endpoint list: its address, its incarnation, and whether it may receive new requests.

It holds state alone: `ConnectionPool.update_backend` changes it when the endpoint list changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from proxy.address import Address


class Backend:
    """One backend of the endpoint list.

    Attributes:
        address: Where it listens.
        started_at: When its process started according to the endpoint list, in seconds since the epoch.
        in_service: Whether new requests may be sent to it according to the endpoint list.
        incarnation: The number of processes and addresses that it has had; a connection belongs to the
            incarnation that it was dialled to.
    """

    __slots__ = ("address", "in_service", "incarnation", "started_at")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.started_at = 0.0
        self.in_service = False
        self.incarnation = 0

    def update(self, address: Address, started_at: float, *, in_service: bool) -> None:
        """Apply an entry of the endpoint list; another process or address is another incarnation."""
        self.incarnation += self.is_replaced_by(address, started_at)
        self.address = address
        self.started_at = started_at
        self.in_service = in_service

    def is_replaced_by(self, address: Address, started_at: float) -> bool:
        """Return whether this address and start time belong to another process than the current one."""
        return self.address != address or self.started_at != started_at
