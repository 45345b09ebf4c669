"""A limit on the total number of bytes that all connections may buffer.

It only counts bytes. The code that reserves bytes stores them and must release them.
"""

from __future__ import annotations


class MemoryBudget:
    """Counts buffered bytes against one limit.

    Attributes:
        reserved: The number of bytes that are currently reserved.
    """

    __slots__ = ("_limit", "reserved")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes if the limit allows it, and return whether they were reserved."""
        if self.reserved + size > self._limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes, which must have been reserved before."""
        self.reserved -= size
