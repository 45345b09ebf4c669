"""Estimators of event rates, in events a second; what the events are is up to their users."""

from math import exp, inf

#: Seconds over which a smoothed rate forgets: long enough for a proxy with a few calls a second, short
#: enough to see a burst. Chosen: it came with the program, and no derivation is known.
SMOOTHING_SPAN = 2.0
EVENT_WEIGHT = 1.0 / SMOOTHING_SPAN  # so that events at a steady rate read as that rate
#: Seconds with warm endpoints that the warm rate covers: the usual traffic, which a burst of some
#: seconds does not change. Chosen with the cap on offered calls (commit 8be7640); a cap at 1.5 times the
#: usual rate broke the rule.
WARM_RATE_SPAN = 30.0
MIN_WARM_EVENTS = 8.0  # events before the warm rate counts as known: fewer are no measure of a rate. Chosen.


class SmoothedRate:
    """The rate over about the last two seconds; it decays to 0 within SMOOTHING_SPAN after the last event."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value = self._at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.read(now) + EVENT_WEIGHT
        self._at = now

    def read(self, now: float) -> float:
        """Return the rate as of now."""
        return self._value * max(0.0, 1.0 - (now - self._at) / SMOOTHING_SPAN)


class WarmRate:
    """The rate while all endpoints were warm, over about the last half minute of such time."""

    __slots__ = ("_at", "_events", "_time")

    def __init__(self) -> None:
        self._at = self._events = self._time = 0.0

    def add(self, now: float, *, is_warm: bool) -> None:
        """Count one event and the time since the one before, if all endpoints were warm at both.

        Args:
            now: The time of the event in seconds.
            is_warm: Whether all endpoints are warm.
        """
        if is_warm and self._at > 0.0:
            gap = now - self._at
            decay = exp(-gap / WARM_RATE_SPAN)
            self._events = decay * self._events + 1.0
            self._time = decay * self._time + gap
        self._at = now if is_warm else 0.0

    def read(self) -> float:
        """Return the rate; infinite while too little is known."""
        return self._events / self._time if self._events >= MIN_WARM_EVENTS and self._time > 0.0 else inf
