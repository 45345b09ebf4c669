"""What tests read of a proxy's private state, where no public item shows it: the one place that knows it."""

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
    """Return whether a part of a response has come for any attempt of a request."""
    return any(
        isinstance(attempt.connection, UpstreamConnection) and attempt.connection._parser.receiving
        for attempt in request.attempts
    )


def idle_quota(pool: ConnectionPool) -> float:
    """Return how many idle connections to all backends together the pool may keep as this proxy's part."""
    return pool._idle._quota


def sweep_timer(pool: ConnectionPool) -> asyncio.TimerHandle | None:
    """Return the timer by which the pool closes idle connections."""
    return pool._idle._sweep_timer


def max_connections(pool: ConnectionPool) -> int:
    """Return how many connections the pool may have at once."""
    return pool._max_connections


def dials_in_progress(pool: ConnectionPool) -> int:
    """Return how many connections are being established."""
    return pool._dialling


def established_connections(pool: ConnectionPool) -> int:
    """Return how many connections to backends there are, idle ones included."""
    return pool._established


def all_idle_connections(pool: ConnectionPool) -> list[UpstreamConnection]:
    """Return the idle connections to all backends, the longest idle one first."""
    return list(pool._idle._all)


def idle_connections_to(pool: ConnectionPool, backend: Backend) -> list[UpstreamConnection]:
    """Return the idle connections to one backend, the most recently used one last."""
    return list(pool._idle._by_backend.get(backend, ()))


def backends_with_idle_connections(pool: ConnectionPool) -> int:
    """Return the number of backends that the pool stores idle connections, or an empty list of them, for."""
    return len(pool._idle._by_backend)


def remove_idle_connection(pool: ConnectionPool, connection: UpstreamConnection) -> None:
    """Remove a connection from the idle ones without closing it, as if an attempt reused it."""
    pool._idle.remove(connection)


def close_idle_connections(pool: ConnectionPool) -> None:
    """Close the idle connections to all backends."""
    for connection in all_idle_connections(pool):
        pool._idle.close(connection)


def close_long_idle_connections(pool: ConnectionPool) -> None:
    """Close the connections that have been idle for long, as the pool's timer does."""
    pool._idle._sweep()


def send_attempt(pool: ConnectionPool, attempt: UpstreamAttempt, connection: UpstreamConnection) -> None:
    """Make the pool send an attempt on a connection, even if the attempt has finished."""
    pool._send(attempt, connection)


def pause_reading(connection: UpstreamConnection) -> None:
    """Leave unread what is received from now on, as while the event loop is busy."""
    connection._transport.pause_reading()


def has_pipelined_input(connection: DownstreamConnection) -> bool:
    """Return whether a client has sent a further request, or a part of one, after the one in progress."""
    return bool(connection._input.queue or connection._input.parser.reading)


def discards_input(connection: DownstreamConnection) -> bool:
    """Return whether a request was rejected so that what the client still sends is discarded."""
    return connection._input.ended


def has_paused_writing(connection: DownstreamConnection) -> bool:
    """Return whether responses wait until the client reads."""
    return connection._writer.paused


def limit_send_buffer(connection: DownstreamConnection, nbytes: int) -> None:
    """Make the system accept only a small part of a response at once."""
    sock = connection._transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, nbytes)


def unwritten_bytes(connection: DownstreamConnection) -> int:
    """Return how many bytes of responses the client's socket has not accepted yet."""
    return connection._transport.get_write_buffer_size()
