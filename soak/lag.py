"""Measures how late a process of the run is itself, so that the judge blames no proxy for it."""

from __future__ import annotations

import asyncio
import time

INTERVAL = 0.01  # seconds between two looks
MIN_LAG = 0.01  # seconds from which lateness is recorded


class LagMeter:
    """Records when the event loop was late.

    Attributes:
        lags: Moments on the monotonic clock, and the seconds by which the loop was late then.
    """

    def __init__(self) -> None:
        self.lags: list[tuple[float, float]] = []
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Measure no more."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(INTERVAL)
            lag = time.monotonic() - before - INTERVAL
            if lag >= MIN_LAG:
                self.lags.append((before, lag))
