"""The definition of a scenario of the soak test."""

from __future__ import annotations

from dataclasses import dataclass, field

from soak.backend_behaviour import BackendBehaviour
from soak.client_mix import ClientMix
from soak.fault_kinds import ALL_FAULTS, FaultKind
from soak.system_call_faults import SystemCallFaults
from testbed.proxy_config import DEFAULT_MEMORY_MB


@dataclass(slots=True, frozen=True)
class Scenario:
    """A scenario: the load and the faults of a run.

    Attributes:
        help: A description of one line for the command line's help.
        system_calls: The faults of the proxies' system calls.
        clients: The behaviour of the clients.
        backends: The behaviour of the backends.
        faults: The kinds of faults that are injected.
        memory_mb: The limit on the memory of each proxy in MB.
    """

    help: str
    system_calls: SystemCallFaults = field(default_factory=SystemCallFaults)
    clients: ClientMix = field(default_factory=ClientMix)
    backends: BackendBehaviour = field(default_factory=BackendBehaviour)
    faults: tuple[FaultKind, ...] = ALL_FAULTS
    memory_mb: int = DEFAULT_MEMORY_MB
