"""When the events of a run happen, and what an action costs in processor time.

Everything here blocks: it is for the process of the run itself, not for an event loop.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    import numpy as np


def mean_processor_time(action: Callable[[], Any], seconds: float, min_calls: int = 3) -> float:
    """Measure the processor time of an action in seconds.

    Args:
        action: Called once to warm up, then measured.
        seconds: Processor time to spend on the measurement, about.
        min_calls: How many calls the mean covers at least.
    """
    action()
    start, count = time.process_time(), 0
    while count < min_calls or time.process_time() - start < seconds:
        action()
        count += 1
    return (time.process_time() - start) / count


def evenly_spaced(rate: float, seconds: float) -> Iterator[int]:
    """Yield 0, 1, 2, ... at `rate` a second, each at its time, and end after `seconds`; one at least."""
    start = time.monotonic()
    for number in range(max(1, round(rate * seconds))):
        time.sleep(max(0.0, start + number / rate - time.monotonic()))
        yield number
    time.sleep(max(0.0, start + seconds - time.monotonic()))


def poisson_arrivals(rng: np.random.Generator, rate: float, seconds: float) -> Iterator[None]:
    """Yield at the times of a Poisson process of `rate` a second, and end after `seconds`; one at least."""
    start, at = time.monotonic(), min(seconds / 2.0, float(rng.exponential(1.0 / rate)))
    while at <= seconds:
        time.sleep(max(0.0, start + at - time.monotonic()))
        yield
        at += float(rng.exponential(1.0 / rate))
    time.sleep(max(0.0, start + seconds - time.monotonic()))
