"""The test backends of a run, all in one process: they respond, fail at random, and record every request.

`FaultInjector` decides when a backend hangs or restarts, and calls the `BackendFleet` over a pipe.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.history import Arrival, Execution, SchedulingDelay
from soak.scheduling_delay import SchedulingDelayMeter
from testbed.http_messages import END_OF_HEAD, content_length, read_headers
from testbed.loopback import HOST, port_of, reset_on_close

if TYPE_CHECKING:
    from soak.backend_behaviour import BackendBehaviour

NOT_PROCESSED = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
ACCEPT_BACKLOG = 1024  # connections that can wait to be accepted
LARGE_BODY_BYTES = 300_000
TRUNCATION_DELAY = 0.01  # seconds from a truncated response to the reset of its connection
DUPLICATE_DELAYS = (0.001, 0.008)  # shortest and longest time in seconds until a response is sent again
MAX_IDLE_CLOSE_DELAY = 0.02  # seconds from a response until its idle connection is closed


@dataclass(slots=True, frozen=True)
class BackendResults:
    """The records of a run's backends.

    Attributes:
        arrivals: The requests that the backends received.
        scheduling_delays: The scheduling delays of the backends' process.
    """

    arrivals: list[Arrival]
    scheduling_delays: list[SchedulingDelay]


class BackendFleet:
    """All backends of a run. A backend that restarts listens on a new port.

    Attributes:
        behaviour: How the backends respond.
        rng: The random generator of all backends.
        arrivals: The requests that the backends have received.
    """

    def __init__(self, names: list[str], seed: int, behaviour: BackendBehaviour) -> None:
        self.arrivals: list[Arrival] = []
        self.behaviour = behaviour
        self.rng = random.Random(seed)
        self._responsive = {name: asyncio.Event() for name in names}
        for name in names:
            self.set_hanging(name, hangs=False)
        self._servers: dict[str, asyncio.Server] = {}
        self._connections: dict[str, set[BackendConnection]] = {name: set() for name in names}
        self._delay_meter = SchedulingDelayMeter()

    async def start(self) -> dict[str, int]:
        """Start all backends, and return the port of each by name."""
        return {name: await self.restart(name) for name in self._connections}

    async def restart(self, name: str) -> int:
        """Stop a backend, which resets its connections, start it again, and return its new port."""
        if name in self._servers:
            self._servers[name].close()
        connections = self._connections[name]
        for connection in tuple(connections):
            connection.abort()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: BackendConnection(self, name, connections), HOST, 0, backlog=ACCEPT_BACKLOG
        )
        self._servers[name] = server
        return port_of(server)

    def set_hanging(self, name: str, *, hangs: bool) -> None:
        """Set whether a backend accepts requests without responding."""
        if hangs:
            self._responsive[name].clear()
        else:
            self._responsive[name].set()

    async def wait_until_responsive(self, name: str) -> None:
        """Wait until a backend does not hang."""
        await self._responsive[name].wait()

    def results(self) -> BackendResults:
        """Return the records so far."""
        return BackendResults(self.arrivals, self._delay_meter.delays)


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; it carries one request at a time."""

    def __init__(self, fleet: BackendFleet, name: str, connections: set[BackendConnection]) -> None:
        self._fleet, self._name, self._connections = fleet, name, connections
        self._buffer = b""
        self._began_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the backend's set."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection from the backend's set, and cancel the processing of its request."""
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
        """Buffer bytes, and start processing a request once it is complete."""
        if not self._buffer:
            self._began_at = time.monotonic()
        self._buffer += data
        head, separator, body = self._buffer.partition(END_OF_HEAD)
        if not separator:
            return
        headers = read_headers(head)
        length = content_length(headers)
        if len(body) < length:
            return
        self._buffer = body[length:]
        arrival = self._record_arrival(headers)
        self._task = asyncio.get_running_loop().create_task(self._respond(arrival))

    def _record_arrival(self, headers: dict[bytes, bytes]) -> Arrival:
        arrival = Arrival(
            headers.get(b"x-request-id", b"").decode(),
            int(headers.get(b"x-soak-proxy", b"-1")),
            self._name,
            self._began_at,
            time.monotonic(),
            float(headers[b"x-timeout"]),
        )
        self._fleet.arrivals.append(arrival)
        return arrival

    async def _respond(self, arrival: Arrival) -> None:
        """Process a request and respond, or fail in one of the ways of `BackendBehaviour`."""
        behaviour, rng = self._fleet.behaviour, self._fleet.rng
        draw = rng.random()
        if draw < behaviour.rejection_probability:
            arrival.execution = Execution.NOT_EXECUTED
            self._transport.write(NOT_PROCESSED)
            return
        draw -= behaviour.rejection_probability
        await asyncio.sleep(rng.uniform(*behaviour.work_time))
        await self._fleet.wait_until_responsive(self._name)
        if draw < behaviour.hang_probability:
            await asyncio.sleep(behaviour.hang_time)
        draw -= behaviour.hang_probability
        if 0.0 <= draw < behaviour.reset_probability:
            self.abort()
            return
        draw -= behaviour.reset_probability
        if 0.0 <= draw < behaviour.error_probability:
            self._transport.write(ERROR)
            return
        draw -= behaviour.error_probability
        await self._respond_ok(arrival, draw)

    async def _respond_ok(self, arrival: Arrival, draw: float) -> None:
        """Respond 200, with a Content-Length or with a body that ends with the connection.

        Args:
            arrival: The request.
            draw: The random number that selects the behaviour, minus the probabilities of the behaviours that
                `_respond` has ruled out.
        """
        behaviour, rng = self._fleet.behaviour, self._fleet.rng
        body = f"{arrival.id} by {arrival.backend}".encode()
        if rng.random() < behaviour.large_body_probability:
            body += b" " * LARGE_BODY_BYTES
        arrival.execution = Execution.CONFIRMED
        if 0.0 <= draw < behaviour.close_delimited_probability:
            self._write_close_delimited(arrival, body)
            arrival.response_completed = True
            self._transport.close()
        elif 0.0 <= draw < behaviour.close_delimited_probability + behaviour.truncated_probability:
            self._write_close_delimited(arrival, body)
            await asyncio.sleep(TRUNCATION_DELAY)
            self.abort()
        else:
            await self._respond_with_length(arrival, body)

    def _write_close_delimited(self, arrival: Arrival, body: bytes) -> None:
        arrival.has_length = False
        self._transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)

    async def _respond_with_length(self, arrival: Arrival, body: bytes) -> None:
        """Send a response with a Content-Length; at random, send it again or close the idle connection."""
        behaviour, rng = self._fleet.behaviour, self._fleet.rng
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self._transport.write(response)
        arrival.response_completed = True
        draw = rng.random()
        if draw < behaviour.duplicate_response_probability:
            await asyncio.sleep(rng.uniform(*DUPLICATE_DELAYS))
            self._transport.write(response)
        elif draw < behaviour.duplicate_response_probability + behaviour.idle_close_probability:
            await asyncio.sleep(rng.uniform(0.0, MAX_IDLE_CLOSE_DELAY))
            self._transport.close()
