"""Schedules the events of a run, and measures the processor time of an action.

All functions block, so they must not be used in an event loop.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    import numpy as np


def mean_processor_time(action: Callable[[], Any], seconds: float, min_calls: int = 3) -> float:
    """Return the mean processor time of an action in seconds.

    Args:
        action: The measured action; the first call is a warm-up and not measured.
        seconds: Approximate processor time of the measurement.
        min_calls: Smallest number of measured calls.
    """
    action()
    start, calls = time.process_time(), 0
    while calls < min_calls or time.process_time() - start < seconds:
        action()
        calls += 1
    return (time.process_time() - start) / calls


def evenly_spaced(rate: float, seconds: float) -> Iterator[int]:
    """Yield 0, 1, 2, ... at constant intervals, `rate` a second, and return after `seconds`.

    At least one number is yielded.
    """
    start = time.monotonic()
    for number in range(max(1, round(rate * seconds))):
        time.sleep(max(0.0, start + number / rate - time.monotonic()))
        yield number
    time.sleep(max(0.0, start + seconds - time.monotonic()))


def poisson_arrivals(rng: np.random.Generator, rate: float, seconds: float) -> Iterator[None]:
    """Yield at the arrival times of a Poisson process of `rate` a second, and return after `seconds`.

    There is at least one arrival, since the first one is moved to the middle if it would come later.
    """
    start, arrival = time.monotonic(), min(seconds / 2.0, float(rng.exponential(1.0 / rate)))
    while arrival <= seconds:
        time.sleep(max(0.0, start + arrival - time.monotonic()))
        yield
        arrival += float(rng.exponential(1.0 / rate))
    time.sleep(max(0.0, start + seconds - time.monotonic()))
