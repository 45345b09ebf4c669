"""Faults of proxies: restarts, reloads, pauses, and idle connections of clients."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from soak.proxy_settings import DEADLINE, proxy_settings

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from soak.environment import TestEnvironment
    from soak.fault_log import FaultLog
    from soak.managed_proxy import ManagedProxy

#: After SIGTERM, a proxy has the longest deadline of its request classes plus this many seconds to end. Then
#: it receives SIGKILL.
KILL_DELAY = 0.7
MAX_COUNTED_DEADLINE = 3.0  # seconds; a longer deadline does not delay SIGKILL further
MAX_RESTARTING_FRACTION = 0.4  # of the proxies, at the same time
MAX_VERSION = 1000  # exclusive upper bound of the version label of a configuration file
RECONFIGURE_PROBABILITY = 0.3  # probability that a proxy is reconfigured during its restart
HANGUP_PROBABILITY = 0.5  # probability that a proxy receives SIGHUPs during its restart
HANGUPS = 20  # SIGHUPs during such a restart
MAX_HANGUP_INTERVAL = 0.4  # seconds between two of these SIGHUPs
MAX_RELOADS = 4  # reloads in quick succession
INVALID_RELOAD_PROBABILITY = 0.2  # probability that the file of a reload is invalid
KEYED_RETRIES_PROBABILITY = 0.5  # probability that reloaded settings allow retries with an idempotency key
CANCELLING_PROBABILITY = 0.8  # probability that reloaded settings allow attempts to be cancelled
RELOAD_INTERVALS = (0.0, 0.01, 0.1, 0.5)  # possible times in seconds between two reloads
PROXIES_PER_PAUSE = 3  # a pause affects at most one in this many proxies
PAUSE_TIMES = (0.05, 0.14)  # shortest and longest pause in seconds
IDLE_CONNECTIONS = 300  # connections that are opened to one proxy
IDLE_TIMES = (0.5, 3.0)  # shortest and longest time in seconds for which these connections stay open


class ProxyFaults:
    """Injects faults into proxies; restarts of the same proxy do not overlap."""

    def __init__(self, environment: TestEnvironment, rng: random.Random, log: FaultLog) -> None:
        self._environment, self._rng, self._log = environment, rng, log
        self._restarting: set[int] = set()
        self._in_burst: set[int] = set()

    def _pick_running(self) -> int | None:
        """Return the number of a random proxy that is not restarting; None if too many proxies restart."""
        count = len(self._environment.proxies)
        running = [number for number in range(count) if number not in self._restarting]
        if len(self._restarting) >= MAX_RESTARTING_FRACTION * count:
            return None
        return self._rng.choice(running)

    async def terminate(self) -> None:
        """Stop a proxy by SIGTERM, or by SIGKILL if SIGTERM takes too long, and start it again."""
        kill_after = min(DEADLINE, MAX_COUNTED_DEADLINE) + KILL_DELAY
        await self._restart(lambda proxy: proxy.terminate(kill_after))

    async def kill(self) -> None:
        """Stop a proxy by SIGKILL, and start it again."""
        await self._restart(lambda proxy: proxy.kill())

    async def _restart(self, stop: Callable[[ManagedProxy], Awaitable[None]]) -> None:
        """Stop a proxy by `stop` and start it again.

        At random, the proxy is reconfigured and receives SIGHUPs during the restart.
        """
        number = self._pick_running()
        if number is None:
            return
        proxy = self._environment.proxies[number]
        self._restarting.add(number)
        self._log.write(f"proxy {number} restarts")
        if self._rng.random() < RECONFIGURE_PROBABILITY:
            proxy.reconfigure(version=self._draw_version())
        restart = asyncio.create_task(self._stop_and_start(number, stop))
        if self._rng.random() < HANGUP_PROBABILITY:
            await self._send_hangups(proxy)
        await restart
        self._restarting.discard(number)

    async def _stop_and_start(self, number: int, stop: Callable[[ManagedProxy], Awaitable[None]]) -> None:
        proxy = self._environment.proxies[number]
        await stop(proxy)
        proxy.reconfigure(known=self._environment.endpoints.last_list_of(number))
        await proxy.start()

    async def _send_hangups(self, proxy: ManagedProxy) -> None:
        """Send SIGHUPs at random times, except when SIGHUP would end the process."""
        for _ in range(HANGUPS):
            await asyncio.sleep(self._rng.uniform(0.0, MAX_HANGUP_INTERVAL))
            if proxy.survives_hangup():
                proxy.signal(signal.SIGHUP)

    async def reload(self) -> None:
        """Reload a proxy several times in quick succession.

        At random, a configuration is invalid or names the other discovery agent.
        """
        number = self._pick_running()
        if number is None:
            return
        proxy = self._environment.proxies[number]
        self._log.write(f"proxy {number} reloads")
        for _ in range(self._rng.randint(1, MAX_RELOADS)):
            if self._rng.random() < INVALID_RELOAD_PROBABILITY:
                proxy.write_invalid_config()
            else:
                self._reconfigure(number)
            proxy.signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.choice(RELOAD_INTERVALS))
        proxy.write_config()

    def _reconfigure(self, number: int) -> None:
        """Write a configuration with random settings and one of the proxy's two discovery agents."""
        settings = proxy_settings(
            len(self._environment.proxies),
            number,
            allows_keyed_retries=self._rng.random() < KEYED_RETRIES_PROBABILITY,
            allows_cancelling=self._rng.random() < CANCELLING_PROBABILITY,
        )
        port = self._rng.choice(self._environment.discovery_ports[number])
        self._environment.proxies[number].reconfigure(
            settings=settings, discovery_port=port, version=self._draw_version()
        )

    def _draw_version(self) -> str:
        return str(self._rng.randrange(MAX_VERSION))

    async def pause(self) -> None:
        """Pause some random proxies for a short time each."""
        proxies = self._environment.proxies
        count = self._rng.randint(1, max(1, len(proxies) // PROXIES_PER_PAUSE))
        chosen = self._rng.sample(range(len(proxies)), count)
        self._log.write(f"paused: {sorted(chosen)}")
        durations = [self._rng.uniform(*PAUSE_TIMES) for _ in chosen]
        await asyncio.gather(
            *(proxies[number].pause(seconds) for number, seconds in zip(chosen, durations, strict=True))
        )

    async def open_idle_connections(self) -> None:
        """Open many connections to one proxy, send nothing, and close them after a random time."""
        number = self._pick_running()
        if number is not None:
            until = time.monotonic() + self._rng.uniform(*IDLE_TIMES)
            await self._environment.clients.open_idle_connections(number, IDLE_CONNECTIONS, until)

    async def send_burst(self) -> None:
        """Send a burst of slow clients to one proxy; one that has a burst gets no other."""
        free = [number for number in range(len(self._environment.proxies)) if number not in self._in_burst]
        number = self._rng.choice(free) if free else None
        if number is None or number in self._restarting:
            return
        self._in_burst.add(number)
        self._log.write(f"proxy {number} gets a burst")
        await self._environment.clients.send_burst(number, self._rng)
        self._in_burst.discard(number)
