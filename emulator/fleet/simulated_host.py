"""A process of simulated proxies.

It owns their start, the calls fed to them, the waits for them and the sums of what they measured. A run
calls its methods by name from another process (`testbed.child_process`), so arguments and results are
values that can be pickled.
"""

from __future__ import annotations

import asyncio
import gc
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from emulator.fleet import topology
from emulator.fleet.settings import proxy_settings
from emulator.fleet.simulated_proxy import SimulatedProxy, endpoint_reader
from emulator.measurement.propagation_delay import (
    DelayReport,
    Publications,
    new_delay_histogram,
    record_delay,
)
from testbed import meter

if TYPE_CHECKING:
    from collections.abc import Callable

FEEDING_INTERVAL = 0.02  # seconds between two feedings of calls
START_BATCH = 8  # watches that are opened together: more would keep the open ones waiting past their timeout
LIST_TIMEOUT = 30.0  # seconds in which a new watch has its list
POLL_INTERVAL = 0.1  # seconds between two checks of all proxies, which cost processor time themselves


@dataclass(slots=True, frozen=True)
class ProxyPlacement:
    """A proxy to start: the position of its backend in the topology, and the port that it watches."""

    position: int
    port: int


@dataclass(slots=True, frozen=True)
class StartCost:
    """What starting proxies added to their process.

    Attributes:
        processor: Processor time in seconds.
        memory: Resident memory in bytes.
        proxies: How many proxies were started.
        resident: Resident memory of the process afterwards in bytes.
    """

    processor: float
    memory: int
    proxies: int
    resident: int


class SimulatedHost:
    """The simulated proxies of one process.

    Attributes:
        proxies: The proxies, in the order in which they were started.
    """

    def __init__(self, seed: int, backends: int, services: int | None = None) -> None:
        self._topology = topology.build(seed, backends, services)
        self._seed = seed
        self._reader = endpoint_reader()
        self.proxies: list[SimulatedProxy] = []
        self._feeding: asyncio.Task[None] | None = None

    async def start_proxies(
        self, placements: list[ProxyPlacement], fleet_size: int | None = None, *, narrow_view: bool = False
    ) -> StartCost:
        """Start proxies and wait until they hold their lists.

        Args:
            placements: The proxies.
            fleet_size: Proxies of the fleet in all, by the settings; None: one for each backend.
            narrow_view: Whether their ports show only the backends of the services that each one calls.

        Raises:
            TimeoutError: A list does not arrive in time.
        """
        gc.collect()
        before = meter.own_usage()
        for first in range(0, len(placements), START_BATCH):
            batch = placements[first : first + START_BATCH]
            views = [self._called_names(each.position) if narrow_view else None for each in batch]
            await self._start_batch(
                [self._create(each, fleet_size, view) for each, view in zip(batch, views, strict=True)]
            )
        gc.collect()
        after = meter.own_usage()
        return StartCost(
            processor=after.processor - before.processor,
            memory=after.memory - before.memory,
            proxies=len(placements),
            resident=after.memory,
        )

    def _called_names(self, position: int) -> frozenset[str]:
        """Return the names of the backends that the service of a backend calls."""
        called = self._topology.called_backends(self._topology.service_of[position])
        return frozenset(self._topology.entries[backend]["name"] for backend in called)

    def _create(
        self, placement: ProxyPlacement, fleet_size: int | None, view: frozenset[str] | None
    ) -> SimulatedProxy:
        position = placement.position
        settings = proxy_settings(self._topology, position, fleet_size)
        return SimulatedProxy(settings, self._seed + position, placement.port, self._reader, view)

    async def _start_batch(self, proxies: list[SimulatedProxy]) -> None:
        for proxy in proxies:
            proxy.discovery.open()
        async with asyncio.timeout(LIST_TIMEOUT):
            for proxy in proxies:
                await proxy.has_list.wait()
        self.proxies += proxies

    def freeze(self) -> None:
        """Exempt all present objects from garbage collection, as the real proxy does once it has its list."""
        gc.collect()
        gc.freeze()

    async def wait_until_applied(self, latest: dict[str, int], max_wait: float) -> bool:
        """Wait until no proxy is behind the latest versions, by name; False after `max_wait` seconds."""
        return await self._wait_for_all(lambda proxy: not proxy.is_behind(latest), max_wait)

    async def wait_for_snapshots(self, count: int, max_wait: float) -> bool:
        """Wait until every proxy has had `count` complete lists; False after `max_wait` seconds."""
        return await self._wait_for_all(lambda proxy: proxy.snapshots >= count, max_wait)

    async def _wait_for_all(self, condition: Callable[[SimulatedProxy], bool], max_wait: float) -> bool:
        deadline = time.monotonic() + max_wait
        while not all(condition(proxy) for proxy in self.proxies):
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(POLL_INTERVAL)
        return True

    def set_call_rate(self, rate: float) -> None:
        """Feed each proxy calls at a rate a second from now on; 0: none."""
        if self._feeding is not None:
            self._feeding.cancel()
            self._feeding = None
        if rate > 0.0:
            self._feeding = asyncio.get_running_loop().create_task(self._feed_calls(rate))

    async def _feed_calls(self, rate: float) -> None:
        loop = asyncio.get_running_loop()
        started, fed = loop.time(), 0
        while True:
            await asyncio.sleep(FEEDING_INTERVAL)
            due = int((loop.time() - started) * rate)
            for proxy in self.proxies:
                for _ in range(due - fed):
                    proxy.call()
            fed = due

    def usage(self) -> meter.Usage:
        """Read what this process has spent."""
        return meter.own_usage()

    def worst_list_cost(self, started: float, ended: float, window: float = meter.WORST_WINDOW) -> float:
        """Return the most processor seconds that a proxy spent on lists in any `window` between two times."""
        costs = (proxy.worst_list_cost(started, ended, window) for proxy in self.proxies)
        return max(costs, default=0.0)

    def delay_report(self, publications: Publications) -> DelayReport:
        """Report the propagation delays of these publications at all proxies of this process."""
        histogram, longest, missing = new_delay_histogram(), dict.fromkeys(publications, 0.0), 0
        for proxy in self.proxies:
            delays = proxy.propagation_delays(publications)
            expected = sum(publication.is_visible_to(proxy.view) for publication in publications.values())
            missing += expected - len(delays)
            for version, delay in delays.items():
                record_delay(histogram, delay)
                longest[version] = max(longest[version], delay)
        return DelayReport(histogram.encode(), longest, missing)
