"""What a run tells its proxies: settings, endpoint lists and where discovery is.

Owns the endpoint list's changes and when each proxy counts as notified of them. Discovery is the
emulator's.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from soak.history import Drain, History, RetrySafety
from testbed.discovery.entry import changed_entry
from testbed.discovery.registry import Registry
from testbed.loopback import HOST

if TYPE_CHECKING:
    from testbed.discovery.entry import EndpointChange, EndpointEntry, EndpointUpdate

ZONES = ("a", "b")
DEADLINE = 2.0  # seconds, of each class
DEDUPLICATION_WINDOW = 0.8  # seconds
WARMUP = 1.0  # seconds
FOREVER = float("inf")
REACHABLE_TIME = 0.3  # seconds for which an agent has to speak for a proxy to count as notified


def settings(proxies: int, ordinal: int, keyed_is_safe: bool = True, cancel: bool = True) -> dict[str, Any]:
    """Return the `settings` of one proxy's configuration file.

    Args:
        proxies: How many proxies there are.
        ordinal: The number of this one.
        keyed_is_safe: Whether the keyed class may be repeated; else it must not run twice.
        cancel: Whether attempts may be cancelled.
    """
    return {
        "Instances": proxies,
        "Ordinal": ordinal,
        "Services": _request_classes(keyed_is_safe),
        "ClientHabits": {"MarksRetry": True},
        "Bounds": {
            "Cancel": cancel,
            "SecondCopies": True,
            "MaxAttempts": 4,
            "ConnIdle": 10.0,
            "DialTimeout": 0.25,
            "RetryAfter": True,
            "MaxRetryAfter": 1.0,
        },
        "Rules": {"DrainGrace": 0.25, "ColdFrom": 0.5, "Cold": WARMUP, "FallMultiple": 3.0, "TipAfter": 2.0},
        "RegistryMode": "pushed",
        "Tier": 0,
        "Tiers": ["front"],
        "Zone": 0,
        "Zones": list(ZONES),
        "HostTypes": ["k"],
    }


def _request_classes(keyed_is_safe: bool) -> list[dict[str, Any]]:
    """Return one class for each degree of safety, named for it."""
    keyed = RetrySafety.KEYED if keyed_is_safe else RetrySafety.NON_IDEMPOTENT
    repeats: dict[RetrySafety, dict[str, Any]] = {
        RetrySafety.IDEMPOTENT: {"Repeat": str(RetrySafety.IDEMPOTENT)},
        RetrySafety.KEYED: {"Repeat": str(keyed), "Group": "all", "Window": DEDUPLICATION_WINDOW},
        RetrySafety.NON_IDEMPOTENT: {"Repeat": str(RetrySafety.NON_IDEMPOTENT)},
    }
    common: dict[str, Any] = {"Aim": 1.0, "HardLimit": DEADLINE, "LateWorth": 1.0, "Credit": 1.0}
    return [common | {"Name": str(safety)} | repeat for safety, repeat in repeats.items()]


class EndpointList:
    """The endpoint list of a run, as discovery has it."""

    def __init__(self, ports: dict[str, int], proxies: int, history: History) -> None:
        self._entries = {
            name: self._entry(name, port, position) for position, (name, port) in enumerate(ports.items())
        }
        self._history = history
        self._proxies = range(proxies)
        self._silent: dict[int, EndpointUpdate] = {}  # what silent agents' proxies have heard last, by proxy
        self._draining: dict[str, dict[int, float]] = {}  # when each proxy was notified, by backend
        self.registry = Registry(self._entries.values())

    @staticmethod
    def _entry(name: str, port: int, position: int) -> EndpointEntry:
        return {
            "name": name,
            "address": f"{HOST}:{port}",
            "zone": ZONES[position % len(ZONES)],
            "type": "k",
            "group": position % 3,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }

    def snapshot(self) -> EndpointUpdate:
        """Return the complete list, in discovery's form."""
        return {
            "index": self.registry.state.index,
            "snapshot": True,
            "endpoints": list(self._entries.values()),
        }

    def known_to(self, proxy: int) -> EndpointUpdate:
        """Return the list as a proxy last held it, which is what its next process is started with."""
        return self._silent.get(proxy) or self.snapshot()

    def names(self) -> list[str]:
        """Return the names of the backends that are in service."""
        return [name for name, entry in self._entries.items() if entry["status"] == "in_service"]

    async def open_agents(self, ports: list[tuple[int, int]]) -> None:
        """Open discovery for each proxy, at the two places where it may be."""
        for proxy, pair in enumerate(ports):
            for name, port in zip(_agents(proxy), pair, strict=True):
                await self.registry.open_endpoint(name, port)

    def drain(self, name: str) -> None:
        """Let a backend want nothing new."""
        self._publish(name, {"status": "terminating"})
        now = time.monotonic()
        notified_at = {proxy: FOREVER if proxy in self._silent else now for proxy in self._proxies}
        self._draining[name] = notified_at

    def return_to_service(self, name: str, port: int) -> None:
        """Let a backend be in service again, as another process at another port."""
        notified_at = self._draining.pop(name, None)
        if notified_at is not None:
            self._history.drains.append(Drain(name, notified_at, time.monotonic()))
        started_ms = int(time.time() * 1000)
        self._publish(name, {"status": "in_service", "address": f"{HOST}:{port}", "since_ms": started_ms})

    def finish(self) -> None:
        """Record the drains that have not ended."""
        for name, notified_at in self._draining.items():
            self._history.drains.append(Drain(name, notified_at))

    def silence(self, proxies: list[int]) -> None:
        """Let the agents of some proxies say nothing."""
        for proxy in proxies:
            self._silent.setdefault(proxy, self.snapshot())
        now = time.monotonic()
        for notified_at in self._draining.values():
            for proxy in proxies:
                if notified_at[proxy] > now - REACHABLE_TIME:
                    notified_at[proxy] = FOREVER  # it had no time to ask
        self.registry.silence([name for proxy in proxies for name in _agents(proxy)])

    def heal(self, proxies: list[int]) -> None:
        """Let these agents speak again: their proxies count as notified of it from now on."""
        now = time.monotonic()
        for proxy in proxies:
            self._silent.pop(proxy, None)
        for notified_at in self._draining.values():
            for proxy in proxies:
                notified_at[proxy] = min(notified_at[proxy], now)
        self.registry.heal([name for proxy in proxies for name in _agents(proxy)])

    def reset_watches(self, forget_log: bool) -> None:
        """Reset all watches; with `forget_log` they get the complete list when they return."""
        self.registry.reset_connections(list(self.registry.endpoints), forget_log)

    def _publish(self, name: str, change: EndpointChange) -> None:
        entry = changed_entry(self._entries[name], change)
        self._entries[name] = entry
        self.registry.publish(self.registry.state.index + 1, [entry])


def _agents(proxy: int) -> tuple[str, str]:
    """Return the names of the two places where a proxy's discovery may be."""
    return f"{proxy}-one", f"{proxy}-two"
