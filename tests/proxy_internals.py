"""What tests read of a proxy's private state, where no public item shows it: the one place that knows it."""

from __future__ import annotations

import asyncio

from proxy.active_request import ActiveRequest
from proxy.upstream import ConnectionPool


def is_receiving_response(request: ActiveRequest) -> bool:
    """Return whether a part of a response has come for any attempt of a request."""
    return any(
        attempt.connection is not None and attempt.connection._parser.receiving
        for attempt in request.attempts
    )


def idle_quota(pool: ConnectionPool) -> float:
    """Return how many idle connections the pool may have to each backend."""
    return pool._idle_quota


def sweep_timer(pool: ConnectionPool) -> asyncio.TimerHandle | None:
    """Return the timer by which the pool closes idle connections."""
    return pool._sweep_timer
