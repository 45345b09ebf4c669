"""Helpers for the tests of attempts: a connection pool with one backend, response scripts and settings."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from balancer.events import Outcome
from balancer.settings_reader import read_settings
from proxy.address import Address
from proxy.memory_budget import MemoryBudget
from proxy.upstream.attempt import AttemptCallbacks, UpstreamAttempt
from proxy.upstream.backend import Backend as PoolBackend
from proxy.upstream.connection_pool import ConnectionPool
from tests.support.loopback import StubBackend, with_timeout
from tests.support.proxy_inputs import MAX_WAIT, OK_RESPONSE, RAW_SETTINGS, post_request
from tests.support.proxy_internals import idle_connections_to

if TYPE_CHECKING:
    from collections.abc import Callable

    from balancer.settings import Settings
    from proxy.upstream.connection import UpstreamConnection
    from proxy.upstream.response_parser import UpstreamResponse


def respond_to_first_request(response: bytes | None) -> Callable[[bytes], bytes | None]:
    """Return a script that backends can share: this response to the first request, then OK_RESPONSE."""
    responses = [response]
    return lambda _: responses.pop() if responses else OK_RESPONSE


def settings_with(**changed: Any) -> Settings:
    """Return RAW_SETTINGS with changes, given by the keys of the configuration file."""
    return read_settings(RAW_SETTINGS | changed)


class PoolScenario:
    """A connection pool with one backend, and the outcomes of its attempts.

    Attributes:
        pool: The connection pool.
        backend: The backend that attempts are sent to.
        outcomes: The outcomes of the attempts, in the order in which they finished.
    """

    def __init__(self, stub_backend: StubBackend, max_connections: int = 9) -> None:
        self.pool = ConnectionPool(max_connections, 60.0, MAX_WAIT, MemoryBudget(8 << 20))
        host, _, port = stub_backend.address.rpartition(":")
        self._address = Address(host, int(port))
        self.outcomes: asyncio.Queue[Outcome] = asyncio.Queue()
        self.use_another_backend()

    def use_another_backend(self) -> None:
        """Send further attempts to another backend with the same address."""
        self.backend = PoolBackend(self._address)
        self.pool.update_backend(self.backend, self._address, 0.0, in_service=True)

    def idle_connections(self) -> list[UpstreamConnection]:
        """Return the idle connections to the backend, the most recently used one last."""
        return idle_connections_to(self.pool, self.backend)

    def start(self, request: bytes = b"", *, retryable: bool = True) -> UpstreamAttempt:
        """Start an attempt."""

        def on_finished(
            _attempt: UpstreamAttempt, outcome: Outcome, _response: UpstreamResponse | None
        ) -> None:
            self.outcomes.put_nowait(outcome)

        now = asyncio.get_running_loop().time()
        deadline = now + 3 * MAX_WAIT
        attempt = UpstreamAttempt(
            self.backend,
            started_at=now,
            deadline=deadline,
            retryable=retryable,
            callbacks=AttemptCallbacks(lambda _time_left: request or post_request(), on_finished),
        )
        self.pool.start(attempt)
        return attempt

    async def next_outcome(self) -> Outcome:
        """Wait for the next attempt to finish, and return its outcome."""
        return await with_timeout(self.outcomes.get())

    async def run_concurrently(self, count: int) -> None:
        """Start several attempts at once, and require all of them to succeed."""
        for _ in range(count):
            self.start()
        for _ in range(count):
            assert await self.next_outcome() is Outcome.SUCCESS

    async def run(self, request: bytes = b"", *, retryable: bool = True) -> Outcome:
        """Start an attempt, and return the outcome of the next attempt that finishes."""
        self.start(request, retryable=retryable)
        return await self.next_outcome()
