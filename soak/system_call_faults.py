"""The faults of a proxy's system calls, and their encoding in an environment variable for the shim."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

VARIABLE = "SOAK_FAULTS"  # the environment variable that holds the faults as JSON


@dataclass(slots=True, frozen=True)
class SystemCallFaults:
    """The faults of system calls. Each probability applies to every call.

    Attributes:
        seed: The seed of the random generator.
        accept: Probability that accepting a connection fails.
        sockets: Probability that opening a socket fails.
        connect: Probability that connecting fails.
        read: Probability that a read fails and ends its connection.
        short: Probability that a read or a write transfers only a few bytes.
        slow_connect: Probability that a connection is established late.
        max_connect_delay: The longest delay of a late connection in seconds.
        punctual_ports: Ports to which connections are never late: the ports of the discovery agents, which
            run on the proxy's own machine.
        clock_step: Seconds by which the wall clock steps; 0 for no step.
        clock_step_after: Seconds after the start at which the wall clock steps.
    """

    seed: int = 0
    accept: float = 0.0
    sockets: float = 0.0
    connect: float = 0.0
    read: float = 0.0
    short: float = 0.0
    slow_connect: float = 0.0
    max_connect_delay: float = 0.0
    punctual_ports: tuple[int, ...] = ()
    clock_step: float = 0.0
    clock_step_after: float = 0.0

    def to_environment(self) -> dict[str, str]:
        """Return the environment variable that passes these faults to a process."""
        return {VARIABLE: json.dumps(asdict(self))}

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> SystemCallFaults:
        """Read the faults from environment variables; there are none without the variable."""
        return cls(**json.loads(environment.get(VARIABLE, "{}")))
