"""Faults of backends and discovery: backends drain or hang, and discovery fails."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from soak.environment import TestEnvironment
    from soak.fault_log import FaultLog

DRAIN_TIMES = (0.1, 3.0)  # shortest and longest time in seconds from a drain to the return to service
LONG_DRAIN_TIMES = (7.0, 8.0)  # the same for a drain during a crowd, which a proxy may learn of after 6 s
CROWD_WAITS = (2.6, 3.2)  # shortest and longest time in seconds for which a call to discovery waits
HANG_TIMES = (0.2, 2.5)  # shortest and longest time in seconds for which a backend hangs
SILENCE_TIMES = (0.5, 4.0)  # shortest and longest time in seconds for which discovery is silent
MIN_IN_SERVICE = 4  # backends that are always in service
FORGET_LOG_PROBABILITY = 0.5  # probability that watches receive the complete list after a reset


class BackendFaults:
    """Injects faults into backends."""

    def __init__(self, environment: TestEnvironment, rng: random.Random, log: FaultLog) -> None:
        self._environment, self._rng, self._log = environment, rng, log

    async def drain(self, times: tuple[float, float] = DRAIN_TIMES) -> None:
        """Drain a backend, restart it on a new port, and return it to service under its name.

        Args:
            times: The shortest and longest time in seconds for which it drains.
        """
        name = self._pick_in_service()
        if name is None:
            return
        self._log.write(f"draining: {name}")
        self._environment.endpoints.drain(name)
        await asyncio.sleep(self._rng.uniform(*times))
        port = self._environment.backends.call("restart", name)
        self._log.write(f"in service: {name}")
        self._environment.endpoints.return_to_service(name, port)

    async def hang(self) -> None:
        """Make a backend accept requests without responding for a random time."""
        name = self._pick_in_service()
        if name is None:
            return
        self._environment.backends.call("set_hanging", name, hangs=True)
        await asyncio.sleep(self._rng.uniform(*HANG_TIMES))
        self._environment.backends.call("set_hanging", name, hangs=False)

    def _pick_in_service(self) -> str | None:
        """Return the name of a random backend in service; None if too few backends are in service."""
        names = self._environment.endpoints.names_in_service()
        return self._rng.choice(names) if len(names) > MIN_IN_SERVICE else None


class DiscoveryFaults:
    """Injects faults into discovery."""

    def __init__(self, environment: TestEnvironment, rng: random.Random, log: FaultLog) -> None:
        self._environment, self._rng, self._log = environment, rng, log
        self._is_crowded = False

    async def silence(self) -> None:
        """Make the discovery agents of some proxies silent for a random time."""
        proxies = range(len(self._environment.proxies))
        chosen = self._rng.sample(proxies, self._rng.randint(1, len(proxies)))
        self._log.write(f"discovery silent: {sorted(chosen)}")
        self._environment.endpoints.silence(chosen)
        await asyncio.sleep(self._rng.uniform(*SILENCE_TIMES))
        self._log.write(f"discovery reachable: {sorted(chosen)}")
        self._environment.endpoints.heal(chosen)

    async def crowd(self, meanwhile: Callable[[], Awaitable[None]]) -> None:
        """Let calls of some proxies to discovery wait for their turn, unless there is a crowd already.

        Args:
            meanwhile: What happens during the crowd; the crowd ends with it.
        """
        if self._is_crowded:
            return
        self._is_crowded = True
        proxies = range(len(self._environment.proxies))
        chosen = self._rng.sample(proxies, self._rng.randint(1, len(proxies)))
        wait = self._rng.uniform(*CROWD_WAITS)
        self._log.write(f"discovery crowded, {wait:.3f} s: {sorted(chosen)}")
        self._environment.endpoints.crowd(chosen, wait)
        await meanwhile()
        self._environment.endpoints.end_crowd(chosen)
        self._is_crowded = False

    async def reset_watches(self) -> None:
        """Reset all watches; at random, they receive the complete list when they are opened again."""
        forget_log = self._rng.random() < FORGET_LOG_PROBABILITY
        self._environment.endpoints.reset_watches(forget_log=forget_log)
