"""Requests of the clients: creates their records, sends them, and receives their responses."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from soak.history import Request, RequestOutcome, RetrySafety
from soak.managed_proxy import was_killed
from soak.request_encoding import encode_request

if TYPE_CHECKING:
    import random

    from soak.client_connection import ClientConnection, Response
    from soak.client_mix import ClientMix
    from soak.client_pool import ClientConnectionPool
    from soak.history import History, ProxyIncarnation
    from soak.proxy_fleet import ProxyFleet

#: Seconds after its timeout for which a client waits for a response, so that a late one can be recorded.
RESPONSE_GRACE = 0.7
MIN_RETRY_TIMEOUT = 0.01  # seconds
MAX_WRITE_PAUSE = 0.2  # seconds between the two pieces of a request that is written slowly
RESET_PROBABILITY = 0.5  # probability that a client which stops waiting resets its connection


class RequestExchange:
    """Sends requests and records how they end.

    Attributes:
        connections: The clients' idle connections.
        mix: How the clients behave.
        rng: The random generator of all clients.
    """

    def __init__(
        self,
        fleet: ProxyFleet,
        connections: ClientConnectionPool,
        history: History,
        mix: ClientMix,
        rng: random.Random,
    ) -> None:
        self.connections, self.mix, self.rng = connections, mix, rng
        self._fleet, self._history = fleet, history
        self._created = 0

    def create(self, proxy: int) -> Request:
        """Create and record a new request to a proxy."""
        self._created += 1
        safety = self.rng.choice(tuple(RetrySafety))
        request = Request(f"r{self._created}", safety, proxy, self.rng.choice(self.mix.timeouts))
        self._history.requests.append(request)
        return request

    def _create_retry(self, request: Request, proxy: int) -> Request:
        """Create and record a retry of a request to a proxy, with the remaining time as its timeout."""
        remaining = request.sent_at + request.timeout - time.monotonic()
        retry = Request(request.id, request.safety, proxy, max(MIN_RETRY_TIMEOUT, remaining))
        self._history.requests.append(retry)
        return retry

    async def perform(self, request: Request, *, may_retry: bool = True) -> None:
        """Send one request and receive its response.

        The client retries the request once if a connection that had served earlier requests ends without a
        response: the proxy may have closed the idle connection before it read the request. Requests that were
        in flight at a proxy that was killed are not retried.
        """
        rng, mix = self.rng, self.mix
        slow_reader = rng.random() < mix.slow_read_probability
        closes = rng.random() < mix.close_probability
        connection = await self.connections.checkout(request, slow_reader=slow_reader)
        if connection is None:
            return
        try:
            await self._send(connection, request, closes=closes)
        except OSError:
            connection.close()
            return
        incarnation = self._fleet[request.proxy].incarnation
        disconnects_after = self._draw_disconnect(request)
        if await self.receive(connection, request, slowly=slow_reader, disconnects_after=disconnects_after):
            self.connections.release(connection, request.proxy)
        if may_retry and request.outcome is RequestOutcome.DISCONNECTED:
            await self._repeat(request, incarnation)
        was_closed = request.outcome is RequestOutcome.CONNECTION_CLOSED and connection.has_served
        if may_retry and was_closed and not was_killed(incarnation):
            await self._retry(request)

    def _draw_disconnect(self, request: Request) -> float | None:
        """Return the seconds after which the client disconnects; None if it waits for its response."""
        if self.rng.random() >= self.mix.disconnect_probability:
            return None
        return self.rng.uniform(0.0, request.timeout) * self.rng.random()

    async def _repeat(self, request: Request, incarnation: ProxyIncarnation | None) -> None:
        """Send a request again whose client left without any response, if the same process still runs."""
        comes_back = self.rng.random() < self.mix.repeat_probability
        if comes_back and not request.response_began and not was_killed(incarnation):
            await self.perform(self._create_retry(request, request.proxy), may_retry=False)

    async def _retry(self, request: Request) -> None:
        proxy = self._fleet.pick(self.rng)
        if proxy is not None:
            retry = self._create_retry(request, proxy)
            self.connections.forget(proxy)
            await self.perform(retry, may_retry=False)

    async def _send(self, connection: ClientConnection, request: Request, *, closes: bool) -> None:
        """Write a request, complete or in two pieces.

        Raises:
            OSError: The connection has ended.
        """
        data = encode_request(request, closes=closes)
        request.began_at = time.monotonic()
        if self.rng.random() < self.mix.slow_write_probability:
            first_length = self.rng.randrange(1, len(data))
            connection.writer.write(data[:first_length])
            await asyncio.sleep(self.rng.uniform(0.0, MAX_WRITE_PAUSE))
            data = data[first_length:]
        # A client's timeout counts from the first byte, because the request's head states the timeout.
        request.sent_at = request.began_at
        await connection.send(data)

    async def receive(
        self,
        connection: ClientConnection,
        request: Request,
        *,
        slowly: bool,
        disconnects_after: float | None = None,
    ) -> bool:
        """Wait for a response, and record how the request ends.

        Args:
            connection: The connection that the request was sent on.
            request: The request.
            slowly: Whether the response is read slowly.
            disconnects_after: Seconds after which the client disconnects; None if it does not.

        Returns:
            Whether the connection can be used again.
        """
        timeout = request.sent_at + request.timeout + RESPONSE_GRACE - time.monotonic()
        wait = timeout if disconnects_after is None else min(timeout, disconnects_after)
        try:
            async with asyncio.timeout(max(0.0, wait)):
                response = await connection.read_response(slowly=slowly)
        except TimeoutError:
            outcome = RequestOutcome.DISCONNECTED if wait < timeout else RequestOutcome.TIMED_OUT
            request.response_began = await connection.has_received()
            self._stop_waiting(connection, request, outcome)
            return False
        except (OSError, asyncio.IncompleteReadError):
            _record_end(request, RequestOutcome.CONNECTION_CLOSED)
            connection.close()
            return False
        return _complete(connection, request, response)

    def _stop_waiting(self, connection: ClientConnection, request: Request, outcome: RequestOutcome) -> None:
        """Close or reset the connection of a request whose client stops waiting."""
        if self.rng.random() < RESET_PROBABILITY:
            connection.reset()
        else:
            connection.close()
        _record_end(request, outcome)


def _record_end(request: Request, outcome: RequestOutcome) -> None:
    request.outcome, request.ended_at = outcome, time.monotonic()


def _complete(connection: ClientConnection, request: Request, response: Response) -> bool:
    """Record a request's response, and return whether its connection can be used again."""
    _record_end(request, RequestOutcome.RESPONDED)
    request.status = response.status
    request.body_is_genuine = response.body.startswith(f"{request.id} by ".encode())
    connection.has_served = True
    if not response.keeps_connection:
        connection.close()
    return response.keeps_connection
