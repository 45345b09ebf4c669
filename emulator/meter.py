"""What a process spends: processor time, resident memory, and the worst ten seconds of either or of bytes."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import psutil

WORST_OVER = 10.0  # seconds that a worst case goes over
MB = 1 << 20


@dataclass(slots=True, frozen=True)
class Usage:
    """A process since its start: processor time in seconds (user and system), memory now in bytes."""

    processor: float
    memory: int


def own() -> Usage:
    """This process; its processor time to the clock's resolution."""
    return Usage(time.process_time(), psutil.Process().memory_info().rss)


def of(pid: int) -> Usage:
    """Another process; psutil.Error where it has ended.

    Its processor time is the scheduler's, exact, of the threads it has now; where the kernel does not tell
    that, it is in ticks of 10 ms.
    """
    process = psutil.Process(pid)
    with process.oneshot():
        memory = process.memory_info().rss
        try:
            texts = [file.read_text() for file in Path(f"/proc/{pid}/task").glob("*/schedstat")]
        except OSError:
            texts = []
        if texts:
            return Usage(sum(int(text.split()[0]) for text in texts) / 1e9, memory)
        times = process.cpu_times()
        return Usage(times.user + times.system, memory)


def total(pids: Iterable[int]) -> Usage:
    """Several processes together."""
    found = [of(pid) for pid in pids]
    return Usage(sum(each.processor for each in found), sum(each.memory for each in found))


class Series:
    """Readings of a sum that only grows, each with its time in seconds."""

    def __init__(self) -> None:
        self._readings: list[tuple[float, float]] = []

    def add(self, at: float, value: float) -> None:
        """One more reading; times ascend."""
        self._readings.append((at, value))

    def mean(self) -> float:
        """The growth a second over all readings; 0 where they span no time."""
        return _mean(self._readings)

    def growth(self) -> float:
        """From the first reading to the last."""
        return self._readings[-1][1] - self._readings[0][1] if self._readings else 0.0

    def worst(self, span: float = WORST_OVER) -> float:
        """The growth a second in the worst `span` seconds; a shorter series stands still before and after."""
        most, first = 0.0, 0
        for at, value in self._readings:
            while at - self._readings[first][0] > span:
                first += 1
            most = max(most, value - self._readings[first][1])
        return most / span


def _mean(readings: Sequence[tuple[float, float]]) -> float:
    if len(readings) < 2 or readings[-1][0] <= readings[0][0]:
        return 0.0
    return (readings[-1][1] - readings[0][1]) / (readings[-1][0] - readings[0][0])
