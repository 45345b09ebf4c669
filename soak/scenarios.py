"""The scenarios of the soak test, by name."""

from __future__ import annotations

from soak.backend_behaviour import BackendBehaviour
from soak.client_mix import ClientMix
from soak.fault_kinds import FaultKind
from soak.scenario import Scenario
from soak.system_call_faults import SystemCallFaults

ONE_HOUR = 3600.0  # seconds

SCENARIOS = {
    "quiet": Scenario(
        "Load without faults except reset watches; backends always respond.",
        backends=BackendBehaviour(
            reset_probability=0.0,
            rejection_probability=0.0,
            error_probability=0.0,
            close_delimited_probability=0.0,
            truncated_probability=0.0,
            duplicate_response_probability=0.0,
            hang_probability=0.0,
            idle_close_probability=0.0,
        ),
        clients=ClientMix(disconnect_probability=0.0, stall_probability=0.0, pipeline_probability=0.0),
        faults=(FaultKind.RESET_WATCHES,),
    ),
    "mixed": Scenario("All kinds of faults, which overlap; system calls do not fail."),
    "dials": Scenario(
        "Connections to backends are established late or not at all.",
        system_calls=SystemCallFaults(slow_connect=0.3, max_connect_delay=0.4, connect=0.05),
        backends=BackendBehaviour(
            idle_close_probability=0.3, error_probability=0.1, rejection_probability=0.1
        ),
    ),
    "transfers": Scenario(
        "Reads and writes transfer only a few bytes, and connections fail during a read.",
        system_calls=SystemCallFaults(short=0.3, read=0.003),
    ),
    "accepts": Scenario(
        "Accepting a connection fails occasionally.", system_calls=SystemCallFaults(accept=0.05)
    ),
    "bursts": Scenario(
        "Bursts of slow clients, and proxies with the least memory.",
        faults=(FaultKind.DRAIN, FaultKind.PAUSE, FaultKind.TERMINATE, FaultKind.BURST),
        memory_mb=32,
    ),
    "repeats": Scenario(
        "Clients disconnect and send the same id again; proxies are not restarted.",
        clients=ClientMix(disconnect_probability=0.3, repeat_probability=0.5),
        faults=(FaultKind.DRAIN, FaultKind.HANG, FaultKind.PAUSE, FaultKind.RELOAD),
    ),
    "crowds": Scenario(
        "Calls to discovery wait for their turn while a backend drains; proxies are reconfigured.",
        faults=(FaultKind.PAUSE, FaultKind.RELOAD, FaultKind.CROWD),
    ),
    "clock": Scenario(
        "The wall clock steps by an hour.",
        system_calls=SystemCallFaults(clock_step=ONE_HOUR, clock_step_after=3.0),
    ),
    "timeouts": Scenario("Clients have different timeouts.", clients=ClientMix(timeouts=(0.3, 0.8, 1.5))),
    "pipelines": Scenario(
        "Clients pipeline requests, read slowly, and ask for connections to be closed.",
        clients=ClientMix(
            pipeline_probability=0.4,
            slow_read_probability=0.2,
            close_probability=0.2,
            disconnect_probability=0.02,
        ),
        backends=BackendBehaviour(large_body_probability=0.2),
        faults=(FaultKind.TERMINATE, FaultKind.IDLE_CLIENTS, FaultKind.PAUSE, FaultKind.DRAIN),
    ),
}
