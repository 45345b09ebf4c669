"""All connections to backends: how many there may be, which of them are idle, dialled and reused.

It owns the number of connections, the set of idle ones with the timer that closes old ones, and what all of
them share: a read buffer, the memory budget and the keepalive policy. It does not own an attempt's timer,
outcome and connection (`UpstreamAttempt` does), nor what comes on a connection (`UpstreamConnection`).
"""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from balancer.events import Outcome
from proxy.http_common import READ_BUFFER_BYTES
from proxy.upstream.connection import UpstreamConnection
from proxy.upstream.keepalive_policy import KeepalivePolicy
from proxy.upstream.memory_budget import MemoryBudget

if TYPE_CHECKING:
    from proxy.config import Address
    from proxy.upstream.attempt import UpstreamAttempt
    from proxy.upstream.backend import Backend

#: The part of the memory limit for responses that are not complete: many large ones could fill it.
RESPONSE_MEMORY_FRACTION = 0.125

#: The part of the time after which backends close idle connections: ours are closed well before.
IDLE_TIMEOUT_FRACTION = 0.5

MAX_IDLE_PER_BACKEND = 2  # idle connections that this proxy keeps to one backend
FLEET_IDLE_PER_BACKEND = 8.0  # those that all proxies together keep to one: its connection table is finite
PEAK_HALF_LIFE = 10.0  # seconds after which the peak of connections in use counts half


