"""Measures the scheduling delays of the soak test's own processes, which the checks allow for."""

from __future__ import annotations

import asyncio
import time

from soak.history import SchedulingDelay

INTERVAL = 0.01  # seconds between two measurements
MIN_DELAY = 0.01  # seconds; shorter delays are not recorded


class SchedulingDelayMeter:
    """Records the delays with which this process's event loop ran.

    Attributes:
        delays: The delays so far, in the order of time.
    """

    def __init__(self) -> None:
        self.delays: list[SchedulingDelay] = []
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop measuring."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            slept_at = time.monotonic()
            await asyncio.sleep(INTERVAL)
            delay = time.monotonic() - slept_at - INTERVAL
            if delay >= MIN_DELAY:
                self.delays.append(SchedulingDelay(slept_at, delay))
