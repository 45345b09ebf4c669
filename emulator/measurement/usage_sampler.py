"""Samples the processor time and memory of child processes in a thread; `meter` reads a single process."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from testbed.meter import CumulativeSeries

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import TracebackType

    from testbed.child_process import ChildProcess

SAMPLING_INTERVAL = 0.25  # seconds between two readings


class UsageSampler:
    """Context manager that samples child processes until the end of the block.

    The readings are taken from outside; the children are not involved.

    Attributes:
        processor_time: Processor time of each process, in the order of the children.
        peak_memory: Peak resident memory of each process in bytes, in the same order.
    """

    def __init__(self, children: Sequence[ChildProcess]) -> None:
        self._children = children
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._sample_until_stopped, daemon=True)
        self.processor_time = [CumulativeSeries() for _ in children]
        self.peak_memory = [0] * len(children)

    def __enter__(self) -> UsageSampler:
        self._thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Take a last sample and stop the thread."""
        self._stop_requested.set()
        self._thread.join()

    def _sample_until_stopped(self) -> None:
        while True:
            is_last_sample = self._stop_requested.is_set()
            self._take_sample()
            if is_last_sample:
                return
            self._stop_requested.wait(SAMPLING_INTERVAL)

    def _take_sample(self) -> None:
        for index, child in enumerate(self._children):
            usage = child.usage()
            self.processor_time[index].add(time.monotonic(), usage.processor)
            self.peak_memory[index] = max(self.peak_memory[index], usage.memory)
