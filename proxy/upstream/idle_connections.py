"""The idle connections to all backends: which one is reused, how many are allowed, and when they are closed.

It owns the set of idle connections, its limits, and the timer that closes connections that were idle for too
long. It neither counts the connections in use nor handles attempts.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from proxy.upstream.backend import Backend
    from proxy.upstream.connection import UpstreamConnection

#: The fraction of the backends' idle timeout after which the proxy closes an idle connection. It is well
#: below 1 so that the proxy closes first: a request that is sent while the backend closes is lost.
IDLE_TIMEOUT_FRACTION = 0.5

SWEEPS_PER_IDLE_TIMEOUT = 4.0  # checks for expired idle connections per idle timeout of the proxy
MAX_IDLE_PER_BACKEND = 2  # idle connections of this proxy to one backend

#: Idle connections of all proxies together to one backend. They occupy entries of the backend's connection
#: table, which has a limited size.
MAX_FLEET_IDLE_PER_BACKEND = 8.0

PEAK_HALF_LIFE = 10.0  # seconds in which the recorded peak of connections in use decays by half


class IdleConnections:
    """The connections without an attempt, with limits on their number and their idle time."""

    def __init__(self, backend_idle_timeout: float) -> None:
        """Create an empty set, and start the timer that closes expired connections.

        Args:
            backend_idle_timeout: Seconds after which backends close idle connections.
        """
        self._loop = asyncio.get_running_loop()
        self._connections: dict[UpstreamConnection, None] = {}  # longest idle connection first
        #: The idle connections to each backend, the most recently used one last.
        self._by_backend: defaultdict[Backend, list[UpstreamConnection]] = defaultdict(list)
        self._quota = inf  # idle connections that this proxy may keep, as its share of the fleet's limit
        #: The recent peak of connections in use at the same time, which decays. As many may stay idle, even
        #: if this exceeds the quota.
        self._peak_in_use = 0.0
        self._peak_updated_at = self._loop.time()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.set_backend_idle_timeout(backend_idle_timeout)

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._connections)

    # ---- settings and the endpoint list --------------------------------------------------------

    def set_backend_idle_timeout(self, backend_idle_timeout: float) -> None:
        """Set the seconds after which backends close idle connections."""
        self._max_idle_time = IDLE_TIMEOUT_FRACTION * backend_idle_timeout
        self._sweep()

    def set_quota(self, backends: int, proxies: int) -> None:
        """Set this proxy's quota of idle connections, as its equal share of the fleet's limit.

        Args:
            backends: The number of backends.
            proxies: The number of proxies that connect to these backends.
        """
        self._quota = MAX_FLEET_IDLE_PER_BACKEND * backends / max(1, proxies)

    # ---- reuse ---------------------------------------------------------------------------------

    def checkout(
        self, backend: Backend, now: float, *, max_idle_time: float, reuse_delay: float, retryable: bool
    ) -> UpstreamConnection | None:
        """Remove and return the connection to a backend that an attempt should reuse; None if there is none.

        It is the most recently used connection whose reuse delay has passed, or otherwise the connection
        whose delay ends first. Unusable connections that the search encounters are closed.

        Args:
            backend: The backend.
            now: The event loop's time.
            max_idle_time: The longest idle time in seconds after which a connection may be reused.
            reuse_delay: The shortest time in seconds between a response and the next request on a connection.
            retryable: Whether the attempt can be retried.
        """
        idle = self._by_backend.get(backend)
        if not idle:
            return None
        earliest_idle_since = now - max_idle_time
        delayed: UpstreamConnection | None = None  # the last one found whose reuse delay has not passed
        for connection in reversed(idle.copy()):
            is_recent = connection.idle_since >= earliest_idle_since
            if not is_recent and not retryable:
                break  # not closed: a retryable attempt may still use it
            if is_recent and now - connection.idle_since < reuse_delay:
                delayed = connection
                continue
            self.remove(connection)
            if is_recent and connection.is_usable():
                return connection
            connection.abort()
        if delayed is not None:
            self.remove(delayed)
        return delayed

    def add(self, connection: UpstreamConnection, established: int) -> None:
        """Store a usable connection for the next attempt, and close older ones that exceed a limit.

        Args:
            connection: The connection.
            established: The number of connections to all backends, idle or in use, including this one.
        """
        backend_idle = self._by_backend[connection.backend]
        if len(backend_idle) >= MAX_IDLE_PER_BACKEND:
            # Each connection takes capacity of the backend. The longest idle one is closed: non-retryable
            # attempts may not use it, so they would dial a new connection each time.
            self.close(backend_idle[0])
        connection.idle_since = self._loop.time()
        self._update_peak_in_use(connection.idle_since, established - len(self._connections))
        backend_idle.append(connection)
        self._connections[connection] = None
        # The idle connections of all proxies must leave free entries in the backends' connection tables. A
        # full table rejects, after a handshake, proxies without an open connection, while idle connections
        # occupy its entries.
        while len(self._connections) > max(self._peak_in_use, self._quota):
            self.close_oldest()

    def _update_peak_in_use(self, now: float, in_use: int) -> None:
        decayed_peak = self._peak_in_use * 0.5 ** ((now - self._peak_updated_at) / PEAK_HALF_LIFE)
        self._peak_in_use = max(in_use, decayed_peak)
        self._peak_updated_at = now

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection without closing it; does nothing if it is not idle."""
        if connection in self._connections:
            del self._connections[connection]
            self._by_backend[connection.backend].remove(connection)

    # ---- closing -------------------------------------------------------------------------------

    def close(self, connection: UpstreamConnection) -> None:
        """Remove a connection and close it."""
        self.remove(connection)
        connection.abort()

    def close_oldest(self) -> None:
        """Close the connection that has been idle for the longest time; there must be at least one."""
        self.close(next(iter(self._connections)))

    def close_all_to(self, backend: Backend) -> None:
        """Close all idle connections to a backend."""
        for connection in tuple(self._by_backend.get(backend, ())):
            self.close(connection)
        self._by_backend.pop(backend, None)  # otherwise removed backends would accumulate

    def _sweep(self) -> None:
        """Close expired connections, and restart the timer.

        A request that is sent while the backend closes an idle connection is lost.
        """
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        delay = self._max_idle_time / SWEEPS_PER_IDLE_TIMEOUT
        self._sweep_timer = self._loop.call_later(delay, self._sweep)
        expired_since = self._loop.time() - self._max_idle_time
        for connection in tuple(self._connections):
            if connection.idle_since > expired_since:
                break
            self.close(connection)
