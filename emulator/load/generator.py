"""An open-loop load generator: calls start at their scheduled times, even if earlier ones have not ended.

Run as `python -m emulator.load.generator`: it reads its `LoadPlan` as one JSON line, prints `ready`, waits
for a line, makes the calls, prints its `LoadReport` as one JSON line, and ends with its input. What a plan
and a report hold is in `emulator.load.plan`.
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

from emulator.load.plan import SERVED, LoadPlan, LoadReport, ScheduledCall, StreamReport, schedule_calls
from emulator.measurement.latency import encode, histogram_of, to_microseconds
from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Callable

CALL_TIMEOUT = 5.0  # seconds that a call may take; its X-Timeout
READ_SIZE = 64 << 10  # bytes
EVENTS_PER_POLL = 32  # few, so that calls that fall due do not wait behind hundreds of responses
STALL = 1e-3  # seconds between two polls beyond which something else had the processor core
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d+)", re.IGNORECASE)
CONNECTION_CLOSE = re.compile(rb"\r\nconnection:[ \t]*close", re.IGNORECASE)

#: The outcome of a call that got no status: its connection was lost, or the run ended before a response.
LOST, UNANSWERED = "lost", "unanswered"


@dataclass(slots=True)
class StreamTally:
    """The outcomes and latencies of a stream's calls.

    Attributes:
        latencies_us: Microseconds from the scheduled start to the response's last byte, for those calls of
            the counted time that were served.
        ended: All calls, the warm-up's included, by status, `LOST` or `UNANSWERED`.
    """

    latencies_us: list[int] = field(default_factory=list)
    ended: Counter[str] = field(default_factory=Counter)

    def report(self) -> StreamReport:
        """Summarise the tally for the parent process."""
        return StreamReport(dict(self.ended), encode(histogram_of(self.latencies_us)))


class _Connection:
    """A persistent connection, and the call that it carries, if any."""

    __slots__ = ("call", "first_use", "port", "request", "response", "sock")

    def __init__(self, port: int) -> None:
        self.port = port
        self.call: ScheduledCall | None = None
        self.request = self.response = b""
        self.first_use = True  # carries its first call
        self.sock = socket.socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(0.0)  # non-blocking
        self.sock.connect_ex((HOST, port))


class OpenLoopGenerator:
    """Makes the calls of a plan.

    It polls and never sleeps: asyncio's timers are late by up to a millisecond, as much as is to be measured,
    and its core is its own.

    Attributes:
        tallies: The outcomes of each stream's calls, in the plan's order.
        stalls_us: The length in microseconds of each stall of the loop: measurements during a stall are
            unreliable.
    """

    def __init__(self, plan: LoadPlan, clock: Callable[[], float] = time.perf_counter) -> None:
        self.tallies = [StreamTally() for _ in plan.streams]
        self.stalls_us: list[int] = []
        self._plan = plan
        self._clock = clock
        self._calls = schedule_calls(plan)
        self._poll = select.epoll()
        self._connections: dict[int, _Connection] = {}  # by file descriptor
        self._idle: dict[int, list[_Connection]] = {}  # by port, the one used last at the end
        self._request_count = 0
        self._in_flight = 0
        self._start = 0.0

    def run(self, start: float) -> None:
        """Make the calls from this time of the clock on, and wait until the last has ended or timed out."""
        self._start = start
        upcoming = iter(self._calls)
        call = next(upcoming, None)
        end = start + self._plan.warmup + self._plan.seconds + CALL_TIMEOUT
        last = self._clock()
        while (call is not None or self._in_flight) and (now := self._clock()) < end:
            if now - last > STALL:
                self.stalls_us.append(to_microseconds(now - last))
            last = now
            # One call a round, so that responses are read between calls that are late as well.
            if call is not None and start + call.at <= now:
                self._start_call(call)
                call = next(upcoming, None)
            for descriptor, event in self._poll.poll(0, EVENTS_PER_POLL):
                self._on_event(self._connections[descriptor], event)
        self._shut_down()

    def report(self) -> LoadReport:
        """Summarise the calls made so far."""
        return LoadReport([tally.report() for tally in self.tallies], self.stalls_us)

    def _shut_down(self) -> None:
        for connection in tuple(self._connections.values()):
            if connection.call is not None:
                self._finish(connection.call, UNANSWERED)
            self._close(connection)
        self._poll.close()

    def _start_call(self, call: ScheduledCall) -> None:
        """Send on the connection used last, or on a new one where all are busy."""
        self._in_flight += 1
        idle = self._idle.get(call.port)
        if idle:
            connection = idle.pop()
            connection.first_use = False
            self._assign(connection, call)
            self._send(connection)
        else:
            self._connect(call)

    def _connect(self, call: ScheduledCall) -> None:
        connection = _Connection(call.port)
        self._assign(connection, call)
        self._connections[connection.sock.fileno()] = connection
        self._poll.register(connection.sock.fileno(), select.EPOLLIN | select.EPOLLOUT)

    def _assign(self, connection: _Connection, call: ScheduledCall) -> None:
        self._request_count += 1
        connection.call, connection.response = call, b""
        connection.request = (
            f"GET /api/read HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Request-ID: {self._plan.seed:x}-{self._request_count}\r\n"
            f"X-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout: {CALL_TIMEOUT:.3f}\r\n\r\n"
        ).encode()

    def _send(self, connection: _Connection) -> None:
        try:
            connection.sock.send(connection.request)  # smaller than any socket's buffer: it goes in one piece
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
        response = connection.response = connection.response + data
        head_end = response.find(b"\r\n\r\n")
        if head_end < 0 or connection.call is None:
            return
        length = CONTENT_LENGTH.search(response, 0, head_end)
        if len(response) < head_end + 4 + (int(length[1]) if length else 0):
            return
        status = response[9:12].decode("latin-1")
        self._finish(connection.call, status)
        connection.call = None
        if CONNECTION_CLOSE.search(response, 0, head_end):
            self._close(connection)
        else:
            self._idle.setdefault(connection.port, []).append(connection)

    def _on_disconnect(self, connection: _Connection) -> None:
        """End or repeat the call that the connection carried.

        The server may close an idle connection while a request is on its way: that request is sent once
        more, on a new connection.
        """
        call = connection.call
        closed_while_idle = not connection.first_use and not connection.response
        self._close(connection)
        if call is None:
            return
        if closed_while_idle:
            self._connect(call)
        else:
            self._finish(call, LOST)

    def _close(self, connection: _Connection) -> None:
        idle = self._idle.get(connection.port, [])
        if connection in idle:
            idle.remove(connection)
        del self._connections[connection.sock.fileno()]
        connection.sock.close()  # which also removes it from the poll

    def _finish(self, call: ScheduledCall, outcome: str) -> None:
        self._in_flight -= 1
        tally = self.tallies[call.stream]
        tally.ended[outcome] += 1
        if outcome == SERVED and call.at >= self._plan.warmup:
            # From the scheduled start: the wait of a call that is sent late because of others counts.
            tally.latencies_us.append(to_microseconds(self._clock() - self._start - call.at))


def main() -> None:
    """Make the calls of the plan on standard input, and print the report."""
    generator = OpenLoopGenerator(LoadPlan.from_line(sys.stdin.readline()))
    # A collection would show in the measured latencies; the run is short, and what it allocates is bounded.
    gc.collect()
    gc.disable()
    print("ready", flush=True)
    if sys.stdin.readline():
        generator.run(time.perf_counter())
        print(generator.report().to_line(), flush=True)
        sys.stdin.readline()  # until then, the parent can read what this process has used


if __name__ == "__main__":
    main()
