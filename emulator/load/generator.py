"""Open-loop load generator: requests start at their scheduled times, even if earlier ones are unfinished.

Protocol of `python -m emulator.load.generator` with its parent process: it reads its `LoadPlan` as one line
of JSON, prints `ready`, waits for a line, sends the requests, prints its `LoadReport` as one line of JSON,
and exits at the end of its input. `emulator.load.plan` defines the plan and the report.
"""

from __future__ import annotations

import gc
import re
import select
import socket
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from emulator.load.plan import (
    SERVED,
    LoadPlan,
    LoadReport,
    ScheduledRequest,
    StreamReport,
    schedule_requests,
)
from emulator.measurement.latency import encode, histogram_of, to_microseconds
from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Callable

REQUEST_TIMEOUT = 5.0  # seconds; sent as X-Timeout
READ_SIZE = 64 << 10  # bytes
EVENTS_PER_POLL = 32  # a small batch, so that due requests do not wait behind hundreds of responses
STALL_THRESHOLD = 1e-3  # seconds between two polls; a longer gap means that another process had the core
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d+)", re.IGNORECASE)
CONNECTION_CLOSE = re.compile(rb"\r\nconnection:[ \t]*close", re.IGNORECASE)

#: Outcomes of requests without a status: the connection was lost, or the run ended before the response.
LOST, NO_RESPONSE = "lost", "unanswered"


@dataclass(slots=True)
class StreamTally:
    """Outcomes and latencies of the requests of one stream.

    Attributes:
        latencies_us: Microseconds from the scheduled start to the last byte of the response, for the requests
            that started after the warm-up and were served.
        outcome_counts: Number of requests, including those of the warm-up, by status, `LOST` or
            `NO_RESPONSE`.
    """

    latencies_us: list[int] = field(default_factory=list)
    outcome_counts: Counter[str] = field(default_factory=Counter)

    def report(self) -> StreamReport:
        """Summarize the tally for the parent process."""
        return StreamReport(dict(self.outcome_counts), encode(histogram_of(self.latencies_us)))


class _Connection:
    """A persistent connection, and its current request, if any."""

    __slots__ = ("is_first_use", "port", "request", "request_bytes", "response_bytes", "sock")

    def __init__(self, port: int) -> None:
        self.port = port
        self.request: ScheduledRequest | None = None
        self.request_bytes = self.response_bytes = b""
        self.is_first_use = True
        self.sock = socket.socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(0.0)  # non-blocking
        self.sock.connect_ex((HOST, port))


