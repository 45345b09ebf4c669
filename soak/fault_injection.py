"""Fault injection: starts faults at random times, so that several overlap. A seed determines the schedule.

`proxy_faults` and `neighbour_faults` implement the faults. Faults of system calls are injected inside the
proxies; see `system_call_faults`.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from soak.fault_kinds import ALL_FAULTS, FaultKind
from soak.fault_log import FaultLog
from soak.neighbour_faults import LONG_DRAIN_TIMES, BackendFaults, DiscoveryFaults
from soak.proxy_faults import ProxyFaults

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from soak.environment import TestEnvironment

MEAN_INTERVAL = 0.25  # seconds between the starts of two faults
SETTLING_TIME = 1.0  # seconds before the end of a run in which no fault starts


class FaultInjector:
    """Chooses faults at random and injects them.

    Attributes:
        counts: How many faults of each kind have begun.
        log: The log of the faults.
    """

    def __init__(
        self, environment: TestEnvironment, seed: int, kinds: Collection[FaultKind] = ALL_FAULTS
    ) -> None:
        self._rng = random.Random(seed)
        self._kinds = [kind for kind in FaultKind if kind in kinds]
        self.counts: Counter[FaultKind] = Counter()
        self.log = FaultLog()
        proxies = ProxyFaults(environment, self._rng, self.log)
        backends = BackendFaults(environment, self._rng, self.log)
        discovery = DiscoveryFaults(environment, self._rng, self.log)
        self._faults: dict[FaultKind, Callable[[], Awaitable[None]]] = {
            FaultKind.DRAIN: backends.drain,
            FaultKind.HANG: backends.hang,
            FaultKind.PAUSE: proxies.pause,
            FaultKind.IDLE_CLIENTS: proxies.open_idle_connections,
            FaultKind.KILL: proxies.kill,
            FaultKind.RELOAD: proxies.reload,
            FaultKind.RESET_WATCHES: discovery.reset_watches,
            FaultKind.SILENCE: discovery.silence,
            FaultKind.TERMINATE: proxies.terminate,
            FaultKind.BURST: proxies.send_burst,
            FaultKind.CROWD: partial(discovery.crowd, partial(backends.drain, LONG_DRAIN_TIMES)),
        }

    async def run(self, until: float) -> None:
        """Start faults until `SETTLING_TIME` before the end of the run, and wait until all have ended.

        Args:
            until: The end of the run on the monotonic clock.
        """
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until - SETTLING_TIME:
                await asyncio.sleep(self._rng.expovariate(1.0 / MEAN_INTERVAL))
                kind = self._rng.choice(self._kinds)
                self.counts[kind] += 1
                group.create_task(self._inject(kind))

    async def _inject(self, kind: FaultKind) -> None:
        self.log.write(f"{kind} begins")
        await self._faults[kind]()
        self.log.write(f"{kind} ends")
