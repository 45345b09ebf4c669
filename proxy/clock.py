"""The time that the decisions see: seconds since the epoch, on a clock that never steps.

Owns the distance between the event loop's time and that clock. Does not own any timer.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


class EpochClock:
    """Converts between the event loop's time and seconds since the epoch.

    The distance between the two is read once, when the process starts. So the start times in the endpoint
    list are comparable with it, and steps of the system's clock do no harm.
    """

    __slots__ = ("_loop", "_offset")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._offset = time.time() - loop.time()

    def now(self) -> float:
        """Return the time now, in seconds since the epoch."""
        return self._loop.time() + self._offset

    def from_loop_time(self, loop_time: float) -> float:
        """Return a time of the event loop in seconds since the epoch."""
        return loop_time + self._offset

    def to_loop_time(self, epoch_time: float) -> float:
        """Return a time in seconds since the epoch as the event loop counts it."""
        return epoch_time - self._offset
