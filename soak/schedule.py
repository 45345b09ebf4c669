"""The troubles of a run: which begin when, drawn from a seed so that several overlap, and what each one does.

Owns the draw and the course of each trouble. The parts that it acts on belong to the run.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.world import DEADLINE, EndpointList, settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.clients import Clients
    from soak.proxies import ProxyFleet
    from testbed.child_process import ChildProcess

KILL_DELAY = 0.7  # seconds beyond the longest deadline at which SIGKILL comes after SIGTERM
MEAN_PAUSE = 0.25  # seconds between the begins of two troubles
SETTLING_TIME = 1.0  # seconds at a run's end in which no trouble begins
IDLE_CLIENTS = 300  # idle clients
MAX_HANG = 2.5  # seconds
MIN_IN_SERVICE = 4  # backends that stay in service
MAX_RESTARTING_SHARE = 0.4  # of the proxies


@dataclass(slots=True)
class World:
    """What troubles act on."""

    proxies: ProxyFleet
    backends: ChildProcess
    endpoints: EndpointList
    clients: Clients
    discovery_ports: list[tuple[int, int]]


class Troubles:
    """Draws troubles and lets them loose."""

    def __init__(self, world: World, seed: int, kinds: tuple[str, ...] = ()) -> None:
        self._world = world
        self._rng = random.Random(seed)
        self._busy: set[int] = set()  # proxies that end or start just now
        self.counts: dict[str, int] = {}
        self.lines: list[str] = []
        available: dict[str, Callable[[], Awaitable[None]]] = {
            "terminate": self._terminate,
            "kill": self._kill,
            "reload": self._reload,
            "hold_up": self._hold_up,
            "drain": self._drain,
            "hang": self._hang,
            "silence": self._silence,
            "reset_watches": self._reset_watches,
            "idle_clients": self._idle_clients,
        }
        self._kinds = {name: available[name] for name in kinds or available}

    async def run(self, until: float) -> None:
        """Begin troubles until shortly before a moment, and wait for the last one to end."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until - SETTLING_TIME:
                await asyncio.sleep(self._rng.expovariate(1.0 / MEAN_PAUSE))
                name = self._rng.choice(sorted(self._kinds))
                self.counts[name] = self.counts.get(name, 0) + 1
                group.create_task(self._begin(name))

    async def _begin(self, name: str) -> None:
        self._note(f"{name} begins")
        await self._kinds[name]()
        self._note(f"{name} ends")

    def _note(self, text: str) -> None:
        """Keep a line on what happens, for whoever traces a violation."""
        self.lines.append(f"{time.monotonic():.3f} {text}")

    def _free_proxy(self) -> int | None:
        """Return a proxy that neither ends nor starts, unless too many do already."""
        count = len(self._world.proxies)
        free = [proxy for proxy in range(count) if proxy not in self._busy]
        if len(self._busy) >= MAX_RESTARTING_SHARE * count:
            return None
        return self._rng.choice(free)

    async def _restart(self, kill_after: float | None) -> None:
        proxy = self._free_proxy()
        if proxy is None:
            return
        self._busy.add(proxy)
        self._note(f"proxy {proxy} ends and starts")
        if self._rng.random() < 0.3:  # another configuration goes out just then
            self._world.proxies.reconfigure(proxy, version=str(self._rng.randrange(1000)))
        starting = asyncio.create_task(self._end_and_start(proxy, kill_after))
        if self._rng.random() < 0.5:
            for _ in range(20):
                await asyncio.sleep(self._rng.uniform(0.0, 0.4))
                if self._world.proxies.survives_hangup(proxy):
                    self._world.proxies.signal(proxy, signal.SIGHUP)
        await starting
        self._busy.discard(proxy)

    async def _end_and_start(self, proxy: int, kill_after: float | None) -> None:
        await self._world.proxies.stop(proxy, kill_after)
        self._world.proxies.reconfigure(proxy, known=self._world.endpoints.known_to(proxy))
        await self._world.proxies.start(proxy)

    async def _terminate(self) -> None:
        await self._restart(min(DEADLINE, 3.0) + KILL_DELAY)

    async def _kill(self) -> None:
        await self._restart(None)

    async def _reload(self) -> None:
        """Send new configurations in quick succession, bad ones among them, and other places of discovery."""
        proxy, rng, proxies = self._free_proxy(), self._rng, self._world.proxies
        if proxy is None:
            return
        self._note(f"proxy {proxy} reloads")
        for _ in range(rng.randint(1, 4)):
            if rng.random() < 0.2:
                proxies.spoil_config(proxy)
            else:
                changed = settings(len(proxies), proxy, rng.random() < 0.5, rng.random() < 0.8)
                port = rng.choice(self._world.discovery_ports[proxy])
                proxies.reconfigure(
                    proxy, settings=changed, discovery_port=port, version=str(rng.randrange(1000))
                )
            proxies.signal(proxy, signal.SIGHUP)
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.1, 0.5)))
        proxies.repair_config(proxy)

    async def _hold_up(self) -> None:
        """Stop some processes for a moment each."""
        count = self._rng.randint(1, max(1, len(self._world.proxies) // 3))
        chosen = self._rng.sample(range(len(self._world.proxies)), count)
        self._note(f"held up: {sorted(chosen)}")
        delays = [self._rng.uniform(0.05, 0.14) for _ in chosen]
        pairs = zip(chosen, delays, strict=True)
        await asyncio.gather(*(self._world.proxies.hold_up(proxy, seconds) for proxy, seconds in pairs))

    async def _drain(self) -> None:
        """Let a backend drain, and come back under its name as another process."""
        name = self._backend_in_service()
        if name is None:
            return
        self._note(f"drains: {name}")
        self._world.endpoints.drain(name)
        await asyncio.sleep(self._rng.uniform(0.1, 3.0))
        port = self._world.backends.call("restart", name)
        self._note(f"in service: {name}")
        self._world.endpoints.return_to_service(name, port)

    async def _hang(self) -> None:
        """Let a backend answer nothing for a while."""
        name = self._backend_in_service()
        if name is None:
            return
        self._world.backends.call("set_hanging", name, True)
        await asyncio.sleep(self._rng.uniform(0.2, MAX_HANG))
        self._world.backends.call("set_hanging", name, False)

    def _backend_in_service(self) -> str | None:
        names = self._world.endpoints.names()
        return self._rng.choice(names) if len(names) > MIN_IN_SERVICE else None

    async def _silence(self) -> None:
        """Let discovery say nothing to some proxies."""
        count = self._rng.randint(1, len(self._world.proxies))
        chosen = self._rng.sample(range(len(self._world.proxies)), count)
        self._note(f"silent: {sorted(chosen)}")
        self._world.endpoints.silence(chosen)
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        self._note(f"heard again: {sorted(chosen)}")
        self._world.endpoints.heal(chosen)

    async def _reset_watches(self) -> None:
        self._world.endpoints.reset_watches(self._rng.random() < 0.5)

    async def _idle_clients(self) -> None:
        """Let idle clients hold connections to one proxy."""
        proxy = self._free_proxy()
        if proxy is not None:
            until = time.monotonic() + self._rng.uniform(0.5, 3.0)
            await self._world.clients.hold_idle(proxy, IDLE_CLIENTS, until)
