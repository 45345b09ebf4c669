"""Control-plane cost of a proxy, and the comparison of a simulated proxy with a real one.

`runs.simulated_cost` causes the events and takes the readings. In result files, the key "hollow" stands for
a simulated proxy; it is the former name.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from emulator.measurement.json_values import JsonObject


@dataclass(slots=True, frozen=True)
class ProxyCost:
    """Cost of one event, or of one second, for one proxy.

    Attributes:
        processor_seconds: Processor time.
        sent_bytes: Bytes that the registry sent to the proxy.
        net_processor_seconds: Processor time minus that of an idle proxy in the same time; None if unknown.
    """

    processor_seconds: float
    sent_bytes: float
    net_processor_seconds: float | None = None

    def as_dict(self) -> dict[str, float]:
        """Return the cost as stored in the result file."""
        figures = {"processor": self.processor_seconds, "bytes": self.sent_bytes}
        if self.net_processor_seconds is not None:
            figures["processor_net"] = self.net_processor_seconds
        return figures

    def with_net_cost(self, idle_cost: ProxyCost, idle_seconds: float, event_seconds: float) -> ProxyCost:
        """Return the cost with `net_processor_seconds` set.

        Args:
            idle_cost: Cost of an idle proxy during `idle_seconds`.
            idle_seconds: Duration of the idle measurement.
            event_seconds: Duration of one event.
        """
        idle_processor_rate = idle_cost.processor_seconds / idle_seconds
        net_processor_seconds = self.processor_seconds - idle_processor_rate * event_seconds
        return replace(self, net_processor_seconds=net_processor_seconds)


@dataclass(slots=True, frozen=True)
class EventCost:
    """Cost of one kind of event for a real and for a simulated proxy.

    Attributes:
        events: Number of events.
        seconds: Duration of all events.
        real: Cost of one event for a real proxy.
        simulated: Cost of one event for a simulated proxy.
    """

    events: int
    seconds: float
    real: ProxyCost
    simulated: ProxyCost

    def with_net_cost(self, idle: EventCost) -> EventCost:
        """Return the cost with the net processor times set, given the cost of idle time."""
        event_seconds = self.seconds / self.events
        return replace(
            self,
            real=self.real.with_net_cost(idle.real, idle.seconds, event_seconds),
            simulated=self.simulated.with_net_cost(idle.simulated, idle.seconds, event_seconds),
        )

    def difference_percent(self) -> dict[str, float | None]:
        """Return the excess of each simulated figure over the real one in percent; None if the real is 0."""
        real, simulated = self.real.as_dict(), self.simulated.as_dict()
        return {name: _difference_percent(simulated[name], real[name]) for name in simulated}

    def as_dict(self) -> JsonObject:
        """Return the cost as stored in the result file."""
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
    """Total processor time of a group of proxies, and bytes sent to them, at one moment."""

    processor_seconds: float
    sent_bytes: int

    def cost_since(self, before: GroupReading, units: float, proxies: int) -> ProxyCost:
        """Return the cost for one proxy since an earlier reading, divided by `units` (events or seconds)."""
        return ProxyCost(
            (self.processor_seconds - before.processor_seconds) / units / proxies,
            (self.sent_bytes - before.sent_bytes) / units / proxies,
        )
