"""The kinds of faults that a run's schedule is drawn from."""

from __future__ import annotations

from enum import StrEnum


class FaultKind(StrEnum):
    """A kind of fault.

    The schedule draws from the members in this order: another order would change the schedule of every seed.
    """

    DRAIN = "drain"  # a backend drains and returns as another process
    HANG = "hang"  # a backend does not respond for a while
    PAUSE = "pause"  # proxies are paused by SIGSTOP for a moment each
    IDLE_CLIENTS = "idle_clients"  # many idle connections are opened to one proxy
    KILL = "kill"  # a proxy is ended by SIGKILL and started again
    RELOAD = "reload"  # a proxy is reconfigured several times in quick succession
    RESET_WATCHES = "reset_watches"  # all watches of discovery are reset
    SILENCE = "silence"  # the discovery of some proxies is cut off
    TERMINATE = "terminate"  # a proxy is ended by SIGTERM and started again


ALL_FAULTS = tuple(FaultKind)
