"""One backend of the endpoint list: its address, its incarnation, and whether it may receive new requests.

It only stores this state. `ConnectionPool.update_backend` changes it when the endpoint list changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from proxy.address import Address


class Backend:
    """One backend of the endpoint list.

    Attributes:
        address: The address at which it listens.
        started_at: When its process started according to the endpoint list, in seconds since the epoch.
        in_service: Whether new requests may be sent to it according to the endpoint list.
        incarnation: Counts the changes of its process or address. A connection may only be used for the
            incarnation to which it was dialled.
    """

    __slots__ = ("address", "in_service", "incarnation", "started_at")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.started_at = 0.0
        self.in_service = False
        self.incarnation = 0

    def update(self, address: Address, started_at: float, *, in_service: bool) -> None:
        """Apply an entry of the endpoint list; a new process or address starts a new incarnation."""
        self.incarnation += self.is_replaced_by(address, started_at)
        self.address = address
        self.started_at = started_at
        self.in_service = in_service

    def is_replaced_by(self, address: Address, started_at: float) -> bool:
        """Return whether this address and start time belong to a different process than the current one."""
        return self.address != address or self.started_at != started_at
