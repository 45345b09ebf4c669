"""The endpoint list of a run: changes it, and records when each proxy counts as notified of a drain.

`testbed.discovery.registry` serves the list to the proxies. Each proxy has two discovery agents, which are
ports of the registry; a reload can switch a proxy between them.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from soak.history import NEVER, Drain
from soak.proxy_settings import ZONES
from testbed.discovery.entry import changed_entry
from testbed.discovery.registry import Registry
from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak.history import History
    from testbed.discovery.entry import EndpointChange, EndpointEntry, EndpointUpdate

#: Seconds for which an agent must stay reachable after a drain's notification. If it becomes silent earlier,
#: its proxy does not count as notified, because the notification may not have been delivered.
MIN_REACHABLE_TIME = 0.3
#: Seconds after a change, or after a crowded agent's watches were reset, within which a proxy must have
#: learned of the change.
NOTIFICATION_DEADLINE = 6.0
GROUPS = 3  # of backends


class EndpointList:
    """The endpoint list and the registry that serves it.

    Attributes:
        registry: The registry.
    """

    def __init__(self, ports: dict[str, int], proxies: int, history: History) -> None:
        self._entries = {
            name: _entry(name, port, position) for position, (name, port) in enumerate(ports.items())
        }
        self._history = history
        self._proxies = range(proxies)
        self._last_lists: dict[int, EndpointUpdate] = {}  # the last list of each unreachable proxy, by number
        self._crowded: set[int] = set()  # proxies, by number, whose calls to their agents wait
        # For each draining backend: when each proxy was notified, by the proxy's number.
        self._notified_at: dict[str, dict[int, float]] = {}
        self.registry = Registry(self._entries.values())

    def snapshot(self) -> EndpointUpdate:
        """Return the complete list as a discovery message."""
        return {
            "index": self.registry.state.index,
            "snapshot": True,
            "endpoints": list(self._entries.values()),
        }

    def last_list_of(self, proxy: int) -> EndpointUpdate:
        """Return the list that a proxy received last; the next process of the proxy starts with it."""
        return self._last_lists.get(proxy) or self.snapshot()

    def names_in_service(self) -> list[str]:
        """Return the names of the backends that are in service."""
        return [name for name, entry in self._entries.items() if entry["status"] == "in_service"]

    async def open_agents(self, ports: list[tuple[int, int]]) -> None:
        """Open the two discovery agents of each proxy, on the given ports."""
        for proxy, agent_ports in enumerate(ports):
            for name, port in zip(_agent_names([proxy]), agent_ports, strict=True):
                await self.registry.open_endpoint(name, port)

    def drain(self, name: str) -> None:
        """Mark a backend as draining, and notify the proxies that are reachable."""
        self._publish(name, {"status": "terminating"})
        now = time.monotonic()
        self._notified_at[name] = {
            proxy: NEVER if proxy in self._last_lists else self._notification_deadline(proxy, now)
            for proxy in self._proxies
        }

    def return_to_service(self, name: str, port: int) -> None:
        """Return a backend to service as a new process on a new port, and record its drain."""
        notified_at = self._notified_at.pop(name, None)
        if notified_at is not None:
            self._history.drains.append(Drain(name, notified_at, time.monotonic()))
        started_ms = int(time.time() * 1000)
        self._publish(name, {"status": "in_service", "address": f"{HOST}:{port}", "since_ms": started_ms})

    def record_open_drains(self) -> None:
        """Record the drains that have not ended when the run ends."""
        for name, notified_at in self._notified_at.items():
            self._history.drains.append(Drain(name, notified_at))

    def silence(self, proxies: list[int]) -> None:
        """Make the agents of some proxies silent: they send nothing."""
        for proxy in proxies:
            self._last_lists.setdefault(proxy, self.snapshot())
        now = time.monotonic()
        for notified_at in self._notified_at.values():
            for proxy in proxies:
                if notified_at[proxy] > now - MIN_REACHABLE_TIME:
                    notified_at[proxy] = NEVER  # the notification may not have been delivered
        self.registry.silence(_agent_names(proxies))

    def heal(self, proxies: list[int]) -> None:
        """Make the agents of some proxies reachable again; these proxies count as notified of all drains."""
        now = time.monotonic()
        for proxy in proxies:
            self._last_lists.pop(proxy, None)
        for notified_at in self._notified_at.values():
            for proxy in proxies:
                notified_at[proxy] = min(notified_at[proxy], now)
        self.registry.heal(_agent_names(proxies))

    def crowd(self, proxies: list[int], wait: float) -> None:
        """Let each call of some proxies to their agents wait for its turn, and reset their watches."""
        self._crowded.update(proxies)
        self.registry.delay_responses(_agent_names(proxies), wait)
        self._postpone_notifications(proxies)
        self.registry.reset_connections(_agent_names(proxies))

    def end_crowd(self, proxies: list[int]) -> None:
        """Let calls of some proxies to their agents get their responses at once; earlier ones still wait."""
        self._crowded.difference_update(proxies)
        self.registry.delay_responses(_agent_names(proxies), 0.0)

    def reset_watches(self, *, forget_log: bool) -> None:
        """Reset all watches.

        Args:
            forget_log: Whether watches receive the complete list when they are opened again.
        """
        self._postpone_notifications(self._crowded)
        self.registry.reset_connections(list(self.registry.endpoints), forget_log=forget_log)

    def _notification_deadline(self, proxy: int, now: float) -> float:
        """Return when a proxy that is reachable counts as notified of a change that is published now."""
        return now + NOTIFICATION_DEADLINE if proxy in self._crowded else now

    def _postpone_notifications(self, proxies: Iterable[int]) -> None:
        """Let the time of crowded proxies to learn of the open drains begin again, as their watches end."""
        now = time.monotonic()
        for notified_at in self._notified_at.values():
            for proxy in proxies:
                if notified_at[proxy] > now - MIN_REACHABLE_TIME:
                    notified_at[proxy] = max(notified_at[proxy], self._notification_deadline(proxy, now))

    def _publish(self, name: str, change: EndpointChange) -> None:
        entry = changed_entry(self._entries[name], change)
        self._entries[name] = entry
        self.registry.publish(self.registry.state.index + 1, [entry])


def _entry(name: str, port: int, position: int) -> EndpointEntry:
    return {
        "name": name,
        "address": f"{HOST}:{port}",
        "zone": ZONES[position % len(ZONES)],
        "type": "k",
        "group": position % GROUPS,
        "status": "in_service",
        "weight": 1.0,
        "since_ms": 0,
    }


def _agent_names(proxies: Iterable[int]) -> list[str]:
    """Return the names of the two discovery agents of each of the proxies."""
    return [f"{proxy}-{agent}" for proxy in proxies for agent in ("one", "two")]
