"""What control costs a proxy, and how a simulated proxy compares with a real one, for one kind of event.

It owns the arithmetic and the form of the comparison in a result; the events happen in
`runs.simulated_cost`. Results call a simulated proxy "hollow", its former name.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from emulator.measurement.json_values import JsonObject


@dataclass(slots=True, frozen=True)
class ProxyCost:
    """What one event, or one second, costs one proxy.

    Attributes:
        processor: Processor time in seconds.
        sent_bytes: Bytes that the registry sent to it.
        processor_net: The processor time beyond what as much idle time costs; None where not worked out.
    """

    processor: float
    sent_bytes: float
    processor_net: float | None = None

    def as_dict(self) -> dict[str, float]:
        """Return the cost as a result holds it."""
        figures = {"processor": self.processor, "bytes": self.sent_bytes}
        if self.processor_net is not None:
            figures["processor_net"] = self.processor_net
        return figures

    def net_of_idle(self, idle_seconds: float, idle: ProxyCost, seconds_each: float) -> ProxyCost:
        """Return the cost with its net figure worked out.

        Args:
            idle_seconds: How long the idle time lasted.
            idle: What all of it cost.
            seconds_each: How long one event takes.
        """
        return replace(self, processor_net=self.processor - idle.processor / idle_seconds * seconds_each)


@dataclass(slots=True, frozen=True)
class EventCost:
    """What one kind of event costs a real and a simulated proxy.

    Attributes:
        events: How many happened.
        seconds: How long all of them took.
        real: For a real proxy and one event.
        simulated: For a simulated proxy and one event.
    """

    events: int
    seconds: float
    real: ProxyCost
    simulated: ProxyCost

    def net_of_idle(self, idle: EventCost) -> EventCost:
        """Return the cost with the net figures worked out, given what idle time costs."""
        seconds_each = self.seconds / self.events
        return replace(
            self,
            real=self.real.net_of_idle(idle.seconds, idle.real, seconds_each),
            simulated=self.simulated.net_of_idle(idle.seconds, idle.simulated, seconds_each),
        )

    def difference_percent(self) -> dict[str, float | None]:
        """Return by how many percent each simulated figure exceeds the real one; None where that is 0."""
        real, simulated = self.real.as_dict(), self.simulated.as_dict()
        return {name: _difference_percent(simulated[name], real[name]) for name in simulated}

    def as_dict(self) -> JsonObject:
        """Return the cost as a result holds it."""
        return {
            "events": self.events,
            "seconds": self.seconds,
            "real": self.real.as_dict(),
            "hollow": self.simulated.as_dict(),
            "difference_percent": self.difference_percent(),
        }


def _difference_percent(simulated: float, real: float) -> float | None:
    return 100.0 * (simulated - real) / real if real else None


@dataclass(slots=True, frozen=True)
class GroupReading:
    """What a group of proxies has spent and been sent so far."""

    processor: float
    sent_bytes: int

    def cost_since(self, before: GroupReading, divisor: float, proxies: int) -> ProxyCost:
        """Return the cost of one of `divisor` events or seconds for one proxy, since an earlier reading."""
        return ProxyCost(
            (self.processor - before.processor) / divisor / proxies,
            (self.sent_bytes - before.sent_bytes) / divisor / proxies,
        )
