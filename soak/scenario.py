"""What a scenario of the soak test consists of."""

from __future__ import annotations

from dataclasses import dataclass, field

from soak.backend_behaviour import BackendBehaviour
from soak.client_mix import ClientMix
from soak.fault_kinds import ALL_FAULTS, FaultKind
from soak.system_call_faults import SystemCallFaults


@dataclass(slots=True, frozen=True)
class Scenario:
    """What a run consists of.

    Attributes:
        help: One line that describes it.
        system_calls: The faults of the proxies' system calls.
        clients: What clients do.
        backends: How backends respond.
        faults: The kinds of faults in the schedule.
    """

    help: str
    system_calls: SystemCallFaults = field(default_factory=SystemCallFaults)
    clients: ClientMix = field(default_factory=ClientMix)
    backends: BackendBehaviour = field(default_factory=BackendBehaviour)
    faults: tuple[FaultKind, ...] = ALL_FAULTS
