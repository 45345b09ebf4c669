"""A discovery registry for tests: it serves the endpoint list on one or more ports.

Several registries serve the same list if each receives the same changes with the same version numbers.
`registry_state` stores the list, and `registry_endpoint` serves one port.
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
    """An endpoint to open.

    Attributes:
        name: The endpoint's name in the methods of `Registry`.
        port: The port to listen on.
        view: The names of the backends that its clients see; None for all.
    """

    name: str
    port: int
    view: frozenset[str] | None = None


@dataclass(slots=True, frozen=True)
class RegistryUsage:
    """The resources that a registry has used since its start.

    Attributes:
        traffic: The traffic of all its endpoints.
        open_watches: The number of watches that are open now.
        processor: Processor time of its process in seconds.
    """

    traffic: TrafficCounts
    open_watches: int
    processor: float


class Registry:
    """One registry: the endpoint list, and the endpoints that serve it.

    Attributes:
        state: The endpoint list.
        endpoints: The endpoints by name, including closed ones.
    """

    def __init__(self, entries: Iterable[EndpointEntry], index: int = 1) -> None:
        self.state = RegistryState(entries, index)
        self.endpoints: dict[str, RegistryEndpoint] = {}

    async def open_endpoint(self, name: str, port: int = 0, view: Iterable[str] | None = None) -> int:
        """Open an endpoint, or reopen one that was closed.

        Args:
            name: The endpoint's name in the other methods.
            port: The port to listen on; 0 for any free port.
            view: The names of the backends that its clients see; None for all.

        Returns:
            The port.

        Raises:
            OSError: The port is in use.
        """
        if name not in self.endpoints:
            visible = None if view is None else frozenset(view)
            self.endpoints[name] = RegistryEndpoint(self.state, port, visible)
        endpoint = self.endpoints[name]
        endpoint.is_silent = False
        await endpoint.open()
        return endpoint.port

    async def open_endpoints(self, addresses: Iterable[EndpointAddress]) -> None:
        """Open several endpoints.

        Raises:
            OSError: A port is in use.
        """
        for address in addresses:
            await self.open_endpoint(address.name, address.port, address.view)

    def publish(self, index: int, entries: list[EndpointEntry]) -> float:
        """Apply a change and send it to all watches.

        Args:
            index: The version of the list with this change.
            entries: The changed entries.

        Returns:
            The time when this began, on the machine's monotonic clock.

        Raises:
            StaleVersionError: The version is not newer than the current one.
        """
        started_at = time.monotonic()
        self.state.change(index, entries)
        for endpoint in self.endpoints.values():
            endpoint.send_updates()
        return started_at

    def close_endpoints(self, names: Iterable[str]) -> None:
        """Simulate the failure of the registry's machine: watches are reset, and new connections fail."""
        for name in names:
            self.endpoints[name].close()

    def silence(self, names: Iterable[str]) -> None:
        """Simulate a network partition: connections, open and new ones, receive nothing."""
        for name in names:
            self.endpoints[name].is_silent = True

    def heal(self, names: Iterable[str]) -> None:
        """End a simulated partition: open connections are reset, and new ones are served."""
        for name in names:
            self.endpoints[name].is_silent = False
            self.endpoints[name].reset_connections()

    def delay_responses(self, names: Iterable[str], seconds: float) -> None:
        """Let new watches at some endpoints wait for their turn, as at a crowded service; 0: not any more."""
        for name in names:
            self.endpoints[name].response_delay = seconds

    def reset_connections(self, names: Iterable[str], *, forget_log: bool = False) -> None:
        """Reset the connections of some endpoints.

        Args:
            names: The names of the endpoints.
            forget_log: Whether the log of changes is discarded, so that watches which resume receive a
                snapshot.
        """
        if forget_log:
            self.state.forget_log()
        for name in names:
            self.endpoints[name].reset_connections()

    def usage(self) -> RegistryUsage:
        """Return the resources that this process has used."""
        endpoints = self.endpoints.values()
        traffic = sum((endpoint.counts for endpoint in endpoints), TrafficCounts())
        open_watches = sum(endpoint.open_watches() for endpoint in endpoints)
        return RegistryUsage(traffic, open_watches, time.process_time())

    def endpoint_traffic(self, name: str) -> TrafficCounts:
        """Return a copy of one endpoint's traffic counts.

        Raises:
            KeyError: No endpoint has this name.
        """
        return replace(self.endpoints[name].counts)

    def close(self) -> None:
        """Close every endpoint."""
        self.close_endpoints(tuple(self.endpoints))


async def serve_static_list(stack: AsyncExitStack, snapshot: EndpointUpdate) -> int:
    """Serve an endpoint list that never changes until the stack is closed.

    Every watch receives the complete list.

    Returns:
        The port.
    """
    registry = Registry(snapshot["endpoints"], snapshot["index"])
    # Without this, a watch that resumes from this version would receive an empty delta.
    registry.state.forget_log()
    stack.callback(registry.close)
    return await registry.open_endpoint("all")
