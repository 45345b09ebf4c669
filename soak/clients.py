"""All clients of a run: starts requests at random times, and simulates idle and stalled clients.

`client_requests` and `client_pipeline` send the requests.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from soak.client_burst import ClientBurst
from soak.client_pipeline import perform_pipeline
from soak.client_pool import ClientConnectionPool
from soak.client_requests import RequestExchange
from soak.history import Request, RetrySafety, StalledClient
from soak.request_encoding import encode_request
from soak.stalled_connection import wait_for_response_or_close
from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from soak.client_mix import ClientMix
    from soak.history import History
    from soak.proxy_fleet import ProxyFleet

#: Probability that a client uses an open connection to a proxy that shuts down: clients do so
#: until SIGKILL.
SHUTDOWN_PROBABILITY = 0.3


class Clients:
    """All clients of a run."""

    def __init__(self, fleet: ProxyFleet, history: History, mix: ClientMix, seed: int) -> None:
        self._fleet, self._history, self._mix = fleet, history, mix
        self._rng = random.Random(seed)
        self._connections = ClientConnectionPool(fleet)
        self._exchange = RequestExchange(fleet, self._connections, history, mix, self._rng)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, until: float) -> None:
        """Send requests until a time on the monotonic clock, and wait until all of them have ended."""
        arrives_at = time.monotonic()
        while (arrives_at := arrives_at + self._rng.expovariate(self._mix.rate)) < until:
            await asyncio.sleep(max(0.0, arrives_at - time.monotonic()))
            self._spawn(self._act())
        await asyncio.gather(*self._tasks)
        self._connections.close()

    async def open_idle_connections(self, proxy: int, count: int, until: float) -> None:
        """Open connections to a proxy, send nothing, and close them at a time on the monotonic clock.

        Args:
            proxy: The number of the proxy.
            count: The number of connections.
            until: When they are closed.
        """
        writers = []
        for _ in range(count):
            try:
                _, writer = await asyncio.open_connection(HOST, self._fleet[proxy].port)
            except OSError:
                break
            writers.append(writer)
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        for writer in writers:
            writer.close()

    async def send_burst(self, proxy: int, rng: random.Random) -> None:
        """Send a burst of slow clients to a proxy, and wait until the proxy has ended their connections."""
        await ClientBurst(proxy, self._fleet[proxy].port, self._history, rng).run()

    def _spawn(self, action: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _act(self) -> None:
        """Perform one client's action, chosen at random with the probabilities of the mix."""
        proxy = self._pick_proxy()
        if proxy is None:
            return
        draw = self._rng.random()
        if draw < self._mix.stall_probability:
            await self._stall(proxy)
        elif draw < self._mix.stall_probability + self._mix.pipeline_probability:
            await perform_pipeline(self._exchange, proxy)
        else:
            await self._exchange.perform(self._exchange.create(proxy))

    def _pick_proxy(self) -> int | None:
        """Return the number of a random proxy that accepts connections, or to which one is still open."""
        if self._rng.random() < SHUTDOWN_PROBABILITY:
            shutting_down = self._connections.proxies_that_shut_down()
            if shutting_down:
                return self._rng.choice(shutting_down)
        return self._fleet.pick(self._rng)

    async def _stall(self, proxy: int) -> None:
        """Send an incomplete request on a new connection, and wait for an error or a close."""
        if not self._fleet[proxy].accepts_connections():
            return
        request = Request("stalled", RetrySafety.IDEMPOTENT, proxy, timeout=1.0)
        data = encode_request(request, closes=False)
        try:
            reader, writer = await asyncio.open_connection(HOST, self._fleet[proxy].port)
            writer.write(data[: self._rng.randrange(1, len(data))])
            await writer.drain()
        except OSError:
            return
        stopped_at = time.monotonic()
        ended_at = await wait_for_response_or_close(reader)
        writer.close()
        self._history.stalled_clients.append(StalledClient(proxy, stopped_at, ended_at))
