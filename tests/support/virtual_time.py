"""An event loop whose time passes only while it waits, and then at once: long schedules run in no time."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from selectors import SelectorKey


class VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that does not wait: it advances the time by the timeout instead.

    Attributes:
        now: The time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return what is ready, and advance the time."""
        self.now += timeout or 0.0
        return list(super().select(0))


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time, for code that waits by the loop's timers alone."""

    def __init__(self) -> None:
        self.selector = VirtualTimeSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.selector.now
