"""Stand-in backends of a run, many in one process: they serve, misbehave by chance, and record what arrives.

Owns the listening sockets, the answers and the arrivals. Which backend drains, hangs or restarts, and when,
it is told.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from dataclasses import dataclass

from soak.history import Arrival, Execution, SchedulingDelay
from soak.scheduling_delay import SchedulingDelayMeter
from testbed.loopback import HOST, port_of

NOT_PROCESSED = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
LARGE_BODY_BYTES = 300_000


@dataclass(slots=True, frozen=True)
class Behaviour:
    """How backends serve; the chances are of each request.

    Attributes:
        work: Seconds of work, from and to.
        reset: Chance that the connection is reset after the work.
        refuse: Chance of a promise that the request did not run.
        error: Chance of a 500.
        lengthless: Chance of a whole answer that names no length.
        broken: Chance of an answer without a length that is reset on the way.
        twice: Chance that the answer comes twice, the second time some milliseconds later.
        large: Chance of a large answer.
        hang: Chance of no answer for `hang_time` seconds.
        close_idle: Chance that the connection is closed some milliseconds after the answer.
    """

    work: tuple[float, float] = (0.004, 0.05)
    reset: float = 0.01
    refuse: float = 0.02
    error: float = 0.02
    lengthless: float = 0.02
    broken: float = 0.01
    twice: float = 0.01
    large: float = 0.02
    hang: float = 0.01
    hang_time: float = 1.2
    close_idle: float = 0.02


class BackendFleet:
    """All backends of a run; one that restarts listens at a new port.

    Attributes:
        arrivals: What arrived, at all of them.
    """

    def __init__(self, names: list[str], seed: int, behaviour: Behaviour) -> None:
        self.arrivals: list[Arrival] = []
        self.behaviour = behaviour
        self.hanging: set[str] = set()
        self.rng = random.Random(seed)
        self._names = names
        self._servers: dict[str, asyncio.Server] = {}
        self._connections: dict[str, set[BackendConnection]] = {name: set() for name in names}
        self._delay_meter = SchedulingDelayMeter()

    async def start(self) -> dict[str, int]:
        """Start all backends and return the port of each."""
        return {name: await self.restart(name) for name in self._names}

    async def restart(self, name: str) -> int:
        """Let a backend die, which resets its connections, and return the port at which it comes back."""
        if name in self._servers:
            self._servers[name].close()
        for connection in tuple(self._connections[name]):
            connection.abort()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: BackendConnection(self, name, self._connections[name]), HOST, 0, backlog=1024
        )
        self._servers[name] = server
        return port_of(server)

    def set_hanging(self, name: str, hangs: bool) -> None:
        """Let a backend take requests and answer none, or serve again."""
        (self.hanging.add if hangs else self.hanging.discard)(name)

    def results(self) -> tuple[list[Arrival], list[SchedulingDelay]]:
        """Return what arrived, and when this process was late."""
        return self.arrivals, self._delay_meter.delays


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; it carries one request at a time."""

    def __init__(self, fleet: BackendFleet, name: str, connections: set[BackendConnection]) -> None:
        self._fleet, self._name, self._connections = fleet, name, connections
        self._buffer = b""
        self._began_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the fleet."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Stop working for a connection that has ended."""
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def abort(self) -> None:
        """Reset the connection."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            reset_on_close(sock)
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take bytes, and begin with a request once its last byte is there."""
        if not self._buffer:
            self._began_at = time.monotonic()
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        headers = read_headers(head)
        length = int(headers.get(b"content-length", b"0"))
        if len(body) < length:
            return
        self._buffer = body[length:]
        arrival = Arrival(
            headers.get(b"x-request-id", b"").decode(),
            int(headers.get(b"x-soak-proxy", b"-1")),
            self._name,
            self._began_at,
            time.monotonic(),
            float(headers[b"x-timeout"]),
        )
        self._fleet.arrivals.append(arrival)
        self._task = asyncio.get_running_loop().create_task(self._serve(arrival))

    async def _serve(self, arrival: Arrival) -> None:
        """Work on a request and answer it, or do one of the things that backends do instead."""
        behaviour, rng = self._fleet.behaviour, self._fleet.rng
        draw = rng.random()
        if draw < behaviour.refuse:
            arrival.execution = Execution.NOT_EXECUTED
            self._transport.write(NOT_PROCESSED)
            return
        draw -= behaviour.refuse
        await asyncio.sleep(rng.uniform(*behaviour.work))
        while self._name in self._fleet.hanging:
            await asyncio.sleep(0.05)
        if draw < behaviour.hang:
            await asyncio.sleep(behaviour.hang_time)
        draw -= behaviour.hang
        if 0.0 <= draw < behaviour.reset:
            self.abort()
            return
        draw -= behaviour.reset
        if 0.0 <= draw < behaviour.error:
            self._transport.write(ERROR)
            return
        draw -= behaviour.error
        await self._answer(arrival, draw)

    async def _answer(self, arrival: Arrival, draw: float) -> None:
        """Write a 200 in one of its forms."""
        behaviour, rng = self._fleet.behaviour, self._fleet.rng
        body = f"{arrival.id} by {arrival.backend}".encode()
        if rng.random() < behaviour.large:
            body += b" " * LARGE_BODY_BYTES
        arrival.execution = Execution.CONFIRMED
        if 0.0 <= draw < behaviour.lengthless + behaviour.broken:
            arrival.has_length = False
            self._transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            if draw < behaviour.lengthless:
                arrival.response_completed = True
                self._transport.close()
            else:
                await asyncio.sleep(0.01)
                self.abort()
            return
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self._transport.write(answer)
        arrival.response_completed = True
        after = rng.random()
        if after < behaviour.twice:
            await asyncio.sleep(rng.uniform(0.001, 0.008))
            self._transport.write(answer)
        elif after < behaviour.twice + behaviour.close_idle:
            await asyncio.sleep(rng.uniform(0.0, 0.02))
            self._transport.close()


def read_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the headers of a head by their names in lower case."""
    pairs = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in pairs}


def reset_on_close(sock: socket.socket) -> None:
    """Let the socket's end be a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
