"""Estimators of event rates, in events a second. They know nothing of what the events are."""

from math import exp, inf

SMOOTHING_SPAN = 2.0  # seconds that a smoothed rate goes over
WARM_RATE_SPAN = 30.0  # seconds with warm endpoints that the warm rate goes over
MIN_WARM_EVENTS = 8.0  # events before the warm rate says anything


class SmoothedRate:
    """The rate over the last two seconds."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value = self._at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.read(now) + 0.5
        self._at = now

    def read(self, now: float) -> float:
        """Return the rate as of now."""
        return self._value * max(0.0, 1.0 - (now - self._at) / SMOOTHING_SPAN)


class WarmRate:
    """The rate while all endpoints were warm, over the last half minute of such time."""

    __slots__ = ("_at", "_events", "_time")

    def __init__(self) -> None:
        self._at = self._events = self._time = 0.0

    def add(self, now: float, *, is_warm: bool) -> None:
        """Count one event and the time since the last, unless endpoints were warming up then or are now."""
        if is_warm and self._at > 0.0:
            gap = now - self._at
            decay = exp(-gap / WARM_RATE_SPAN)
            self._events = decay * self._events + 1.0
            self._time = decay * self._time + gap
        self._at = now if is_warm else 0.0

    def read(self) -> float:
        """Return the rate; infinite while too little is known."""
        return self._events / self._time if self._events >= MIN_WARM_EVENTS and self._time > 0.0 else inf
