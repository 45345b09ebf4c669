"""Access of tests to private state of a proxy that no public item shows; no other test module may use it."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from proxy.upstream.connection import UpstreamConnection

if TYPE_CHECKING:
    import asyncio

    from proxy.active_request import ActiveRequest
    from proxy.downstream.connection import DownstreamConnection
    from proxy.upstream import Backend, ConnectionPool, UpstreamAttempt


def is_receiving_response(request: ActiveRequest) -> bool:
    """Return whether the beginning of a response has been received for any attempt of a request."""
    return any(
        isinstance(attempt.connection, UpstreamConnection) and attempt.connection._parser.receiving
        for attempt in request.attempts
    )


def idle_quota(pool: ConnectionPool) -> float:
    """Return the pool's limit on idle connections: this proxy's share of the fleet's limit."""
    return pool._idle._quota


def sweep_timer(pool: ConnectionPool) -> asyncio.TimerHandle | None:
    """Return the timer after which the pool closes connections that are idle for too long."""
    return pool._idle._sweep_timer


def max_connections(pool: ConnectionPool) -> int:
    """Return the limit on the connections of the pool."""
    return pool._max_connections


def dials_in_progress(pool: ConnectionPool) -> int:
    """Return the number of connections that are being established."""
    return pool._dials_in_progress


def established_connections(pool: ConnectionPool) -> int:
    """Return the number of established connections to backends, including idle ones."""
    return pool._established


def all_idle_connections(pool: ConnectionPool) -> list[UpstreamConnection]:
    """Return the idle connections to all backends, in the order in which they became idle."""
    return list(pool._idle._connections)


def idle_connections_to(pool: ConnectionPool, backend: Backend) -> list[UpstreamConnection]:
    """Return the idle connections to one backend, the most recently used one last."""
    return list(pool._idle._by_backend.get(backend, ()))


def backends_with_idle_connections(pool: ConnectionPool) -> int:
    """Return the number of backends with an entry, possibly an empty one, for their idle connections."""
    return len(pool._idle._by_backend)


def remove_idle_connection(pool: ConnectionPool, connection: UpstreamConnection) -> None:
    """Remove a connection from the idle ones without closing it, as its reuse by an attempt would."""
    pool._idle.remove(connection)


def close_idle_connections(pool: ConnectionPool) -> None:
    """Close the idle connections to all backends."""
    for connection in all_idle_connections(pool):
        pool._idle.close(connection)


def close_long_idle_connections(pool: ConnectionPool) -> None:
    """Close the connections that are idle for too long, as the pool's timer does."""
    pool._idle._sweep()


def send_attempt(pool: ConnectionPool, attempt: UpstreamAttempt, connection: UpstreamConnection) -> None:
    """Make the pool send an attempt on a connection, even if the attempt has finished."""
    pool._send(attempt, connection)


def pause_reading(connection: UpstreamConnection) -> None:
    """Stop reading, so that later input stays in the socket as if the event loop were busy."""
    connection._transport.pause_reading()


def has_pipelined_input(connection: DownstreamConnection) -> bool:
    """Return whether a further request, or its beginning, has been received behind the current one."""
    return bool(connection._input.queue or connection._input.parser.reading)


def discards_input(connection: DownstreamConnection) -> bool:
    """Return whether the connection discards further input, because a request was rejected."""
    return connection._input.ended


def has_paused_writing(connection: DownstreamConnection) -> bool:
    """Return whether no further request is served until the client reads its responses."""
    return connection.writer.paused


def limit_send_buffer(connection: DownstreamConnection, nbytes: int) -> None:
    """Limit the socket's send buffer, so that most of a large response stays in the proxy."""
    sock = connection._transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, nbytes)


def unwritten_bytes(connection: DownstreamConnection) -> int:
    """Return the bytes of responses that the client's socket has not accepted yet."""
    return connection._transport.get_write_buffer_size()
