"""The clients of a run: requests at random times over kept connections, and clients that behave badly.

Owns the clients' connections and what they record of each request. Which proxies there are, `proxies` knows.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from soak.backends import read_headers, reset_on_close
from soak.history import History, Request, RequestOutcome, RetrySafety, StalledClient
from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from soak.proxies import ProxyFleet

ANSWER_PATIENCE = 0.7  # seconds beyond its time for which a client still looks for an answer
BAD_CLIENT_PATIENCE = 6.0  # seconds that a bad client stays
MAX_IDLE_CONNECTIONS = 6  # that the clients keep to one proxy
SLOW_READ_BYTES = 20_000  # that a slow reader reads at once
SLOW_READ_PAUSE = 0.02  # seconds between two of its reads
SMALL_RECEIVE_BUFFER = 4096  # bytes, of a slow reader
MAX_PIPELINE_PAUSE = 0.5  # seconds between two requests that are written one behind the other
PIPELINE_POLL_INTERVAL = 0.005  # seconds


@dataclass(slots=True, frozen=True)
class ClientMix:
    """What clients do; the chances are of each request.

    Attributes:
        rate: Requests a second over all proxies.
        timeouts: Seconds that clients wait, one of them at random.
        leaves: Chance that the client closes before its answer, or half of those times resets.
        slow_writer: Chance that the request is written in pieces.
        slow_reader: Chance that the answer is read slowly, through a small buffer.
        pipelined: Chance of several requests at once.
        max_pipelined: How many at most.
        last: Chance that the client wants its connection closed after the answer.
        stalls: Chance of a bad client that sends a part of a request and stays.
    """

    rate: float = 300.0
    timeouts: tuple[float, ...] = (1.5,)
    leaves: float = 0.08
    slow_writer: float = 0.03
    slow_reader: float = 0.03
    pipelined: float = 0.03
    max_pipelined: int = 4
    last: float = 0.03
    stalls: float = 0.004


class ClientConnection:
    """One connection to a proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.has_served = False

    def close(self, reset: bool = False) -> None:
        """Close, or reset."""
        if reset:
            reset_on_close(self.writer.get_extra_info("socket"))
            self.writer.transport.abort()
        else:
            self.writer.close()

    async def read_answer(self, slowly: bool = False) -> tuple[int, bytes, bool]:
        """Return the status of the next answer, its body, and whether the connection stays open."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        headers = read_headers(head[:-4])
        left = int(headers.get(b"content-length", b"0"))
        body = b""
        while left:
            piece = await self.reader.readexactly(min(left, SLOW_READ_BYTES) if slowly else left)
            left -= len(piece)
            body += piece
            if slowly:
                await asyncio.sleep(SLOW_READ_PAUSE)
        return int(head.split(None, 2)[1]), body, headers.get(b"connection") != b"close"


class Clients:
    """All clients of a run."""

    def __init__(self, fleet: ProxyFleet, history: History, mix: ClientMix, seed: int) -> None:
        self._fleet, self._history, self._mix = fleet, history, mix
        self._rng = random.Random(seed)
        self._idle: dict[int, list[ClientConnection]] = defaultdict(list)
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, until: float) -> None:
        """Send requests until a moment on the monotonic clock, and wait for what is still out."""
        arrives_at = time.monotonic()
        while (arrives_at := arrives_at + self._rng.expovariate(self._mix.rate)) < until:
            await asyncio.sleep(max(0.0, arrives_at - time.monotonic()))
            self._spawn(self._act())
        await asyncio.gather(*self._tasks)
        for connection in (each for idle in self._idle.values() for each in idle):
            connection.close()

    async def hold_idle(self, proxy: int, count: int, until: float) -> None:
        """Let idle clients hold connections to one proxy."""
        held = []
        for _ in range(count):
            try:
                held.append(await asyncio.open_connection(HOST, self._fleet.port(proxy)))
            except OSError:
                break
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        for _, writer in held:
            writer.close()

    def _spawn(self, action: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _act(self) -> None:
        """Do one of the things that clients do."""
        proxy = self._fleet.pick(self._rng)
        if proxy is None:
            return
        draw = self._rng.random()
        if draw < self._mix.stalls:
            await self._stall(proxy)
        elif draw < self._mix.stalls + self._mix.pipelined:
            await self._pipeline(proxy)
        else:
            await self._request(self._new_request(proxy))

    # ---- requests ------------------------------------------------------------------------------

    def _new_request(self, proxy: int, again: Request | None = None) -> Request:
        """Return the record of a new request, or of one that is sent once more, to another proxy maybe."""
        if again is None:
            self._number += 1
            safety = self._rng.choice(tuple(RetrySafety))
            request = Request(f"r{self._number}", safety, proxy, self._rng.choice(self._mix.timeouts))
        else:
            left = again.sent_at + again.timeout - time.monotonic()
            request = Request(again.id, again.safety, proxy, max(0.01, left))
        self._history.requests.append(request)
        return request

    def _encode(self, request: Request, last: bool) -> bytes:
        """Return a request's bytes."""
        method, body = (
            ("GET", "") if request.safety is RetrySafety.IDEMPOTENT else ("POST", f"body of {request.id}")
        )
        key = f"Idempotency-Key: {request.id}\r\n" if request.safety is RetrySafety.KEYED else ""
        return (
            f"{method} /api/k HTTP/1.1\r\nHost: b\r\nX-Request-ID: {request.id}\r\n"
            f"X-Priority-Class: {request.safety}\r\nX-Timeout: {request.timeout:.3f}\r\n{key}"
            f"X-Soak-Proxy: {request.proxy}\r\nContent-Length: {len(body)}\r\n"
            f"{'Connection: close' if last else 'X-Rest: 1'}\r\n\r\n{body}"
        ).encode()

    async def _connect(self, request: Request, slow_reader: bool = False) -> ClientConnection | None:
        """Return a kept connection to the request's proxy, or a new one; None where none comes up."""
        idle = self._idle[request.proxy]
        while idle and not slow_reader:
            connection = idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.close()
        if not self._fleet.accepts_connections(request.proxy):
            return None
        request.new_connection = True
        try:
            sock = socket.socket()
            sock.setblocking(False)
            if slow_reader:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
            await asyncio.get_running_loop().sock_connect(sock, (HOST, self._fleet.port(request.proxy)))
            return ClientConnection(*await asyncio.open_connection(sock=sock))
        except OSError:
            return None

    async def _request(self, request: Request, may_repeat: bool = True) -> None:
        """Send one request and take its answer."""
        rng, mix = self._rng, self._mix
        slow_reader, last = rng.random() < mix.slow_reader, rng.random() < mix.last
        connection = await self._connect(request, slow_reader)
        if connection is None:
            return
        try:
            await self._write(connection, request, last)
        except OSError:
            connection.close()
            return
        incarnation = self._fleet.incarnation(request.proxy)
        leaves_after = rng.uniform(0.0, request.timeout) * rng.random() if rng.random() < mix.leaves else None
        if await self._take_answer(connection, request, slow_reader, leaves_after):
            self._keep(connection, request.proxy)
        # What a killed process held is lost; else the request may have crossed the end of its connection.
        was_killed = incarnation is None or incarnation.killed_at <= time.monotonic()
        crossed = request.outcome is RequestOutcome.CONNECTION_CLOSED and connection.has_served
        if may_repeat and crossed and not was_killed:
            proxy = self._fleet.pick(rng)
            if proxy is not None:
                again = self._new_request(proxy, request)
                self._idle[proxy].clear()
                await self._request(again, may_repeat=False)

    async def _write(self, connection: ClientConnection, request: Request, last: bool) -> None:
        data = self._encode(request, last)
        request.began_at = time.monotonic()
        if self._rng.random() < self._mix.slow_writer:
            cut = self._rng.randrange(1, len(data))
            connection.writer.write(data[:cut])
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))
            data = data[cut:]
        # A client counts its time from its first byte: what it still waits stands in the request itself.
        request.sent_at = request.began_at
        connection.writer.write(data)
        await connection.writer.drain()

    async def _take_answer(
        self,
        connection: ClientConnection,
        request: Request,
        slowly: bool = False,
        leaves_after: float | None = None,
    ) -> bool:
        """Wait for an answer, record how the request ends, and return whether the connection can go on."""
        patience = request.sent_at + request.timeout + ANSWER_PATIENCE - time.monotonic()
        wait = patience if leaves_after is None else min(patience, leaves_after)
        try:
            async with asyncio.timeout(max(0.0, wait)):
                status, body, stays_open = await connection.read_answer(slowly)
        except TimeoutError:
            left = leaves_after is not None and leaves_after < patience
            request.outcome = RequestOutcome.DISCONNECTED if left else RequestOutcome.TIMED_OUT
            connection.close(reset=self._rng.random() < 0.5)
            request.ended_at = time.monotonic()
            return False
        except (OSError, asyncio.IncompleteReadError):
            request.outcome, request.ended_at = RequestOutcome.CONNECTION_CLOSED, time.monotonic()
            connection.close()
            return False
        request.outcome, request.ended_at, request.status = RequestOutcome.RESPONDED, time.monotonic(), status
        request.body_is_genuine = body.startswith(f"{request.id} by ".encode())
        connection.has_served = True
        if not stays_open:
            connection.close()
        return stays_open

    def _keep(self, connection: ClientConnection, proxy: int) -> None:
        """Keep a connection for a later request, unless there are enough."""
        idle = self._idle[proxy]
        if len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()

    async def _pipeline(self, proxy: int) -> None:
        """Send several requests at once, and take their answers in order."""
        requests = [self._new_request(proxy) for _ in range(self._rng.randint(2, self._mix.max_pipelined))]
        connection = await self._connect(requests[0])
        if connection is None:
            return
        writing = asyncio.create_task(self._write_pipeline(connection, requests))
        slowly = self._rng.random() < self._mix.slow_reader
        stays_open = True
        for request in requests:
            while not request.sent_at and not writing.done():
                await asyncio.sleep(PIPELINE_POLL_INTERVAL)
            # What was not read before the connection ended is sent anew by clients: it is not followed up.
            if not request.sent_at or not stays_open:
                break
            stays_open = await self._take_answer(connection, request, slowly)
        await writing
        if stays_open:
            self._keep(connection, proxy)

    async def _write_pipeline(self, connection: ClientConnection, requests: list[Request]) -> None:
        """Write requests one behind the other, at once or with pauses, without waiting for their answers."""
        longest_pause = self._rng.choice((0.0, 0.0, MAX_PIPELINE_PAUSE))
        turn_by = 0.0
        for position, request in enumerate(requests):
            if connection.writer.is_closing() or connection.reader.at_eof():
                return
            request.pipelined, request.response_due_at = position > 0, turn_by
            request.began_at = request.sent_at = time.monotonic()
            turn_by = max(turn_by, request.sent_at + request.timeout)
            try:
                connection.writer.write(self._encode(request, last=False))
                await connection.writer.drain()
            except OSError:
                return
            await asyncio.sleep(self._rng.uniform(0.0, longest_pause))

    async def _stall(self, proxy: int) -> None:
        """Send a part of a request on a new connection and stay; an error or a close is owed."""
        if not self._fleet.accepts_connections(proxy):
            return
        request = Request("stalled", RetrySafety.IDEMPOTENT, proxy, 1.0)
        data = self._encode(request, last=False)
        try:
            reader, writer = await asyncio.open_connection(HOST, self._fleet.port(proxy))
            writer.write(data[: self._rng.randrange(1, len(data))])
            await writer.drain()
        except OSError:
            return
        stopped_at = time.monotonic()
        ended_at = float("inf")
        try:
            async with asyncio.timeout(BAD_CLIENT_PATIENCE):
                await reader.read(1)
                ended_at = time.monotonic()
        except TimeoutError:
            pass
        except OSError:
            ended_at = time.monotonic()
        writer.close()
        self._history.stalled_clients.append(StalledClient(proxy, stopped_at, ended_at))
