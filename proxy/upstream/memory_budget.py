"""A limit on the bytes that many connections together may buffer.

It only counts: the bytes belong to the code that reserved them, which also releases them.
"""

from __future__ import annotations


class MemoryBudget:
    """Counts buffered bytes against one limit.

    Attributes:
        reserved: The bytes that are buffered now.
    """

    __slots__ = ("_limit", "reserved")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Count so many more bytes if the limit allows it, and return whether it does."""
        if self.reserved + size > self._limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Count so many bytes less; they must have been reserved."""
        self.reserved -= size