class ConnectionPool:
    """Connections to backends, within a limit on their number.

    Attributes:
        read_buffer: What comes on any connection is read into it, and parsed before the next is read.
        response_memory: The bytes of responses that are not complete.
        keepalive_policy: How long idle connections may be reused.
    """

    def __init__(
        self, max_connections: int, backend_idle_timeout: float, dial_timeout: float, memory_limit: int
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.response_memory = MemoryBudget(int(RESPONSE_MEMORY_FRACTION * memory_limit))
        self.keepalive_policy = KeepalivePolicy(self._loop.time())
        self._max_connections = max_connections
        self._dialling = 0
        self._connected = 0
        self._idle: dict[UpstreamConnection, None] = {}  # the longest idle one first
        self._idle_quota = inf  # how many of them there may be, of what all proxies together may keep
        self._peak_in_use = 0.0  # the most connections in use at once of late, which may all stay idle
        self._peak_updated_at = self._loop.time()  # when that was last decayed
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.reconfigure(backend_idle_timeout, dial_timeout)

    # ---- settings and the endpoint list --------------------------------------------------------

    def reconfigure(self, backend_idle_timeout: float, dial_timeout: float) -> None:
        """Set the seconds after which backends close idle connections, and after which dials are given up.

        Dials that have begun keep their time.
        """
        self._max_idle_time = IDLE_TIMEOUT_FRACTION * backend_idle_timeout
        self._dial_timeout = dial_timeout
        self._sweep()

    def set_idle_quota(self, backends: int, proxies: int) -> None:
        """Limit idle connections to this proxy's part of what these proxies may keep to these backends."""
        self._idle_quota = FLEET_IDLE_PER_BACKEND * backends / max(1, proxies)

    def update_backend(self, backend: Backend, address: Address, started_at: float, in_service: bool) -> None:
        """Take over what the endpoint list says of a backend now."""
        # A request on an idle connection to a process or an address that is no more would be lost.
        if backend.is_replaced_by(address, started_at) or not in_service:
            for connection in tuple(backend.idle_connections):
                self._close_idle(connection)
        backend.update(address, started_at, in_service)

    # ---- attempts ------------------------------------------------------------------------------

    def start(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt, on an idle connection or a new one; its outcome is reported later."""
        attempt.start_timer()
        now = self._loop.time()
        rest_time = self.keepalive_policy.rest_time(now)
        connection = self._take_idle(attempt, now, rest_time)
        if connection is None:
            self._start_dial(attempt)
        elif now - connection.idle_since < rest_time:
            rested_at = connection.idle_since + rest_time
            reuse = self._reuse_after_rest(attempt, connection, rested_at)
            attempt.connect_task = task = self._loop.create_task(reuse)
            # The task may be cancelled before its first step: no code of its own runs then.
            task.add_done_callback(lambda ended: self.release(connection) if ended.cancelled() else None)
        else:
            connection.mark_reused(now)
            self._send(attempt, connection)

    def _take_idle(self, attempt: UpstreamAttempt, now: float, rest_time: float) -> UpstreamConnection | None:
        """Take the backend's most recently used connection that has rested, else the one that rested longest.

        Those that it meets on the way and that can not be used any more are closed.
        """
        idle = attempt.backend.idle_connections
        oldest = now - self.keepalive_policy.max_idle_time(now, attempt.retryable)
        resting: UpstreamConnection | None = None
        for connection in reversed(idle.copy()):
            recent = connection.idle_since >= oldest
            if not recent and not attempt.retryable:
                break  # retryable attempts may still use it
            if recent and now - connection.idle_since < rest_time:
                resting = connection
                continue
            self._remove_idle(connection)
            if recent and connection.is_usable():
                return connection
            connection.abort()
        if resting is not None:
            self._remove_idle(resting)
        return resting

    async def _reuse_after_rest(
        self, attempt: UpstreamAttempt, connection: UpstreamConnection, rested_at: float
    ) -> None:
        """Let a connection that has just answered rest, then send on it, or on a new one.

        A second response that comes late would be taken for the next request's own. The rest is shorter than
        a handshake.
        """
        await asyncio.sleep(rested_at - self._loop.time())
        attempt.connect_task = None
        if connection.is_usable():
            connection.mark_reused(self._loop.time())
            self._send(attempt, connection)
        else:
            connection.abort()
            self._start_dial(attempt)

    def _start_dial(self, attempt: UpstreamAttempt) -> None:
        """Dial for an attempt, if the limit on connections allows it."""
        if self._dialling + self._connected >= self._max_connections:
            if not self._idle:  # the attempt never ran, so it may go elsewhere
                self._loop.call_soon(attempt.finish, Outcome.UNREACHABLE)
                return
            self._close_idle(next(iter(self._idle)))
        attempt.connect_task = self._loop.create_task(self._dial(attempt))

    async def _dial(self, attempt: UpstreamAttempt) -> None:
        """Open a connection for an attempt and send it there."""
        backend, incarnation = attempt.backend, attempt.backend.incarnation
        self._dialling += 1
        try:
            async with asyncio.timeout(self._dial_timeout):
                _, connection = await self._loop.create_connection(
                    lambda: UpstreamConnection(self, backend, incarnation), *backend.address
                )
        except OSError:  # refused, timed out, or no descriptor left
            attempt.connect_task = None
            attempt.finish(Outcome.UNREACHABLE)
            return
        finally:
            self._dialling -= 1
        attempt.connect_task = None
        self._send(attempt, connection)

    def _send(self, attempt: UpstreamAttempt, connection: UpstreamConnection) -> None:
        """Write the request, if the attempt may still go out."""
        # While the connection was dialled or rested, what allowed the attempt may have changed: the decisions
        # say whether it may still go. Whose connection this is, only the pool knows.
        time_left = attempt.deadline - self._loop.time()
        backend = attempt.backend
        stale = time_left <= 0.0 or not backend.in_service or connection.incarnation != backend.incarnation
        if attempt.finished or stale or attempt.send_rejection() is not None:
            self.release(connection)
            self._loop.call_soon(attempt.finish, Outcome.NOT_SENT)
            return
        if not connection.is_usable():
            connection.abort()
            attempt.finish(Outcome.UNREACHABLE)
            return
        attempt.written_at = self._loop.time()
        connection.send(attempt, attempt.build_request(time_left))
        attempt.on_written(attempt, time_left)

    # ---- idle connections ----------------------------------------------------------------------

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection that carries no attempt for the next attempt, or close it."""
        backend = connection.backend
        if not backend.in_service or not connection.is_usable():
            connection.abort()
            return
        if len(backend.idle_connections) >= MAX_IDLE_PER_BACKEND:
            # Each connection costs a backend capacity. The oldest one is closed, as non-retryable attempts
            # may not use it, and would dial past it each time.
            self._close_idle(backend.idle_connections[0])
        connection.idle_since = self._loop.time()
        self._update_peak_in_use(connection.idle_since)
        backend.idle_connections.append(connection)
        self._idle[connection] = None
        # The sum of what all proxies keep must leave room in the backends' tables: a full one rejects proxies
        # that have no connection at hand, after a handshake, for connections that nobody uses.
        while len(self._idle) > max(self._peak_in_use, self._idle_quota):
            self._close_idle(next(iter(self._idle)))

    def _update_peak_in_use(self, now: float) -> None:
        in_use = self._connected - len(self._idle)
        decayed_peak = self._peak_in_use * 0.5 ** ((now - self._peak_updated_at) / PEAK_HALF_LIFE)
        self._peak_in_use = max(in_use, decayed_peak)
        self._peak_updated_at = now

    def _remove_idle(self, connection: UpstreamConnection) -> None:
        if connection in self._idle:
            del self._idle[connection]
            connection.backend.idle_connections.remove(connection)

    def _close_idle(self, connection: UpstreamConnection) -> None:
        self._remove_idle(connection)
        connection.abort()

    def _sweep(self) -> None:
        """Close what has been idle for long: a request that meets the backend's own close is lost."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self._sweep_timer = self._loop.call_later(self._max_idle_time / 4.0, self._sweep)
        latest = self._loop.time() - self._max_idle_time
        for connection in tuple(self._idle):
            if connection.idle_since > latest:
                break
            self._close_idle(connection)

    # ---- what connections report ---------------------------------------------------------------

    def now(self) -> float:
        """The loop's time."""
        return self._loop.time()

    def on_connection_made(self) -> None:
        """Count a connection that has come up."""
        self._connected += 1

    def on_connection_lost(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has ended."""
        self._connected -= 1
        self._remove_idle(connection)
