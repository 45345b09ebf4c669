"""The scenarios that runs can play, by name."""

from __future__ import annotations

from soak.backends import Behaviour
from soak.clients import ClientMix
from soak.run import Scenario
from soak.shim import Faults

SCENARIOS = {
    "quiet": Scenario(
        "No trouble, backends that only work: nothing but the load.",
        behaviour=Behaviour(
            reset=0.0, refuse=0.0, error=0.0, lengthless=0.0, broken=0.0, twice=0.0, hang=0.0, close_idle=0.0
        ),
        mix=ClientMix(leaves=0.0, stalls=0.0, pipelined=0.0),
        troubles=("reset_watches",),
    ),
    "mixed": Scenario("All troubles, overlapping; system calls work."),
    "dials": Scenario(
        "Connections to backends come up late or not at all.",
        faults=Faults(slow_connect=0.3, max_connect_delay=0.4, connect=0.05),
        behaviour=Behaviour(close_idle=0.3, error=0.1, refuse=0.1),
    ),
    "transfers": Scenario(
        "Reads and writes are cut short, and connections break while they are read.",
        faults=Faults(short=0.3, read=0.003),
    ),
    "accepts": Scenario("Accepting fails for a moment, now and then.", faults=Faults(accept=0.05)),
    "clock": Scenario(
        "The wall clock steps by an hour.", faults=Faults(clock_step=3600.0, clock_step_after=3.0)
    ),
    "timeouts": Scenario("Clients wait for different times.", mix=ClientMix(timeouts=(0.3, 0.8, 1.5))),
    "pipelines": Scenario(
        "Clients send several requests at once, read slowly, and want connections closed.",
        mix=ClientMix(pipelined=0.4, slow_reader=0.2, last=0.2, leaves=0.02),
        behaviour=Behaviour(large=0.2),
        troubles=("terminate", "idle_clients", "hold_up", "drain"),
    ),
}
