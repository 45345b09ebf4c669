"""Estimators of event rates, in events per second."""

from math import exp, inf

#: Seconds over which a smoothed rate decays: long enough for a proxy with a few requests per second, and
#: short enough to show a burst.
SMOOTHING_SPAN = 2.0
EVENT_WEIGHT = 1.0 / SMOOTHING_SPAN  # increment for each event; at a steady rate, the result is that rate
#: Time constant of a warm rate, in seconds with warm endpoints: a burst of a few seconds hardly changes it.
#: `EndpointPool.rate_per_endpoint` caps the offered rate at the warm rate; a cap at 1.5 times the warm rate
#: overloaded warming endpoints.
WARM_RATE_SPAN = 30.0
MIN_WARM_EVENTS = 8.0  # events that a warm rate has to cover before it is used


class SmoothedRate:
    """The recent rate of events; it decays to 0 linearly within SMOOTHING_SPAN after the last event."""

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
    """The rate of events while all endpoints were warm, over about the last WARM_RATE_SPAN of such time."""

    __slots__ = ("_at", "_events", "_time")

    def __init__(self) -> None:
        self._at = self._events = self._time = 0.0

    def add(self, now: float, *, is_warm: bool) -> None:
        """Count one event and the time since the previous one, if all endpoints were warm at both.

        Args:
            now: The time of the event in seconds.
            is_warm: Whether all endpoints are warm.
        """
        if is_warm and self._at > 0.0:
            elapsed = now - self._at
            decay = exp(-elapsed / WARM_RATE_SPAN)
            self._events = decay * self._events + 1.0
            self._time = decay * self._time + elapsed
        self._at = now if is_warm else 0.0

    def read(self) -> float:
        """Return the rate; infinite while there are fewer than MIN_WARM_EVENTS events."""
        return self._events / self._time if self._events >= MIN_WARM_EVENTS and self._time > 0.0 else inf
