"""A limit on the bytes that many connections together may buffer.

It counts alone: the bytes belong to whoever reserved them, who also releases them.
"""

from __future__ import annotations


class MemoryBudget:
    """Counts buffered bytes against one limit.

    Attributes:
        reserved: Bytes that are buffered now.
    """

    __slots__ = ("_limit", "reserved")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Count so many more bytes, or none of them and return False where the limit would be passed."""
        if self.reserved + size > self._limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Give back bytes that were reserved."""
        self.reserved -= size
