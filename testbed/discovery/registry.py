"""A stand-in for discovery: one control machine that serves the endpoint list (PROTOCOL, Discovery).

Several instances hold the same list: each is given the same changes under the same versions. This module
owns the machine's named endpoints and its usage; `registry_state` holds the list, `registry_endpoint` a port.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from testbed.discovery.registry_endpoint import RegistryEndpoint, TrafficCounts
from testbed.discovery.registry_state import RegistryState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from contextlib import AsyncExitStack

    from testbed.discovery.entry import EndpointEntry, EndpointUpdate


@dataclass(slots=True, frozen=True)
class EndpointAddress:
    """An endpoint to open: its name, its port, and the names of the backends it shows (None: all)."""

    name: str
    port: int
    view: frozenset[str] | None = None


@dataclass(slots=True, frozen=True)
class RegistryUsage:
    """What a control machine has spent since its start.

    Attributes:
        traffic: What it sent, over all endpoints.
        open_watches: Watches open now.
        processor: Processor time of its process in seconds.
    """

    traffic: TrafficCounts
    open_watches: int
    processor: float


class Registry:
    """One control machine: the endpoint list, the endpoints that serve it, and what it spends."""

    def __init__(self, entries: Iterable[EndpointEntry], index: int = 1) -> None:
        self.state = RegistryState(entries, index)
        self.endpoints: dict[str, RegistryEndpoint] = {}

    async def open_endpoint(self, name: str, port: int = 0, view: Iterable[str] | None = None) -> int:
        """Open a new endpoint, or open again one that was closed.

        Args:
            name: Identifies it in the other methods.
            port: The port to listen on; 0: any free one.
            view: The names of the backends that it shows; None: all.

        Returns:
            The port.

        Raises:
            OSError: The port is taken.
        """
        if name not in self.endpoints:
            visible = None if view is None else frozenset(view)
            self.endpoints[name] = RegistryEndpoint(self.state, port, visible)
        endpoint = self.endpoints[name]
        endpoint.is_silent = False
        await endpoint.open()
        return endpoint.port

    async def open_endpoints(self, addresses: Iterable[EndpointAddress]) -> None:
        """Open several endpoints; OSError where a port is taken."""
        for address in addresses:
            await self.open_endpoint(address.name, address.port, address.view)

    def publish(self, index: int, entries: list[EndpointEntry]) -> float:
        """Apply a change and send it to all watches.

        Returns:
            When that started, on the machine's monotonic clock.

        Raises:
            StaleVersionError: The version isn't newer than the current one.
        """
        started = time.monotonic()
        self.state.change(index, entries)
        for endpoint in self.endpoints.values():
            endpoint.send_updates()
        return started

    def close_endpoints(self, names: Iterable[str]) -> None:
        """Simulate the loss of the machine: watches are reset, and new connections fail."""
        for name in names:
            self.endpoints[name].close()

    def silence(self, names: Iterable[str]) -> None:
        """Simulate a network partition: open connections are sent nothing, new ones are never answered."""
        for name in names:
            self.endpoints[name].is_silent = True

    def heal(self, names: Iterable[str]) -> None:
        """End a simulated partition: connections that hung are reset, new ones are served."""
        for name in names:
            self.endpoints[name].is_silent = False
            self.endpoints[name].reset_connections()

    def reset_connections(self, names: Iterable[str], *, forget_log: bool = False) -> None:
        """Reset the connections of some endpoints; with `forget_log`, watches that return get a snapshot."""
        if forget_log:
            self.state.forget_log()
        for name in names:
            self.endpoints[name].reset_connections()

    def usage(self) -> RegistryUsage:
        """Read what this process has sent and spent."""
        endpoints = self.endpoints.values()
        traffic = sum((endpoint.counts for endpoint in endpoints), TrafficCounts())
        open_watches = sum(endpoint.open_watches() for endpoint in endpoints)
        return RegistryUsage(traffic, open_watches, time.process_time())

    def endpoint_traffic(self, name: str) -> TrafficCounts:
        """Count what was sent at one endpoint; KeyError where none has the name."""
        return replace(self.endpoints[name].counts)

    def close(self) -> None:
        """Close every endpoint."""
        self.close_endpoints(tuple(self.endpoints))


async def serve_static_list(stack: AsyncExitStack, snapshot: EndpointUpdate) -> int:
    """Serve an endpoint list that never changes, until the stack ends; each watch receives the complete list.

    Returns:
        The port.
    """
    registry = Registry(snapshot["endpoints"], snapshot["index"])
    registry.state.forget_log()  # else a watch from this version on would receive an empty delta
    stack.callback(registry.close)
    return await registry.open_endpoint("all")
