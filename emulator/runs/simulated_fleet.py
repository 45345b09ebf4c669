"""The processes of a simulated fleet: control machines, hosts of simulated proxies, and what is done to them.

It owns start-up, publishing of changes and the failures of control machines and networks. When they happen
is decided in `fleet_events`; what they cost is measured in `fleet_measurement`.
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
from emulator.runs.fleet_layout import MACHINES, FleetEndpoint, FleetLayout, assign_proxies
from testbed.child_process import ChildProcess, call_all
from testbed.discovery.registry import EndpointAddress, Registry, RegistryUsage
from testbed.loopback import free_ports
from testbed.meter import MB

if TYPE_CHECKING:
    from collections.abc import Iterable
    from contextlib import ExitStack

    from emulator.runs.fleet_plans import Plan
    from testbed.discovery.entry import EndpointEntry

MAX_HOSTS = 6  # processes of simulated proxies; fewer for a small fleet or on a small machine
MIN_PROXIES_FOR_MAX_HOSTS = 30
MIN_CPUS_FOR_MAX_HOSTS = 8


@dataclass(slots=True, frozen=True)
class FleetStart:
    """What starting a fleet cost.

    Attributes:
        memory_mb: Resident memory that a proxy added to its process.
        processor: Processor time in seconds for each proxy.
        processes: How many processes hold the proxies.
        resident_mb: Resident memory of all of them.
    """

    memory_mb: float
    processor: float
    processes: int
    resident_mb: float

    @classmethod
    def of(cls, costs: list[StartCost]) -> FleetStart:
        """Sum up the processes' costs."""
        proxies = sum(cost.proxies for cost in costs)
        return cls(
            memory_mb=sum(cost.memory for cost in costs) / proxies / MB,
            processor=sum(cost.processor for cost in costs) / proxies,
            processes=len(costs),
            resident_mb=sum(cost.resident for cost in costs) / MB,
        )


class SimulatedFleet:
    """One plan's processes.

    Attributes:
        topology: The backends.
        rng: The source of everything random that happens to the fleet.
        changes: The endpoint list as it stands.
        start: What starting them cost.
        hosts: The processes of simulated proxies.
        proxies_per_host: How many proxies each of them holds.
        machines: The control machines.
        endpoints: The ports that proxies watch.
        publications: The versions published since the last `forget_publications`.
    """

    def __init__(self, plan: Plan, seed: int, stack: ExitStack) -> None:
        """Start the processes, which end with the stack, and wait until all proxies hold their lists."""
        self.plan = plan
        self.rng = np.random.default_rng(seed)
        self.topology = topology.build(seed, plan.backends)
        self.changes = EndpointChanges(self.topology.entries, self.rng)
        self.publications: dict[int, Publication] = {}
        self._index = 1
        self._latest: dict[str, int] = {}  # the last version of each backend that changed, by its name
        self.machines = [
            stack.enter_context(ChildProcess(Registry, self.topology.entries)) for _ in range(MACHINES)
        ]
        self._live_machines = set(range(MACHINES))
        self.hosts = [
            stack.enter_context(ChildProcess(SimulatedHost, seed, plan.backends))
            for _ in range(_host_count(plan))
        ]
        positions = [int(position) for position in self.rng.permutation(plan.backends)[: plan.proxies]]
        layout = assign_proxies(self.topology, positions, len(self.hosts), narrow_view=plan.narrow_view)
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
            host.send("start_proxies", placements, self.plan.proxies, narrow_view=self.plan.narrow_view)
        costs: list[StartCost] = [host.result() for host in self.hosts]
        call_all(self.hosts, "freeze")
        return FleetStart.of(costs)

    # ---- the endpoint list -----------------------------------------------------------------

    def publish(self, entries: list[EndpointEntry]) -> None:
        """Publish one version: the same at every live control machine."""
        self._index += 1
        names = frozenset(entry["name"] for entry in entries)
        self.publications[self._index] = Publication(time.monotonic(), names)
        self._latest.update(dict.fromkeys(names, self._index))
        machines = [self.machines[number] for number in sorted(self._live_machines)]
        call_all(machines, "publish", self._index, entries)

    def forget_publications(self) -> None:
        """Forget the versions published so far, so that delays are reported only for later ones."""
        self.publications = {}

    def wait_until_applied(self, timeout: float) -> bool:
        """Wait until every proxy has applied the versions visible to it; return False after `timeout` s."""
        return all(call_all(self.hosts, "wait_until_applied", self._latest, timeout))

    def delay_reports(self) -> list[DelayReport]:
        """Return the propagation delays of the publications, one report for each host process."""
        return call_all(self.hosts, "delay_report", self.publications)

    # ---- control machines and networks -----------------------------------------------------

    def open_endpoints(self, endpoints: Iterable[FleetEndpoint]) -> None:
        """Open ports, each at the control machine that serves it now."""
        wanted = list(endpoints)
        for number, machine in enumerate(self.machines):
            addresses = [
                EndpointAddress(endpoint.name, endpoint.port, endpoint.view)
                for endpoint in wanted
                if endpoint.machine == number
            ]
            if addresses:
                machine.call("open_endpoints", addresses)

    def endpoints_at(self, machine: int) -> list[FleetEndpoint]:
        """Return the ports that a control machine serves now."""
        return [endpoint for endpoint in self.endpoints if endpoint.machine == machine]

    def lose_machine(self, machine: int) -> list[FleetEndpoint]:
        """Lose a control machine; its ports pass to the others.

        Returns:
            The ports, which are closed until they are opened again.
        """
        lost = self.endpoints_at(machine)
        self.machines[machine].call("close_endpoints", [endpoint.name for endpoint in lost])
        self._live_machines.discard(machine)
        successors = [number for number in range(MACHINES) if number != machine]
        for endpoint in lost:
            endpoint.machine = successors[endpoint.takeover_group]
        return lost

    def restart_without_log(self, machine: int) -> None:
        """Simulate the restart of a control machine without its log: its watches return for a snapshot."""
        names = [endpoint.name for endpoint in self.endpoints_at(machine)]
        self.machines[machine].call("reset_connections", names, forget_log=True)

    def partition_region(self, region: int) -> None:
        """Cut a region's proxies off from the control machines."""
        self._call_for_region("silence", region)

    def heal_region(self, region: int) -> None:
        """End a region's partition."""
        self._call_for_region("heal", region)

    def _call_for_region(self, method: str, region: int) -> None:
        for machine in self._live_machines:
            names = [endpoint.name for endpoint in self.endpoints_at(machine) if endpoint.region == region]
            self.machines[machine].call(method, names)

    # ---- what it costs ---------------------------------------------------------------------

    def machine_usages(self) -> list[RegistryUsage]:
        """Ask each control machine what it has spent."""
        return call_all(self.machines, "usage")

    def worst_list_cost(self, started: float, ended: float) -> float:
        """Return the most processor seconds that a proxy spent on lists in any window between two times."""
        costs: list[float] = call_all(self.hosts, "worst_list_cost", started, ended)
        return max(costs)


def _host_count(plan: Plan) -> int:
    """Choose how many processes share the proxies: a multiple of the control machines."""
    if (os.cpu_count() or 1) >= MIN_CPUS_FOR_MAX_HOSTS and plan.proxies >= MIN_PROXIES_FOR_MAX_HOSTS:
        return MAX_HOSTS
    return MACHINES
