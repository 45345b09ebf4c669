"""Builds one proxy: creates its components and connects them.

It owns the components, and whether the endpoint list is loaded. The module of each component describes what
it does.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balancer.balancer import Balancer
from balancer.endpoints import UpdateKind
from balancer.settings import DiscoveryMode
from proxy.abandoned_ids import max_abandoned_ids
from proxy.clock import EpochClock
from proxy.discovery.endpoint_reader import DiscoveredEndpoint, EndpointReader
from proxy.discovery.logged_events import EndpointsUpdated
from proxy.discovery.watch import DiscoveryClient
from proxy.dispatch_context import DispatchContext
from proxy.dispatcher import Dispatcher
from proxy.downstream.listener import Listener
from proxy.endpoint_table import EndpointTable
from proxy.event_log import EventLog
from proxy.invariants import InvariantMonitor
from proxy.logged_events import Started
from proxy.memory_budget import MemoryBudget, budget_limit
from proxy.reload import ConfigReloader, ReloadTargets
from proxy.shutdown import GracefulShutdown
from proxy.upstream import ConnectionPool

if TYPE_CHECKING:
    from proxy.config import Config

#: File descriptors reserved for the listener, discovery, the event loop, and client connections above the
#: limit.
RESERVED_SOCKETS = 48

MIN_SOCKETS = 8  # file descriptors for connections, even if the configuration allows fewer
CLIENT_SOCKET_FRACTION = 0.5  # the fraction of the unreserved file descriptors for client connections
CACHED_LIST_DELAY = 0.3  # seconds to wait for discovery's list before serving with the cached one

#: Seconds after the start from which the proxy reports that it is ready even without any list. By then, a
#: list that discovery had at the start would count as delivered.
EMPTY_LIST_DELAY = 6.0


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """The largest number of connections on each side of the proxy.

    Attributes:
        clients: The limit on connections from clients.
        backends: The limit on connections to backends.
    """

    clients: int
    backends: int


def connection_limits(max_sockets: int) -> ConnectionLimits:
    """Divide the file descriptors of a process between connections from clients and to backends."""
    available = max(MIN_SOCKETS, max_sockets - RESERVED_SOCKETS)
    clients = int(CLIENT_SOCKET_FRACTION * available)
    return ConnectionLimits(clients=clients, backends=available - clients)


class Proxy:
    """One running proxy: the balancer between clients, backends and discovery.

    Attributes:
        clock: The balancer's clock.
        reader: Converts the entries of the endpoint list.
        balancer: Decides where requests are sent.
        memory: The limit on the bytes that are buffered for peers.
        pool: The connections to backends.
        endpoint_table: The backends of the endpoint list.
        discovery: The watch on discovery.
        dispatcher: Handles each request until its response.
        listener: The connections from clients.
        shutdown: The graceful shutdown.
        reloader: Applies new configurations.
        event_log: Receives the events of requests and connections; disabled unless the environment enables
            it.
        monitor: Counts violations of the invariants.
        endpoints_loaded: Set when the endpoint list has arrived, or when the wait for it has timed out.
    """

    def __init__(self, config: Config, event_log: EventLog | None = None) -> None:
        self.endpoints_loaded = asyncio.Event()
        self.event_log = event_log or EventLog()
        self.monitor = InvariantMonitor(self.event_log)
        self.clock = EpochClock(asyncio.get_running_loop())
        self.reader = EndpointReader(config.zone_indices, config.machine_type_indices)
        self.balancer = Balancer(self.reader.translate_settings(config), config.seed)
        limits = connection_limits(config.max_sockets)
        self._max_connections = limits.clients + limits.backends
        self.memory = MemoryBudget(budget_limit(config.memory_limit, resident=0, connections=0))
        self.pool = ConnectionPool(
            limits.backends, config.backend_idle_timeout, config.dial_timeout, self.memory
        )
        self.endpoint_table = EndpointTable(self.pool)
        cached_list = self.reader.read_list(config.cached_list)
        self.discovery = DiscoveryClient(
            config.discovery, self.reader, cached_list.index, self.on_update, self.event_log
        )
        self.dispatcher = Dispatcher(self._dispatch_context(config))
        self.listener = Listener(
            config, limits.clients, self.memory, self.dispatcher.on_request, self.monitor, self.event_log
        )
        self.shutdown = GracefulShutdown(self.listener, self.dispatcher)
        self.reloader = ConfigReloader(self._reload_targets(), self.shutdown.has_started)
        self._start(config, cached_list.endpoints)

    def limit_memory(self, resident: int) -> None:
        """Limit what is buffered for peers to the memory that the process does not use for itself.

        Args:
            resident: The memory in bytes that the process uses before it accepts connections.
        """
        self.memory.limit = budget_limit(self.listener.config.memory_limit, resident, self._max_connections)
        self.listener.memory.update_fair_share()
        self.event_log.record(
            Started(
                memory_limit=self.listener.config.memory_limit,
                resident=resident,
                memory_for_peers=self.memory.limit,
                fair_share=self.listener.memory.fair_share,
            )
        )

    def _dispatch_context(self, config: Config) -> DispatchContext:
        return DispatchContext(
            balancer=self.balancer,
            clock=self.clock,
            endpoint_table=self.endpoint_table,
            pool=self.pool,
            poll_endpoints=self.discovery.open,
            monitor=self.monitor,
            event_log=self.event_log,
            max_abandoned_ids=max_abandoned_ids(config.memory_limit),
        )

    def _reload_targets(self) -> ReloadTargets:
        return ReloadTargets(
            reader=self.reader,
            listener=self.listener,
            dispatcher=self.dispatcher,
            endpoint_table=self.endpoint_table,
            pool=self.pool,
            discovery=self.discovery,
        )

    def _start(self, config: Config, cached_endpoints: list[DiscoveredEndpoint]) -> None:
        """Start with the cached list of the configuration, and wait for a newer list from discovery."""
        loop = asyncio.get_running_loop()
        self._update_endpoints(UpdateKind.CACHED, cached_endpoints)
        self.dispatcher.start()
        if config.settings.discovery is DiscoveryMode.PUSHED:
            self.discovery.open()
        # If discovery is unavailable at the start, an old list is better than none. Without any list, the
        # proxy accepts connections after this delay but does not report that it is ready.
        on_list_delay = self._mark_loaded if cached_endpoints else self.endpoints_loaded.set
        loop.call_later(CACHED_LIST_DELAY, on_list_delay)
        # A tier may start without any list while discovery is down. Its proxies must be ready within 10 s.
        loop.call_later(EMPTY_LIST_DELAY, self._mark_loaded)

    def on_update(self, kind: UpdateKind, endpoints: list[DiscoveredEndpoint]) -> None:
        """Apply an update of the endpoint list; an empty delta only means that discovery is responding."""
        if endpoints or kind is not UpdateKind.DELTA:
            self._update_endpoints(kind, endpoints)
        self._mark_loaded()

    def _update_endpoints(self, kind: UpdateKind, endpoints: list[DiscoveredEndpoint]) -> None:
        if self.event_log.enabled:
            statuses = {str(each.address): each.endpoint.status.name for each in endpoints}
            self.event_log.record(EndpointsUpdated(kind=kind.name, endpoints=statuses))
        self.endpoint_table.update(kind, endpoints)
        self.endpoint_table.update_idle_quota(self.balancer.settings.fleet_size)
        self.dispatcher.on_endpoints_updated(kind, [discovered.endpoint for discovered in endpoints])

    def _mark_loaded(self) -> None:
        self.listener.mark_ready()
        self.endpoints_loaded.set()
