"""All proxies of a run, by number."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from soak.managed_proxy import LaunchOptions, ManagedProxy

if TYPE_CHECKING:
    import random

    from testbed.proxy_config import ProxyConfig


class ProxyFleet:
    """All proxies of a run."""

    def __init__(self, options: LaunchOptions) -> None:
        self._options = options
        self._proxies: list[ManagedProxy] = []

    def add(self, config: ProxyConfig) -> None:
        """Add a proxy without starting it."""
        self._proxies.append(ManagedProxy(len(self._proxies), config, self._options))

    def __len__(self) -> int:
        """Return the number of proxies."""
        return len(self._proxies)

    def __getitem__(self, number: int) -> ManagedProxy:
        """Return the proxy with a number."""
        return self._proxies[number]

    def pick(self, rng: random.Random) -> int | None:
        """Return the number of a random proxy that accepts connections; None if there is none."""
        accepting = [number for number, proxy in enumerate(self._proxies) if proxy.accepts_connections()]
        return rng.choice(accepting) if accepting else None

    async def start_all(self) -> None:
        """Start all proxies, and wait until each is ready or its start has timed out."""
        await asyncio.gather(*(proxy.start() for proxy in self._proxies))

    async def stop_all(self, kill_after: float) -> None:
        """Terminate all proxies, and kill those that have not ended after `kill_after` seconds."""
        await asyncio.gather(*(proxy.terminate(kill_after) for proxy in self._proxies))

    def reap(self) -> None:
        """Record the ends of processes that have exited without a signal of the run."""
        for proxy in self._proxies:
            proxy.reap()
