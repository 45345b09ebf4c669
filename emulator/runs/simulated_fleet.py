"""Runs the processes of a simulated fleet: registries and hosts of simulated proxies.

This module starts the processes, publishes changes, and injects failures of registries and networks.
`fleet_events` decides when these happen, and `fleet_measurement` measures their cost.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from emulator.fleet import topology
from emulator.fleet.simulated_host import ProxyPlacement, SimulatedHost, StartCost
from emulator.measurement.propagation_delay import DelayReport, Publication
from emulator.runs.endpoint_changes import EndpointChanges
from emulator.runs.fleet_layout import REGISTRY_COUNT, FleetEndpoint, FleetLayout, assign_proxies
from testbed.child_process import ChildProcess, call_all
from testbed.discovery.registry import EndpointAddress, Registry, RegistryUsage
from testbed.loopback import free_ports
from testbed.meter import MB

if TYPE_CHECKING:
    from collections.abc import Iterable
    from contextlib import ExitStack

    from emulator.runs.fleet_plans import Plan
    from testbed.discovery.entry import EndpointEntry

MAX_HOSTS = 6  # processes of simulated proxies
#: A smaller fleet, or a machine with fewer processors, gets fewer host processes.
MIN_PROXIES_FOR_MAX_HOSTS = 30
MIN_CPUS_FOR_MAX_HOSTS = 8


@dataclass(slots=True, frozen=True)
class FleetStart:
    """Cost of starting a fleet; the field names are keys of the result file.

    Attributes:
        memory_mb: Resident memory that one proxy adds to its process, on average.
        processor: Processor time in seconds for one proxy, on average.
        processes: Number of processes that run the proxies.
        resident_mb: Resident memory of all these processes.
    """

    memory_mb: float
    processor: float
    processes: int
    resident_mb: float

    @classmethod
    def of(cls, costs: list[StartCost]) -> FleetStart:
        """Combine the costs of all host processes."""
        proxies = sum(cost.proxies for cost in costs)
        return cls(
            memory_mb=sum(cost.added_memory for cost in costs) / proxies / MB,
            processor=sum(cost.processor_seconds for cost in costs) / proxies,
            processes=len(costs),
            resident_mb=sum(cost.resident_memory for cost in costs) / MB,
        )


class SimulatedFleet:
    """The running processes of one plan.

    Attributes:
        plan: The size of the fleet and its events.
        topology: The backends.
        rng: Random source of all events of the fleet.
        changes: The current endpoint list.
        start: Cost of starting the fleet.
        hosts: The processes that run simulated proxies.
        proxies_per_host: Number of proxies in each of these processes.
        registries: The processes that run registries.
        endpoints: The registry endpoints that proxies watch.
        publications: The versions published since the last call of `forget_publications`.
    """

    def __init__(self, plan: Plan, seed: int, stack: ExitStack) -> None:
        """Start the processes and wait until every proxy has its endpoint list; the stack ends them."""
        self.plan = plan
        self.rng = np.random.default_rng(seed)
        self.topology = topology.build(seed, plan.backends)
        self.changes = EndpointChanges(self.topology.entries, self.rng)
        self.publications: dict[int, Publication] = {}
        self._index = 1
        self._latest_versions: dict[str, int] = {}  # last version that changed a backend, by its name
        self.registries = [
            stack.enter_context(ChildProcess(Registry, self.topology.entries)) for _ in range(REGISTRY_COUNT)
        ]
        self._live_registries = set(range(REGISTRY_COUNT))
        self.hosts = [
            stack.enter_context(ChildProcess(SimulatedHost, seed, plan.backends))
            for _ in range(_host_count(plan))
        ]
        positions = [int(position) for position in self.rng.permutation(plan.backends)[: plan.proxies]]
        layout = assign_proxies(
            self.topology, positions, len(self.hosts), only_called_services=plan.only_called_services
        )
        self.endpoints = layout.endpoints
        self.proxies_per_host = [len(proxies) for proxies in layout.processes]
        self.start = self._start(layout)

    def _start(self, layout: FleetLayout) -> FleetStart:
        ports = free_ports(len(self.endpoints), self.rng)
        for endpoint, port in zip(self.endpoints, ports, strict=True):
            endpoint.port = port
        self.open_endpoints(self.endpoints)
        for host, proxies in zip(self.hosts, layout.processes, strict=True):
            placements = [ProxyPlacement(position, endpoint.port) for position, endpoint in proxies]
            host.send(
                "start_proxies",
                placements,
                self.plan.proxies,
                only_called_services=self.plan.only_called_services,
            )
        costs: list[StartCost] = [host.result() for host in self.hosts]
        call_all(self.hosts, "freeze")
        return FleetStart.of(costs)

    # ---- the endpoint list -----------------------------------------------------------------

    def publish(self, entries: list[EndpointEntry]) -> None:
        """Publish one version at all live registries."""
        self._index += 1
        names = frozenset(entry["name"] for entry in entries)
        self.publications[self._index] = Publication(time.monotonic(), names)
        self._latest_versions.update(dict.fromkeys(names, self._index))
        registries = [self.registries[number] for number in sorted(self._live_registries)]
        call_all(registries, "publish", self._index, entries)

    def forget_publications(self) -> None:
        """Forget the versions published so far, so that delays are reported only for later ones."""
        self.publications = {}

    def wait_until_applied(self, timeout: float) -> bool:
        """Wait until every proxy has applied the versions visible to it; return False after `timeout` s."""
        return all(call_all(self.hosts, "wait_until_applied", self._latest_versions, timeout))

    def delay_reports(self) -> list[DelayReport]:
        """Return the propagation delays of the publications, one report for each host process."""
        return call_all(self.hosts, "delay_report", self.publications)

    # ---- registries and networks -----------------------------------------------------------

    def open_endpoints(self, endpoints: Iterable[FleetEndpoint]) -> None:
        """Open each endpoint at the registry that serves it now."""
        endpoints_to_open = list(endpoints)
        for number, registry in enumerate(self.registries):
            addresses = [
                EndpointAddress(endpoint.name, endpoint.port, endpoint.view)
                for endpoint in endpoints_to_open
                if endpoint.registry_number == number
            ]
            if addresses:
                registry.call("open_endpoints", addresses)

    def endpoints_at(self, registry_number: int) -> list[FleetEndpoint]:
        """Return the endpoints that a registry serves now."""
        return [endpoint for endpoint in self.endpoints if endpoint.registry_number == registry_number]

    def fail_registry(self, registry_number: int) -> list[FleetEndpoint]:
        """Simulate the failure of a registry, and assign its endpoints to the other registries.

        Returns:
            The reassigned endpoints, which stay closed until `open_endpoints` is called for them.
        """
        reassigned = self.endpoints_at(registry_number)
        names = [endpoint.name for endpoint in reassigned]
        self.registries[registry_number].call("close_endpoints", names)
        self._live_registries.discard(registry_number)
        successors = [number for number in range(REGISTRY_COUNT) if number != registry_number]
        for endpoint in reassigned:
            endpoint.registry_number = successors[endpoint.takeover_group]
        return reassigned

    def restart_registry_without_log(self, registry_number: int) -> None:
        """Simulate the restart of a registry that has lost its log: its watches reconnect for a snapshot."""
        names = [endpoint.name for endpoint in self.endpoints_at(registry_number)]
        self.registries[registry_number].call("reset_connections", names, forget_log=True)

    def partition_region(self, region: int) -> None:
        """Simulate a network partition between the proxies of a region and all registries."""
        self._call_for_region("silence", region)

    def heal_region(self, region: int) -> None:
        """End the network partition of a region."""
        self._call_for_region("heal", region)

    def _call_for_region(self, method: str, region: int) -> None:
        for registry_number in self._live_registries:
            names = [
                endpoint.name for endpoint in self.endpoints_at(registry_number) if endpoint.region == region
            ]
            self.registries[registry_number].call(method, names)

    # ---- costs -----------------------------------------------------------------------------

    def registry_usages(self) -> list[RegistryUsage]:
        """Return the resource usage of each registry."""
        return call_all(self.registries, "usage")

    def worst_list_cost(self, started: float, ended: float) -> float:
        """Return the most processor time that one proxy spent on list updates in any window, in seconds."""
        costs: list[float] = call_all(self.hosts, "worst_list_cost", started, ended)
        return max(costs)


def _host_count(plan: Plan) -> int:
    """Return the number of host processes, which is a multiple of the number of registries."""
    if (os.cpu_count() or 1) >= MIN_CPUS_FOR_MAX_HOSTS and plan.proxies >= MIN_PROXIES_FOR_MAX_HOSTS:
        return MAX_HOSTS
    return REGISTRY_COUNT
