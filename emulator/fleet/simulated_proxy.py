"""A simulated proxy: the real balancer and the real watch, without clients and backends.

Requests are events that are passed to the balancer; nothing is sent to a backend. The handling of endpoint
updates is that of a real proxy: the socket, the parser, the endpoint reader and the balancer's list.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from balancer.balancer import Balancer
from balancer.endpoints import UpdateKind
from balancer.events import IncomingRequest, Outcome, StartAttempt
from balancer.settings_reader import read_settings
from emulator.fleet import topology
from emulator.measurement.propagation_delay import AppliedUpdate, Publications, propagation_delays
from proxy.address import Address
from proxy.discovery.endpoint_reader import DiscoveredEndpoint, EndpointReader
from proxy.discovery.watch import DiscoveryClient
from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from balancer.settings_reader import RawSettings
    from proxy.discovery.address_watcher import AddressWatcher
    from proxy.discovery.messages import EndpointListMessage
    from proxy.discovery.watch_connection import WatchConnection

BACKEND_LATENCY = 0.004  # seconds until a backend responds to a simulated request
CLASS_COUNT = 2  # request classes in the settings of the fleet


def endpoint_reader() -> EndpointReader:
    """Create a reader for the entries of a simulated fleet."""
    return EndpointReader(
        {name: number for number, name in enumerate(topology.ZONES)},
        {name: number for number, name in enumerate(topology.HOST_TYPES)},
    )


def simulate_request(balancer: Balancer, now: float, number: int) -> None:
    """Pass the events of one request to a balancer, from its arrival to its response."""
    request_id = str(number)
    actions = balancer.on_request(now, IncomingRequest(request_id, class_index=number % CLASS_COUNT))
    if any(isinstance(action, StartAttempt) for action in actions):
        balancer.on_attempt_finished(
            now + BACKEND_LATENCY, request_id, 0, Outcome.SUCCESS, BACKEND_LATENCY, last=True
        )


class MeteredDiscovery(DiscoveryClient):
    """The real discovery client, which also records each applied update and its processor time.

    Attributes:
        applied_updates: The applied messages in order.
        cost_by_second: Processor time in seconds for reading and applying entries, by full second of the
            monotonic clock.
    """

    def __init__(
        self,
        address: Address,
        reader: EndpointReader,
        on_update: Callable[[UpdateKind, list[DiscoveredEndpoint]], None],
    ) -> None:
        super().__init__(address, reader, 0, on_update)
        self.applied_updates: list[AppliedUpdate] = []
        self.cost_by_second: dict[int, float] = {}

    def on_message(
        self, watcher: AddressWatcher, watch: WatchConnection, message: EndpointListMessage | None
    ) -> None:
        """Handle one message of a watch; None is a heartbeat."""
        if message is None:
            super().on_message(watcher, watch, message)
            return
        started, previous_index = time.thread_time(), self.index
        super().on_message(watcher, watch, message)
        now = time.monotonic()
        self.applied_updates.append(AppliedUpdate(now, previous_index, self.index))
        second = int(now)
        cost = time.thread_time() - started
        self.cost_by_second[second] = self.cost_by_second.get(second, 0.0) + cost


class SimulatedProxy:
    """One proxy without clients and backends.

    Attributes:
        balancer: The proxy's balancer.
        view: Names of the backends that the proxy sees; None: all backends.
        list_received: Set after the first update has been applied.
        snapshots: Number of snapshots applied.
        discovery: The proxy's discovery client.
    """

    def __init__(
        self,
        settings: RawSettings,
        seed: int,
        port: int,
        reader: EndpointReader,
        view: frozenset[str] | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._loop, self._epoch = loop, time.time() - loop.time()
        self.balancer = Balancer(read_settings(settings), seed)
        self.view = view
        self.list_received = asyncio.Event()
        self.snapshots = 0
        self.discovery = MeteredDiscovery(Address(HOST, port), reader, self._on_update)
        self._request_count = 0

    def _now(self) -> float:
        return self._loop.time() + self._epoch

    def _on_update(self, kind: UpdateKind, endpoints: list[DiscoveredEndpoint]) -> None:
        if endpoints or kind is not UpdateKind.DELTA:
            self.balancer.on_endpoints_updated(
                self._now(), kind, [discovered.endpoint for discovered in endpoints]
            )
            self.snapshots += kind is UpdateKind.SNAPSHOT
        self.list_received.set()

    def simulate_request(self) -> None:
        """Pass the events of one request to the balancer."""
        self._request_count += 1
        simulate_request(self.balancer, self._now(), self._request_count)

    def is_behind(self, latest_versions: Mapping[str, int]) -> bool:
        """Whether the proxy has not applied the latest version of a backend that it sees.

        Args:
            latest_versions: The last version that changed a backend, by the backend's name.
        """
        names = latest_versions.keys() if self.view is None else self.view & latest_versions.keys()
        return self.discovery.index < max((latest_versions[name] for name in names), default=0)

    def propagation_delays(self, publications: Publications) -> dict[int, float]:
        """Return the delay in seconds until this proxy applied each version that is visible to it."""
        return propagation_delays(self.discovery.applied_updates, publications, self.view)

    def worst_list_cost(self, started: float, ended: float, window: float) -> float:
        """Return the most processor time spent on updates in any window between two times, in seconds."""
        costs = {
            second: cost
            for second, cost in self.discovery.cost_by_second.items()
            if started - 1.0 < second <= ended
        }
        return max(
            (
                sum(cost for second, cost in costs.items() if window_start <= second < window_start + window)
                for window_start in costs
            ),
            default=0.0,
        )
