"""What a process spends: processor time and resident memory, and the worst ten seconds of a growing sum.

This module owns the readings; its callers decide which process is read when.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import psutil

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

WORST_WINDOW = 10.0  # seconds: the length of the window with the largest growth
MB = 1 << 20


@dataclass(slots=True, frozen=True)
class Usage:
    """What a process has spent.

    Attributes:
        processor: Processor time since its start in seconds, user and system.
        memory: Resident memory now in bytes.
    """

    processor: float
    memory: int


def own_usage() -> Usage:
    """Read what this process has spent; its processor time to the clock's resolution."""
    return Usage(time.process_time(), psutil.Process().memory_info().rss)


def process_usage(pid: int) -> Usage:
    """Read what another process has spent; psutil.Error where it has ended.

    Its processor time is the scheduler's, exact, of the threads it has now; where the kernel does not report
    that, it is in ticks of 10 ms.
    """
    process = psutil.Process(pid)
    with process.oneshot():
        memory = process.memory_info().rss
        scheduled = _scheduled_seconds(pid)
        if scheduled is not None:
            return Usage(scheduled, memory)
        times = process.cpu_times()
        return Usage(times.user + times.system, memory)


def _scheduled_seconds(pid: int) -> float | None:
    """Sum the time that the scheduler gave to a process's threads; None if the kernel doesn't report it."""
    try:
        texts = [file.read_text() for file in Path(f"/proc/{pid}/task").glob("*/schedstat")]
    except OSError:
        return None
    return sum(int(text.split()[0]) for text in texts) / 1e9 if texts else None


def total_usage(pids: Iterable[int]) -> Usage:
    """Sum what several processes have spent."""
    usages = [process_usage(pid) for pid in pids]
    return Usage(sum(usage.processor for usage in usages), sum(usage.memory for usage in usages))


class Series:
    """Readings of a sum that only grows, each with its time in seconds."""

    def __init__(self) -> None:
        self._readings: list[tuple[float, float]] = []

    def add(self, at: float, value: float) -> None:
        """Append a reading; times must ascend."""
        self._readings.append((at, value))

    def mean(self) -> float:
        """Return the growth a second over all readings; 0 where they span no time."""
        return _mean_growth(self._readings)

    def growth(self) -> float:
        """Return the growth from the first reading to the last."""
        return self._readings[-1][1] - self._readings[0][1] if self._readings else 0.0

    def worst(self, window: float = WORST_WINDOW) -> float:
        """Return the growth a second in the worst `window` seconds.

        A shorter series counts as standing still before and after.
        """
        worst, first = 0.0, 0
        for at, value in self._readings:
            while at - self._readings[first][0] > window:
                first += 1
            worst = max(worst, value - self._readings[first][1])
        return worst / window


def _mean_growth(readings: Sequence[tuple[float, float]]) -> float:
    elapsed = readings[-1][0] - readings[0][0] if readings else 0.0
    if elapsed <= 0.0:
        return 0.0
    return (readings[-1][1] - readings[0][1]) / elapsed
