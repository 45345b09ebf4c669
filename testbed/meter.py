"""Measures a process's processor time and resident memory, and the growth rate of a cumulative value."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import psutil

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

MAX_RATE_WINDOW = 10.0  # seconds in which the largest growth of a series is measured
MB = 1 << 20  # bytes


@dataclass(slots=True, frozen=True)
class Usage:
    """The resources that a process uses.

    Attributes:
        processor: Processor time since its start in seconds, user and system.
        memory: Current resident memory in bytes.
    """

    processor: float
    memory: int


def own_usage() -> Usage:
    """Return the usage of this process; its processor time has the resolution of the clock."""
    return Usage(time.process_time(), psutil.Process().memory_info().rss)


def process_usage(pid: int) -> Usage:
    """Return the usage of another process.

    The processor time is the exact time that the scheduler reports for the process's current threads. If the
    kernel does not report it, the time is in ticks of 10 ms.

    Raises:
        psutil.Error: The process has ended.
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
    """Return the sum of the running times of a process's threads; None if the kernel does not report it."""
    try:
        schedstats = [file.read_text() for file in Path(f"/proc/{pid}/task").glob("*/schedstat")]
    except OSError:
        return None
    # The first field of each file is the thread's running time in nanoseconds.
    return sum(int(schedstat.split()[0]) for schedstat in schedstats) / 1e9 if schedstats else None


def total_usage(pids: Iterable[int]) -> Usage:
    """Return the sum of the usages of several processes."""
    usages = [process_usage(pid) for pid in pids]
    return Usage(sum(usage.processor for usage in usages), sum(usage.memory for usage in usages))


class CumulativeSeries:
    """Readings of a cumulative value, each with its time in seconds."""

    def __init__(self) -> None:
        self._readings: list[tuple[float, float]] = []

    def add(self, at: float, value: float) -> None:
        """Append a reading; the times must be in ascending order."""
        self._readings.append((at, value))

    def mean_rate(self) -> float:
        """Return the mean growth per second over all readings; 0 if they span no time."""
        return _mean_rate(self._readings)

    def growth(self) -> float:
        """Return the growth from the first reading to the last; 0 without readings."""
        return self._readings[-1][1] - self._readings[0][1] if self._readings else 0.0

    def max_rate(self, window: float = MAX_RATE_WINDOW) -> float:
        """Return the growth per second in the `window` seconds with the largest growth.

        The value counts as constant before the first reading and after the last one.
        """
        max_growth, first = 0.0, 0
        for at, value in self._readings:
            while at - self._readings[first][0] > window:
                first += 1
            max_growth = max(max_growth, value - self._readings[first][1])
        return max_growth / window


def _mean_rate(readings: Sequence[tuple[float, float]]) -> float:
    elapsed = readings[-1][0] - readings[0][0] if readings else 0.0
    if elapsed <= 0.0:
        return 0.0
    return (readings[-1][1] - readings[0][1]) / elapsed
