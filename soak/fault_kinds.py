"""The kinds of faults that are injected into a run."""

from __future__ import annotations

from enum import StrEnum


class FaultKind(StrEnum):
    """A kind of fault.

    The schedule is drawn from the members in this order. Another order would change the schedule of each
    seed.
    """

    DRAIN = "drain"  # a backend drains and returns to service as a new process
    HANG = "hang"  # a backend does not respond for a while
    PAUSE = "pause"  # some proxies are paused by SIGSTOP for a short time
    IDLE_CLIENTS = "idle_clients"  # many idle connections are opened to one proxy
    KILL = "kill"  # a proxy is stopped by SIGKILL and started again
    RELOAD = "reload"  # a proxy is reconfigured several times in quick succession
    RESET_WATCHES = "reset_watches"  # all discovery watches are reset
    SILENCE = "silence"  # the discovery agents of some proxies send nothing
    TERMINATE = "terminate"  # a proxy is stopped by SIGTERM and started again
    BURST = "burst"  # many clients at once send incomplete requests to one proxy
    CROWD = "crowd"  # calls of some proxies to discovery wait for their turn while a backend drains


#: The faults of a scenario that names none. A burst needs proxies with little memory, and a crowd a long run.
ALL_FAULTS = tuple(kind for kind in FaultKind if kind not in (FaultKind.BURST, FaultKind.CROWD))
