"""The pool of connections to backends: finds a connection for each attempt, and limits their number.

It owns the dials in progress, the count of connections, and the resources that all connections share: the
read buffer and the keepalive policy. `IdleConnections` owns the idle connections,
`UpstreamAttempt` the timer and outcome of an attempt, and `UpstreamConnection` the bytes on a connection.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balancer.events import Outcome
from proxy.http_common import READ_BUFFER_BYTES
from proxy.upstream.connection import UpstreamConnection
from proxy.upstream.idle_connections import IdleConnections
from proxy.upstream.keepalive_policy import KeepalivePolicy

if TYPE_CHECKING:
    from proxy.address import Address
    from proxy.memory_budget import MemoryBudget
    from proxy.upstream.attempt import UpstreamAttempt
    from proxy.upstream.backend import Backend


class ConnectionPool:
    """Connections to backends, with a limit on their number.

    Attributes:
        read_buffer: The buffer into which all connections read; its bytes are parsed before the next read.
        response_memory: The limit on the bytes of incomplete responses, which clients' requests share.
        keepalive_policy: Limits the idle time after which connections are reused.
    """

    def __init__(
        self, max_connections: int, backend_idle_timeout: float, dial_timeout: float, memory: MemoryBudget
    ) -> None:
        """Prepare an empty pool.

        Args:
            max_connections: The largest number of connections, established ones and dials in progress.
            backend_idle_timeout: Seconds after which backends close idle connections.
            dial_timeout: Seconds after which a dial fails.
            memory: The limit on the bytes that are buffered for peers.
        """
        self._loop = asyncio.get_running_loop()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.response_memory = memory
        self.keepalive_policy = KeepalivePolicy(self._loop.time())
        self._max_connections = max_connections
        self._dial_timeout = dial_timeout
        self._dials_in_progress = 0
        self._established = 0  # number of established connections, idle or in use
        self._idle = IdleConnections(backend_idle_timeout)

    # ---- settings and the endpoint list --------------------------------------------------------

    def reconfigure(self, backend_idle_timeout: float, dial_timeout: float) -> None:
        """Apply new timeouts; dials in progress keep their previous timeout.

        Args:
            backend_idle_timeout: Seconds after which backends close idle connections.
            dial_timeout: Seconds after which a dial fails.
        """
        self._dial_timeout = dial_timeout
        self._idle.set_backend_idle_timeout(backend_idle_timeout)

    def set_idle_quota(self, backends: int, proxies: int) -> None:
        """Set this proxy's quota of idle connections.

        Args:
            backends: The number of backends.
            proxies: The number of proxies that connect to these backends.
        """
        self._idle.set_quota(backends, proxies)

    def update_backend(
        self, backend: Backend, address: Address, started_at: float, *, in_service: bool
    ) -> None:
        """Apply a backend's entry of the endpoint list."""
        # A request sent on a connection to a process or an address that no longer exists would be lost.
        if backend.is_replaced_by(address, started_at) or not in_service:
            self._idle.close_all_to(backend)
        backend.update(address, started_at, in_service=in_service)

    # ---- attempts ------------------------------------------------------------------------------

    def start(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt on an idle or new connection; its callbacks report the outcome later."""
        attempt.start_timer()
        now = self._loop.time()
        policy = self.keepalive_policy
        reuse_delay = policy.reuse_delay(now)
        connection = self._idle.checkout(
            attempt.backend,
            now,
            max_idle_time=policy.max_idle_time(now, retryable=attempt.retryable),
            reuse_delay=reuse_delay,
            retryable=attempt.retryable,
        )
        if connection is None:
            self._start_dial(attempt)
        elif now - connection.idle_since < reuse_delay:
            reuse = self._reuse_after_delay(attempt, connection, connection.idle_since + reuse_delay)
            attempt.connect_task = task = self._loop.create_task(reuse)
            # A done callback is needed: a task that is cancelled before its first step runs none of its code.
            task.add_done_callback(lambda ended: self.on_idle(connection) if ended.cancelled() else None)
        else:
            connection.mark_reused(now)
            self._send(attempt, connection)

    async def _reuse_after_delay(
        self, attempt: UpstreamAttempt, connection: UpstreamConnection, reusable_at: float
    ) -> None:
        """Wait for the end of a connection's reuse delay, then send on it, or on a new one if it is unusable.

        Without the delay, a late second response would be parsed as the response to the next request. The
        wait is shorter than a handshake for a new connection.
        """
        await asyncio.sleep(reusable_at - self._loop.time())
        attempt.connect_task = None
        if connection.is_usable():
            connection.mark_reused(self._loop.time())
            self._send(attempt, connection)
        else:
            connection.abort()
            self._start_dial(attempt)

    def _start_dial(self, attempt: UpstreamAttempt) -> None:
        """Dial a connection for an attempt; at the limit, close an idle one or fail the attempt."""
        if self._dials_in_progress + self._established >= self._max_connections:
            if not self._idle:  # the attempt was never sent, so its request may be retried elsewhere
                self._loop.call_soon(attempt.finish, Outcome.UNREACHABLE)
                return
            self._idle.close_oldest()
        attempt.connect_task = self._loop.create_task(self._dial(attempt))

    async def _dial(self, attempt: UpstreamAttempt) -> None:
        """Establish a connection for an attempt, and send the attempt on it."""
        backend, incarnation = attempt.backend, attempt.backend.incarnation
        self._dials_in_progress += 1
        try:
            async with asyncio.timeout(self._dial_timeout):
                _, connection = await self._loop.create_connection(
                    lambda: UpstreamConnection(self, backend, incarnation), *backend.address
                )
        except OSError:  # a connect error such as ECONNREFUSED, a timeout, or no file descriptor is left
            attempt.connect_task = None
            attempt.finish(Outcome.UNREACHABLE)
            return
        finally:
            self._dials_in_progress -= 1
        attempt.connect_task = None
        self._send(attempt, connection)

    def _send(self, attempt: UpstreamAttempt, connection: UpstreamConnection) -> None:
        """Write the request, if the attempt may still be sent."""
        # The state may have changed while the attempt waited for its connection. The pool checks the
        # deadline, the backend's status and its incarnation; the balancer checks everything else.
        time_left = attempt.deadline - self._loop.time()
        backend = attempt.backend
        is_stale = time_left <= 0.0 or not backend.in_service or connection.incarnation != backend.incarnation
        if attempt.finished or is_stale or attempt.callbacks.send_rejection() is not None:
            self.on_idle(connection)
            self._loop.call_soon(attempt.finish, Outcome.NOT_SENT)
            return
        if not connection.is_usable():
            connection.abort()
            attempt.finish(Outcome.UNREACHABLE)
            return
        attempt.written_at = self._loop.time()
        connection.send(attempt, attempt.callbacks.build_request(time_left))
        attempt.callbacks.on_written(attempt, time_left)

    # ---- callbacks of connections --------------------------------------------------------------

    def now(self) -> float:
        """Return the event loop's time."""
        return self._loop.time()

    def on_connected(self) -> None:
        """Count a connection that has been established."""
        self._established += 1

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Store a connection without an attempt for reuse, or close it if it is not usable."""
        if connection.backend.in_service and connection.is_usable():
            self._idle.add(connection, self._established)
        else:
            connection.abort()

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has been closed or lost."""
        self._established -= 1
        self._idle.remove(connection)
