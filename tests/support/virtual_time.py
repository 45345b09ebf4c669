"""An event loop with virtual time: waiting advances its time immediately, so that long schedules run fast."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from selectors import SelectorKey


class VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that does not wait: it advances the time by the timeout instead.

    Attributes:
        now: The virtual time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Advance the virtual time by the timeout, and return the file objects that are ready."""
        self.now += timeout or 0.0
        return list(super().select(0))


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time, for code that only waits for timers of the loop."""

    def __init__(self) -> None:
        self.selector = VirtualTimeSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.selector.now
