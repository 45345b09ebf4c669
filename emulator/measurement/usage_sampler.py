"""Samples what child processes spend while something happens.

It owns a thread and the readings that it takes; `meter` reads a single process.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from testbed.meter import Series

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import TracebackType

    from testbed.child_process import ChildProcess

SAMPLING_INTERVAL = 0.25  # seconds between two readings


class UsageSampler:
    """Reads processes from outside, without their help, for as long as the block lasts.

    Attributes:
        processor_time: Processor time of each process, in their order.
        peak_memory: The peak resident memory of each process in bytes.
    """

    def __init__(self, children: Sequence[ChildProcess]) -> None:
        self._children = children
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._sample_until_stopped, daemon=True)
        self.processor_time = [Series() for _ in children]
        self.peak_memory = [0] * len(children)

    def __enter__(self) -> UsageSampler:
        self._thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Take a last reading and stop."""
        self._stop_requested.set()
        self._thread.join()

    def _sample_until_stopped(self) -> None:
        while True:
            is_last = self._stop_requested.is_set()
            self._sample()
            if is_last:
                return
            self._stop_requested.wait(SAMPLING_INTERVAL)

    def _sample(self) -> None:
        for number, child in enumerate(self._children):
            usage = child.usage()
            self.processor_time[number].add(time.monotonic(), usage.processor)
            self.peak_memory[number] = max(self.peak_memory[number], usage.memory)
