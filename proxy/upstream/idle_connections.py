"""The idle connections to all backends: which one an attempt reuses, how many stay, when they are closed.

It owns the set of idle connections, the limits on it and the timer that closes those that are idle for too
long. It does not count the connections in use, and does not know attempts.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from proxy.upstream.backend import Backend
    from proxy.upstream.connection import UpstreamConnection

#: The fraction of the backends' own idle timeout after which the proxy closes connections, well before them.
IDLE_TIMEOUT_FRACTION = 0.5

SWEEPS_PER_IDLE_TIMEOUT = 4.0  # searches for long idle connections within the proxy's idle timeout
MAX_IDLE_PER_BACKEND = 2  # idle connections of this proxy to one backend
FLEET_IDLE_PER_BACKEND = 8.0  # those of all proxies together to one: a backend's connection table is finite
PEAK_HALF_LIFE = 10.0  # seconds in which the weight of the peak of connections in use halves


class IdleConnections:
    """Connections that carry no attempt, within limits on their number and age."""

    def __init__(self, backend_idle_timeout: float) -> None:
        """Start the timer that closes connections.

        Args:
            backend_idle_timeout: Seconds after which backends close idle connections.
        """
        self._loop = asyncio.get_running_loop()
        self._all: dict[UpstreamConnection, None] = {}  # the one that has been idle for longest first
        #: For each backend, the most recently used one last.
        self._by_backend: defaultdict[Backend, list[UpstreamConnection]] = defaultdict(list)
        self._quota = inf  # connections: this proxy's part of what all proxies together may keep idle
        self._peak_in_use = 0.0  # the recent peak of connections in use at once, all of which may stay idle
        self._peak_updated_at = self._loop.time()  # when that peak last decayed
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.set_backend_idle_timeout(backend_idle_timeout)

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._all)

    # ---- settings and the endpoint list --------------------------------------------------------

    def set_backend_idle_timeout(self, backend_idle_timeout: float) -> None:
        """Set the seconds after which backends close idle connections."""
        self._max_idle_time = IDLE_TIMEOUT_FRACTION * backend_idle_timeout
        self._sweep()

    def set_quota(self, backends: int, proxies: int) -> None:
        """Limit idle connections to this proxy's part of what these proxies may keep to these backends."""
        self._quota = FLEET_IDLE_PER_BACKEND * backends / max(1, proxies)

    # ---- reuse ---------------------------------------------------------------------------------

    def checkout(
        self, backend: Backend, now: float, *, max_idle_time: float, reuse_delay: float, retryable: bool
    ) -> UpstreamConnection | None:
        """Remove and return the connection to a backend that an attempt should reuse.

        That is the most recently used one whose reuse delay is over, or else the one whose delay ends first.
        Connections that are found unusable on the way are closed.

        Args:
            backend: The backend.
            now: The event loop's time.
            max_idle_time: Seconds for which a connection may have been idle.
            reuse_delay: Seconds that have to pass between a response and the next request on a connection.
            retryable: Whether the attempt can be retried.
        """
        idle = self._by_backend.get(backend)
        if not idle:
            return None
        oldest = now - max_idle_time
        cooling_down: UpstreamConnection | None = None
        for connection in reversed(idle.copy()):
            recent = connection.idle_since >= oldest
            if not recent and not retryable:
                break  # retryable attempts may still use it
            if recent and now - connection.idle_since < reuse_delay:
                cooling_down = connection
                continue
            self.remove(connection)
            if recent and connection.is_usable():
                return connection
            connection.abort()
        if cooling_down is not None:
            self.remove(cooling_down)
        return cooling_down

    def add(self, connection: UpstreamConnection, established: int) -> None:
        """Keep a usable connection for the next attempt; others are closed where there are too many.

        Args:
            connection: The connection.
            established: The number of connections to all backends, this one included, idle or in use.
        """
        to_backend = self._by_backend[connection.backend]
        if len(to_backend) >= MAX_IDLE_PER_BACKEND:
            # Each connection costs a backend capacity. The oldest one is closed, as non-retryable attempts
            # may not use it, and would dial instead each time.
            self.close(to_backend[0])
        connection.idle_since = self._loop.time()
        self._update_peak_in_use(connection.idle_since, established - len(self._all))
        to_backend.append(connection)
        self._all[connection] = None
        # The idle connections of all proxies together must leave room in the backends' connection tables: a
        # full one rejects proxies that have no open connection, after a handshake, in favour of unused ones.
        while len(self._all) > max(self._peak_in_use, self._quota):
            self.close_oldest()

    def _update_peak_in_use(self, now: float, in_use: int) -> None:
        decayed_peak = self._peak_in_use * 0.5 ** ((now - self._peak_updated_at) / PEAK_HALF_LIFE)
        self._peak_in_use = max(in_use, decayed_peak)
        self._peak_updated_at = now

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection, if it is idle, without closing it."""
        if connection in self._all:
            del self._all[connection]
            self._by_backend[connection.backend].remove(connection)

    # ---- closing -------------------------------------------------------------------------------

    def close(self, connection: UpstreamConnection) -> None:
        """Remove a connection and close it."""
        self.remove(connection)
        connection.abort()

    def close_oldest(self) -> None:
        """Close the connection that has been idle for longest; there must be one."""
        self.close(next(iter(self._all)))

    def close_all_to(self, backend: Backend) -> None:
        """Close all idle connections to a backend."""
        for connection in tuple(self._by_backend.get(backend, ())):
            self.close(connection)
        self._by_backend.pop(backend, None)  # backends that are removed from the list must not accumulate

    def _sweep(self) -> None:
        """Close long idle connections: a request that crosses the backend's own close is lost."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        delay = self._max_idle_time / SWEEPS_PER_IDLE_TIMEOUT
        self._sweep_timer = self._loop.call_later(delay, self._sweep)
        latest = self._loop.time() - self._max_idle_time
        for connection in tuple(self._all):
            if connection.idle_since > latest:
                break
            self.close(connection)
