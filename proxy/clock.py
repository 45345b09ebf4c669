"""The balancer's clock: seconds since the epoch, unaffected by steps of the system clock.

It owns the offset between the event loop's time and this clock. It owns no timers.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


class EpochClock:
    """Converts between the event loop's time and seconds since the epoch.

    The offset between the two is determined once, when the process starts. Therefore this clock can be
    compared with the start times in the endpoint list, and steps of the system clock do not change it.
    """

    __slots__ = ("_loop", "_offset")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._offset = time.time() - loop.time()

    def now(self) -> float:
        """Return the current time in seconds since the epoch."""
        return self._loop.time() + self._offset

    def from_loop_time(self, loop_time: float) -> float:
        """Convert a time of the event loop to seconds since the epoch."""
        return loop_time + self._offset

    def to_loop_time(self, epoch_time: float) -> float:
        """Convert a time in seconds since the epoch to the event loop's time."""
        return epoch_time - self._offset
