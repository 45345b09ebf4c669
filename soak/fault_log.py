"""The log of injected faults, to trace a violation with."""

from __future__ import annotations

import time


class FaultLog:
    """Lines on what happened and when, on the monotonic clock.

    Attributes:
        lines: The lines, in the order of time.
    """

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, text: str) -> None:
        """Add a line with the present time."""
        self.lines.append(f"{time.monotonic():.3f} {text}")
