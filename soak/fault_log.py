"""The log of injected faults, which helps to find the cause of a violation."""

from __future__ import annotations

import time


class FaultLog:
    """Log lines, each with its time on the monotonic clock.

    Attributes:
        lines: The lines, in the order of time.
    """

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, text: str) -> None:
        """Add a line with the current time."""
        self.lines.append(f"{time.monotonic():.3f} {text}")
