"""Which proxy of a simulated fleet runs in which process and watches which control machine.

It owns the assignment alone; `simulated_fleet` starts the processes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from emulator.fleet.topology import REGION_OF, Topology

if TYPE_CHECKING:
    from collections.abc import Sequence

MACHINES = 3  # for control
TAKEOVER_GROUPS = MACHINES - 1  # parts of a machine's watches, one for each machine that may replace it


@dataclass(slots=True)
class FleetEndpoint:
    """A port of a control machine that proxies of one region, takeover group and view watch.

    Attributes:
        name: What control machines call it.
        port: 0 until it is assigned.
        machine: The control machine that serves it now.
        region: The region of its proxies.
        takeover_group: Which of the other machines serves it when its own is lost.
        view: The names of the backends that it shows; None: all.
    """

    name: str
    port: int
    machine: int
    region: int
    takeover_group: int
    view: frozenset[str] | None


@dataclass(slots=True, frozen=True)
class FleetLayout:
    """Where the proxies of a fleet run and what they watch.

    Attributes:
        endpoints: All endpoints.
        processes: The proxies of each process: the position of the backend, and the endpoint watched.
    """

    endpoints: list[FleetEndpoint]
    processes: list[list[tuple[int, FleetEndpoint]]]


def assign_proxies(
    topology: Topology, positions: Sequence[int], process_count: int, *, narrow_view: bool
) -> FleetLayout:
    """Assign the proxies of some backends to control machines and processes in turn.

    All proxies of a process watch the same control machine, so that the cost of its loss can be seen there.
    """
    endpoints: dict[str, FleetEndpoint] = {}
    processes: list[list[tuple[int, FleetEndpoint]]] = [[] for _ in range(process_count)]
    processes_per_machine = process_count // MACHINES
    for number, position in enumerate(positions):
        endpoint = _endpoint(topology, number, position, narrow_view=narrow_view)
        endpoint = endpoints.setdefault(endpoint.name, endpoint)
        round_number = number // MACHINES
        process = endpoint.machine + MACHINES * (round_number % processes_per_machine)
        processes[process].append((position, endpoint))
    return FleetLayout(list(endpoints.values()), processes)


def _endpoint(topology: Topology, number: int, position: int, *, narrow_view: bool) -> FleetEndpoint:
    """Describe what the proxy with a number watches; equal names mean the same endpoint."""
    machine = number % MACHINES
    takeover_group = number // (2 * MACHINES) % TAKEOVER_GROUPS
    region = REGION_OF[topology.entries[position]["zone"]]
    name, view = f"{machine}.{region}.{takeover_group}", None
    if narrow_view:
        service = topology.service_of[position]
        name += f".{service}"
        called = topology.called_backends(service)
        view = frozenset(topology.entries[backend]["name"] for backend in called)
    return FleetEndpoint(name, 0, machine, region, takeover_group, view)