class OpenLoopGenerator:
    """Sends the requests of a plan.

    The loop polls without sleeping, because the timers of asyncio are late by up to a millisecond, which is
    the magnitude of the measured latency. The load generator has a core of its own for this.

    Attributes:
        tallies: Outcomes and latencies of each stream, in the order of the plan.
        stalls_us: Length in microseconds of each stall of the loop; latencies measured during a stall are
            unreliable.
    """

    def __init__(self, plan: LoadPlan, clock: Callable[[], float] = time.perf_counter) -> None:
        self.tallies = [StreamTally() for _ in plan.streams]
        self.stalls_us: list[int] = []
        self._plan = plan
        self._clock = clock
        self._requests = schedule_requests(plan)
        self._poll = select.epoll()
        self._connections: dict[int, _Connection] = {}  # by file descriptor
        self._idle_connections: dict[int, list[_Connection]] = {}  # by port, most recently used last
        self._request_count = 0
        self._in_flight = 0
        self._start = 0.0

    def run(self, start: float) -> None:
        """Send the requests, and wait until all have finished or timed out.

        Args:
            start: Start of the plan, as a time of the generator's clock.
        """
        self._start = start
        remaining = iter(self._requests)
        next_request = next(remaining, None)
        end = start + self._plan.warmup + self._plan.seconds + REQUEST_TIMEOUT
        last_poll = self._clock()
        while (next_request is not None or self._in_flight) and (now := self._clock()) < end:
            if now - last_poll > STALL_THRESHOLD:
                self.stalls_us.append(to_microseconds(now - last_poll))
            last_poll = now
            # At most one request in each iteration, so that responses are also read while requests are late.
            if next_request is not None and start + next_request.start <= now:
                self._start_request(next_request)
                next_request = next(remaining, None)
            for descriptor, event in self._poll.poll(0, EVENTS_PER_POLL):
                self._on_event(self._connections[descriptor], event)
        self._shut_down()

    def report(self) -> LoadReport:
        """Summarize the requests sent so far."""
        return LoadReport([tally.report() for tally in self.tallies], self.stalls_us)

    def _shut_down(self) -> None:
        for connection in tuple(self._connections.values()):
            if connection.request is not None:
                self._finish(connection.request, NO_RESPONSE)
            self._close(connection)
        self._poll.close()

    def _start_request(self, request: ScheduledRequest) -> None:
        """Send on the most recently used idle connection, or on a new one if all connections are busy."""
        self._in_flight += 1
        idle_connections = self._idle_connections.get(request.port)
        if idle_connections:
            connection = idle_connections.pop()
            connection.is_first_use = False
            self._assign(connection, request)
            self._send(connection)
        else:
            self._connect(request)

    def _connect(self, request: ScheduledRequest) -> None:
        connection = _Connection(request.port)
        self._assign(connection, request)
        self._connections[connection.sock.fileno()] = connection
        self._poll.register(connection.sock.fileno(), select.EPOLLIN | select.EPOLLOUT)

    def _assign(self, connection: _Connection, request: ScheduledRequest) -> None:
        self._request_count += 1
        connection.request, connection.response_bytes = request, b""
        connection.request_bytes = (
            f"GET /api/read HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Request-ID: {self._plan.seed:x}-{self._request_count}\r\n"
            f"X-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout: {REQUEST_TIMEOUT:.3f}\r\n\r\n"
        ).encode()

    def _send(self, connection: _Connection) -> None:
        try:
            connection.sock.send(connection.request_bytes)  # fits into the socket buffer: one call is enough
        except OSError:
            self._on_disconnect(connection)

    def _on_event(self, connection: _Connection, event: int) -> None:
        if event & select.EPOLLOUT and not event & (select.EPOLLERR | select.EPOLLHUP):
            self._poll.modify(connection.sock.fileno(), select.EPOLLIN)
            self._send(connection)
            return
        try:
            data = connection.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._on_data(connection, data)
        else:
            self._on_disconnect(connection)

    def _on_data(self, connection: _Connection, data: bytes) -> None:
        response = connection.response_bytes = connection.response_bytes + data
        head_end = response.find(b"\r\n\r\n")
        if head_end < 0 or connection.request is None:
            return
        length = CONTENT_LENGTH.search(response, 0, head_end)
        if len(response) < head_end + 4 + (int(length[1]) if length else 0):
            return
        status = response[9:12].decode("latin-1")
        self._finish(connection.request, status)
        connection.request = None
        if CONNECTION_CLOSE.search(response, 0, head_end):
            self._close(connection)
        else:
            self._idle_connections.setdefault(connection.port, []).append(connection)

    def _on_disconnect(self, connection: _Connection) -> None:
        """Finish or repeat the current request of a lost connection.

        The server may close an idle connection while a request is in transit. Such a request is sent once
        more, on a new connection.
        """
        request = connection.request
        closed_while_idle = not connection.is_first_use and not connection.response_bytes
        self._close(connection)
        if request is None:
            return
        if closed_while_idle:
            self._connect(request)
        else:
            self._finish(request, LOST)

    def _close(self, connection: _Connection) -> None:
        idle_connections = self._idle_connections.get(connection.port, [])
        if connection in idle_connections:
            idle_connections.remove(connection)
        del self._connections[connection.sock.fileno()]
        connection.sock.close()  # also removes the socket from the epoll object

    def _finish(self, request: ScheduledRequest, outcome: str) -> None:
        self._in_flight -= 1
        tally = self.tallies[request.stream]
        tally.outcome_counts[outcome] += 1
        if outcome == SERVED and request.start >= self._plan.warmup:
            # Latency counts from the scheduled start, so that the delay of a late request is included.
            tally.latencies_us.append(to_microseconds(self._clock() - self._start - request.start))


def main() -> None:
    """Carry out the plan on standard input, and print the report."""
    generator = OpenLoopGenerator(LoadPlan.from_line(sys.stdin.readline()))
    # A garbage collection would increase the measured latencies; the run is short, so memory stays bounded.
    gc.collect()
    gc.disable()
    print("ready", flush=True)
    if sys.stdin.readline():
        generator.run(time.perf_counter())
        print(generator.report().to_line(), flush=True)
        sys.stdin.readline()  # keeps the process running until the parent has read its resource usage


if __name__ == "__main__":
    main()
