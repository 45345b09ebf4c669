"""Clients that pipeline requests: they send several on a connection without waiting for responses."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from soak.request_encoding import encode_request

if TYPE_CHECKING:
    from soak.client_connection import ClientConnection
    from soak.client_requests import RequestExchange
    from soak.history import Request

MIN_PIPELINED = 2  # requests
MAX_PAUSES = (0.0, 0.0, 0.5)  # seconds between two requests at most; each pipeline uses one of these limits


async def perform_pipeline(exchange: RequestExchange, proxy: int) -> None:
    """Send several requests to a proxy without waiting for responses, and receive the responses in order."""
    rng, mix = exchange.rng, exchange.mix
    requests = [exchange.create(proxy) for _ in range(rng.randint(MIN_PIPELINED, mix.max_pipelined))]
    connection = await exchange.connections.checkout(requests[0])
    if connection is None:
        return
    sent: asyncio.Queue[Request | None] = asyncio.Queue()
    sending = asyncio.create_task(_send_pipeline(exchange, connection, requests, sent))
    slowly = rng.random() < mix.slow_read_probability
    stays_open = True
    # A real client retries the requests that the proxy did not read before the connection ended. These
    # retries are not simulated.
    while stays_open and (request := await sent.get()) is not None:
        stays_open = await exchange.receive(connection, request, slowly=slowly)
    await sending
    if stays_open:
        exchange.connections.release(connection, proxy)


async def _send_pipeline(
    exchange: RequestExchange,
    connection: ClientConnection,
    requests: list[Request],
    sent: asyncio.Queue[Request | None],
) -> None:
    """Write the requests, with random pauses, and put each one into the queue `sent`; end it with None."""
    max_pause = exchange.rng.choice(MAX_PAUSES)
    response_due_at = 0.0
    for position, request in enumerate(requests):
        if not connection.is_open:
            break
        request.pipelined, request.response_due_at = position > 0, response_due_at
        request.began_at = request.sent_at = time.monotonic()
        response_due_at = max(response_due_at, request.sent_at + request.timeout)
        sent.put_nowait(request)
        try:
            await connection.send(encode_request(request, closes=False))
        except OSError:
            break
        await asyncio.sleep(exchange.rng.uniform(0.0, max_pause))
    sent.put_nowait(None)
