"""The limit on the memory that the proxy uses for its peers, and how much of it is in use.

All bytes that clients and backends can make the proxy keep count against one budget: incomplete and waiting
requests, requests that are being served, incomplete responses, and responses that clients have not read.
This module only counts: the owner of a buffer reserves its bytes and must release them.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

BUDGET_FRACTION = 0.25  # of the memory limit: the largest budget
MIN_BUDGET_FRACTION = (
    1 / 16
)  # of the memory limit: the smallest budget, without which nothing could be served
#: Of the memory that is free at the start. The remainder is for what the counted bytes cost beyond their
#: number: copies while they are written, and free space between them that can't be used.
FREE_MEMORY_FRACTION = 0.6
CONNECTION_BYTES = 9 << 10  # memory of one connection and its part of a small request


def budget_limit(memory_limit: int, resident: int, connections: int) -> int:
    """Return the bytes that may be buffered for peers.

    Args:
        memory_limit: The memory in bytes that the process may use.
        resident: The memory in bytes that it uses before it serves any request.
        connections: The largest number of its connections.
    """
    free = memory_limit - resident - connections * CONNECTION_BYTES
    smallest, largest = MIN_BUDGET_FRACTION * memory_limit, BUDGET_FRACTION * memory_limit
    return int(max(smallest, min(largest, FREE_MEMORY_FRACTION * free)))


class MemoryBudget:
    """Counts the bytes that are buffered for peers against one limit.

    Attributes:
        limit: The limit in bytes.
        reserved: The bytes that are buffered at present.
        on_shortage: Called with a size for which there is no room, to release bytes that other peers hold.
    """

    __slots__ = ("_grants", "_waiting", "limit", "on_shortage", "reserved")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0
        self.on_shortage: Callable[[int], None] | None = None
        self._grants = 0  # messages that are received with all of their memory reserved
        self._waiting: dict[Callable[[], bool], None] = {}  # in the order in which they began to wait

    def missing(self, size: int = 0) -> int:
        """Return by how many bytes `size` more would exceed the limit; 0 or less if they would not."""
        return self.reserved + size - self.limit

    def has_room(self, size: int) -> bool:
        """Return whether the limit allows `size` more bytes, after `on_shortage` if it does not at first."""
        if self.missing(size) > 0 and self.on_shortage is not None:
            self.on_shortage(size)
        return self.missing(size) <= 0

    def grant(self, size: int) -> bool:
        """Return whether a message that needs `size` more bytes may be received to its end.

        One message always may. Otherwise, messages that are received partly could wait for each other.
        """
        if self._grants and not self.has_room(size):
            return False
        self._grants += 1
        return True

    def end_grant(self) -> None:
        """Record the end of a message for which `grant` returned True."""
        self._grants -= 1

    def change(self, size: int) -> None:
        """Add `size` bytes to those that are buffered, or release them if it is negative.

        The limit may be exceeded afterwards.
        """
        self.reserved += size
        if size < 0 and self._waiting:
            asyncio.get_running_loop().call_soon(self._notify_waiting)

    def wait(self, callback: Callable[[], bool]) -> None:
        """Call a function whenever bytes were released, until it returns True; the first to wait is first."""
        self._waiting[callback] = None

    def stop_waiting(self, callback: Callable[[], bool]) -> None:
        """Forget a function that waits; does nothing if it does not."""
        self._waiting.pop(callback, None)

    def _notify_waiting(self) -> None:
        for callback in tuple(self._waiting):
            if not callback():
                return
            self.stop_waiting(callback)


class MemoryAccount:
    """The bytes that one holder has in a budget.

    Attributes:
        size: The number of these bytes.
    """

    __slots__ = ("_budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def update(self, size: int) -> None:
        """Set the number of bytes; the limit of the budget may be exceeded afterwards."""
        if size != self.size:
            self._budget.change(size - self.size)
            self.size = size
