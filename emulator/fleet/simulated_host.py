"""A process that runs simulated proxies.

A run calls the methods of `SimulatedHost` by name from another process (`testbed.child_process`), so that
their arguments and results must be picklable.
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

FEEDING_INTERVAL = 0.02  # seconds between two batches of simulated requests
START_BATCH = 8  # watches that are opened together; with more, open watches wait longer than their timeout
LIST_TIMEOUT = 30.0  # seconds until a new watch must have received its endpoint list
POLL_INTERVAL = 0.1  # seconds between two checks of all proxies; each check costs processor time


@dataclass(slots=True, frozen=True)
class ProxyPlacement:
    """A proxy to start: the position of its backend in the topology, and the registry port to watch."""

    position: int
    port: int


@dataclass(slots=True, frozen=True)
class StartCost:
    """Cost of starting the proxies of one process.

    Attributes:
        processor_seconds: Processor time.
        added_memory: Resident memory that the start added to the process, in bytes.
        proxies: Number of proxies started.
        resident_memory: Resident memory of the process after the start, in bytes.
    """

    processor_seconds: float
    added_memory: int
    proxies: int
    resident_memory: int


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
        self._feeding_task: asyncio.Task[None] | None = None

    async def start_proxies(
        self,
        placements: list[ProxyPlacement],
        fleet_size: int | None = None,
        *,
        only_called_services: bool = False,
    ) -> StartCost:
        """Start proxies and wait for their endpoint lists; TimeoutError if one is later than `LIST_TIMEOUT`.

        Args:
            placements: The proxies.
            fleet_size: Number of proxies of the fleet in the settings; None: one for each backend.
            only_called_services: Whether a proxy sees only the backends that its service calls.
        """
        gc.collect()
        before = meter.own_usage()
        for first in range(0, len(placements), START_BATCH):
            batch = placements[first : first + START_BATCH]
            views = [
                self._called_backend_names(placement.position) if only_called_services else None
                for placement in batch
            ]
            proxies = [
                self._create_proxy(placement, fleet_size, view)
                for placement, view in zip(batch, views, strict=True)
            ]
            await self._start_batch(proxies)
        gc.collect()
        after = meter.own_usage()
        return StartCost(
            processor_seconds=after.processor - before.processor,
            added_memory=after.memory - before.memory,
            proxies=len(placements),
            resident_memory=after.memory,
        )

    def _called_backend_names(self, position: int) -> frozenset[str]:
        """Return the names of the backends of all services that a backend's service calls."""
        called_positions = self._topology.called_backends(self._topology.service_of[position])
        return frozenset(self._topology.entries[called]["name"] for called in called_positions)

    def _create_proxy(
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
                await proxy.list_received.wait()
        self.proxies += proxies

    def freeze(self) -> None:
        """Exempt all current objects from garbage collection, as a real proxy does after its first list."""
        gc.collect()
        gc.freeze()

    async def wait_until_applied(self, latest_versions: dict[str, int], max_wait: float) -> bool:
        """Wait until all proxies have applied the latest versions, which are given by backend name.

        Returns:
            False if a proxy has not applied them after `max_wait` seconds.
        """
        return await self._wait_for_all(lambda proxy: not proxy.is_behind(latest_versions), max_wait)

    async def wait_for_snapshots(self, count: int, max_wait: float) -> bool:
        """Wait until every proxy has applied `count` snapshots; return False after `max_wait` seconds."""
        return await self._wait_for_all(lambda proxy: proxy.snapshots >= count, max_wait)

    async def _wait_for_all(self, condition: Callable[[SimulatedProxy], bool], max_wait: float) -> bool:
        deadline = time.monotonic() + max_wait
        while not all(condition(proxy) for proxy in self.proxies):
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(POLL_INTERVAL)
        return True

    def set_request_rate(self, rate: float) -> None:
        """Simulate requests at each proxy at `rate` a second from now on; 0 stops them."""
        if self._feeding_task is not None:
            self._feeding_task.cancel()
            self._feeding_task = None
        if rate > 0.0:
            self._feeding_task = asyncio.get_running_loop().create_task(self._feed_requests(rate))

    async def _feed_requests(self, rate: float) -> None:
        loop = asyncio.get_running_loop()
        started, fed_requests = loop.time(), 0
        while True:
            await asyncio.sleep(FEEDING_INTERVAL)
            due_requests = int((loop.time() - started) * rate)
            for proxy in self.proxies:
                for _ in range(due_requests - fed_requests):
                    proxy.simulate_request()
            fed_requests = due_requests

    def usage(self) -> meter.Usage:
        """Return the resource usage of this process."""
        return meter.own_usage()

    def worst_list_cost(self, started: float, ended: float, window: float = meter.MAX_RATE_WINDOW) -> float:
        """Return the most processor time that one proxy spent on list updates in any window, in seconds.

        Args:
            started: Start of the measured time on the monotonic clock.
            ended: End of the measured time.
            window: Length of a window in seconds.
        """
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
