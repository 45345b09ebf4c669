"""Assigns the proxies of a simulated fleet to processes and registries; `simulated_fleet` starts them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from emulator.fleet.topology import REGION_BY_ZONE, Topology

if TYPE_CHECKING:
    from collections.abc import Sequence

REGISTRY_COUNT = 3
#: The watches of a registry are split into one group for each registry that may take them over.
TAKEOVER_GROUPS = REGISTRY_COUNT - 1


@dataclass(slots=True)
class FleetEndpoint:
    """A port of a registry, watched by the proxies of one region, takeover group and view.

    Attributes:
        name: The endpoint's name at the registries.
        port: The TCP port; 0 until it is assigned.
        registry_number: The registry that serves the endpoint now.
        region: The region of its proxies.
        takeover_group: Selects the registry that takes the endpoint over when its own registry fails.
        view: Names of the backends that the endpoint shows; None: all backends.
    """

    name: str
    port: int
    registry_number: int
    region: int
    takeover_group: int
    view: frozenset[str] | None


@dataclass(slots=True, frozen=True)
class FleetLayout:
    """Assignment of the proxies of a fleet to processes and endpoints.

    Attributes:
        endpoints: All registry endpoints.
        processes: For each process, its proxies as pairs of backend position and watched endpoint.
    """

    endpoints: list[FleetEndpoint]
    processes: list[list[tuple[int, FleetEndpoint]]]


def assign_proxies(
    topology: Topology, positions: Sequence[int], process_count: int, *, only_called_services: bool
) -> FleetLayout:
    """Assign the proxies of the backends at `positions` to registries and processes round-robin.

    All proxies of a process watch the same registry, so that the process shows the cost of its failure.
    """
    endpoints: dict[str, FleetEndpoint] = {}
    processes: list[list[tuple[int, FleetEndpoint]]] = [[] for _ in range(process_count)]
    processes_per_registry = process_count // REGISTRY_COUNT
    for proxy_number, position in enumerate(positions):
        endpoint = _endpoint(topology, proxy_number, position, only_called_services=only_called_services)
        endpoint = endpoints.setdefault(endpoint.name, endpoint)
        round_number = proxy_number // REGISTRY_COUNT
        process = endpoint.registry_number + REGISTRY_COUNT * (round_number % processes_per_registry)
        processes[process].append((position, endpoint))
    return FleetLayout(list(endpoints.values()), processes)


def _endpoint(
    topology: Topology, proxy_number: int, position: int, *, only_called_services: bool
) -> FleetEndpoint:
    """Describe the endpoint that a proxy watches; endpoints with equal names are the same."""
    registry_number = proxy_number % REGISTRY_COUNT
    takeover_group = proxy_number // (2 * REGISTRY_COUNT) % TAKEOVER_GROUPS
    region = REGION_BY_ZONE[topology.entries[position]["zone"]]
    name, view = f"{registry_number}.{region}.{takeover_group}", None
    if only_called_services:
        service = topology.service_of[position]
        name += f".{service}"
        called = topology.called_backends(service)
        view = frozenset(topology.entries[backend]["name"] for backend in called)
    return FleetEndpoint(name, 0, registry_number, region, takeover_group, view)
