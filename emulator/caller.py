"""An open-loop caller: calls start when they were drawn to start, whatever became of those before.

Run as `python -m emulator.caller`: it reads its `Plan` as one JSON line, prints `ready`, waits for a line,
calls, prints its tallies as one JSON line, and ends with its input.
"""

from __future__ import annotations

import gc
import json
import re
import select
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram
from numpy.typing import NDArray

from emulator.backend import HOST

LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3  # of a histogram: microseconds, significant digits
TIMEOUT = 5.0  # seconds that a call may take, as its X-Timeout says
READ = 64 << 10  # bytes read in one go
EVENTS = 32  # answers read in one go: calls that fall due do not wait behind hundreds of them
LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d+)", re.IGNORECASE)
STALL = 1e-3  # seconds between two polls beyond which something else had the core
CLOSES = re.compile(rb"\r\nconnection:[ \t]*close", re.IGNORECASE)


@dataclass(slots=True, frozen=True)
class Stream:
    """Calls of one kind: Poisson arrivals at `rate` calls a second, each to one of `ports` at random."""

    name: str
    ports: Sequence[int]
    rate: float


@dataclass(slots=True, frozen=True)
class Plan:
    """What one caller does: its streams, for `warmup` seconds uncounted and then for `seconds` counted."""

    seed: int
    warmup: float
    seconds: float
    streams: Sequence[Stream]


@dataclass(slots=True, frozen=True)
class Call:
    """One call that was drawn: seconds from the start of the plan, the stream's place, the port."""

    at: float
    stream: int
    port: int


@dataclass(slots=True)
class Tally:
    """What became of a stream's calls.

    `latencies` holds microseconds from the intended start to the answer's last byte, for those of the counted
    time that were answered 200. `ended` counts all calls, the warm-up's included, by status, or `lost` where
    the connection ended and `unanswered` where nothing had come by the end.
    """

    latencies: list[int] = field(default_factory=list)
    ended: Counter[str] = field(default_factory=Counter)


def arrivals(rng: np.random.Generator, rate: float, seconds: float) -> NDArray[np.float64]:
    """Times of a Poisson process, shape (n,), ascending, in seconds within [0, seconds).

    Given their number, the arrivals of a Poisson process are independent and uniform (Ross, Introduction to
    Probability Models, section 5.3).
    """
    return np.sort(rng.uniform(0.0, seconds, rng.poisson(rate * seconds)))


def draw(plan: Plan) -> list[Call]:
    """All calls of a plan in the order of their starts; the streams are independent and interleave."""
    calls: list[Call] = []
    for place, stream in enumerate(plan.streams):
        rng = np.random.default_rng([plan.seed, place])
        times = arrivals(rng, stream.rate, plan.warmup + plan.seconds)
        ports = rng.choice(np.asarray(stream.ports), len(times))
        calls += [Call(float(at), place, int(port)) for at, port in zip(times, ports, strict=True)]
    return sorted(calls, key=lambda call: call.at)


def histogram() -> Any:
    """An empty HDR histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def microseconds(seconds: float) -> int:
    """A latency as a histogram takes it."""
    return min(HIGHEST_US, max(LOWEST_US, round(seconds * 1e6)))


class _Connection:
    """A kept connection, and the call that it carries, if any."""

    __slots__ = ("answer", "call", "fresh", "port", "request", "sock")

    def __init__(self, port: int) -> None:
        self.port = port
        self.call: Call | None = None
        self.request = self.answer = b""
        self.fresh = True  # carries its first call
        self.sock = socket.socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.sock.connect_ex((HOST, port))


class OpenLoop:
    """Makes the calls of a plan.

    It polls and never sleeps: asyncio's timers are late by up to a millisecond, as much as is to be measured,
    and its core is its own.
    """

    def __init__(self, plan: Plan, clock: Callable[[], float] = time.perf_counter) -> None:
        self.tallies = [Tally() for _ in plan.streams]
        self._plan = plan
        self._clock = clock
        self._calls = draw(plan)
        self._poll = select.epoll()
        self._open: dict[int, _Connection] = {}
        self._idle: dict[int, list[_Connection]] = {}
        self._count = 0
        self._out = 0
        self._start = 0.0
        self.stalls: list[int] = []  # microseconds of each: what is measured in one is not to be trusted

    def run(self, start: float) -> None:
        """Call from this time of the clock on, and wait for the last answers as long as they may take."""
        self._start = start
        upcoming = iter(self._calls)
        call = next(upcoming, None)
        end = start + self._plan.warmup + self._plan.seconds + TIMEOUT
        last = self._clock()
        while (call is not None or self._out) and (now := self._clock()) < end:
            if now - last > STALL:
                self.stalls.append(microseconds(now - last))
            last = now
            if call is not None and start + call.at <= now:  # one: answers are read between late calls too
                self._begin(call)
                call = next(upcoming, None)
            for descriptor, event in self._poll.poll(0, EVENTS):
                self._ready(self._open[descriptor], event)
        for connection in tuple(self._open.values()):
            if connection.call is not None:
                self._end(connection.call, "unanswered")
            self._close(connection)
        self._poll.close()

    def _begin(self, call: Call) -> None:
        """Send on the connection used last, or on a new one where all are busy."""
        self._out += 1
        idle = self._idle.get(call.port)
        if idle:
            connection = idle.pop()
            connection.fresh = False
            self._assign(connection, call)
            self._send(connection)
        else:
            self._dial(call)

    def _dial(self, call: Call) -> None:
        connection = _Connection(call.port)
        self._assign(connection, call)
        self._open[connection.sock.fileno()] = connection
        self._poll.register(connection.sock.fileno(), select.EPOLLIN | select.EPOLLOUT)

    def _assign(self, connection: _Connection, call: Call) -> None:
        self._count += 1
        connection.call, connection.answer = call, b""
        connection.request = (
            f"GET /api/read HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Request-ID: {self._plan.seed:x}-{self._count}\r\n"
            f"X-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout: {TIMEOUT:.3f}\r\n\r\n"
        ).encode()

    def _send(self, connection: _Connection) -> None:
        try:
            connection.sock.send(connection.request)  # smaller than any socket's buffer: it goes in one piece
        except OSError:
            self._broke(connection)

    def _ready(self, connection: _Connection, event: int) -> None:
        if event & select.EPOLLOUT and not event & (select.EPOLLERR | select.EPOLLHUP):
            self._poll.modify(connection.sock.fileno(), select.EPOLLIN)
            self._send(connection)
            return
        try:
            data = connection.sock.recv(READ)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._read(connection, data)
        else:
            self._broke(connection)

    def _read(self, connection: _Connection, data: bytes) -> None:
        answer = connection.answer = connection.answer + data
        head = answer.find(b"\r\n\r\n")
        if head < 0 or connection.call is None:
            return
        length = LENGTH.search(answer, 0, head)
        if len(answer) < head + 4 + (int(length[1]) if length else 0):
            return
        self._end(connection.call, answer[9:12].decode("latin-1"))
        connection.call = None
        if CLOSES.search(answer, 0, head):
            self._close(connection)
        else:
            self._idle.setdefault(connection.port, []).append(connection)

    def _broke(self, connection: _Connection) -> None:
        """A close may cross a request on a kept connection: that one goes out once more, on a new one."""
        call, again = connection.call, not connection.fresh and not connection.answer
        self._close(connection)
        if call is None:
            return
        if again:
            self._dial(call)
        else:
            self._end(call, "lost")

    def _close(self, connection: _Connection) -> None:
        idle = self._idle.get(connection.port, [])
        if connection in idle:
            idle.remove(connection)
        del self._open[connection.sock.fileno()]
        connection.sock.close()  # leaves the poll by itself

    def _end(self, call: Call, how: str) -> None:
        self._out -= 1
        tally = self.tallies[call.stream]
        tally.ended[how] += 1
        if how == "200" and call.at >= self._plan.warmup:
            # From the intended start: a call that goes out late, since others hold things up, has waited.
            tally.latencies.append(microseconds(self._clock() - self._start - call.at))


def encode(tallies: Sequence[Tally]) -> list[dict[str, Any]]:
    """For each stream its counts, and its histogram in HDR's compressed form (V2, base64)."""
    rows = []
    for tally in tallies:
        latencies = histogram()
        for value in tally.latencies:
            latencies.record_value(value)
        rows.append({"ended": tally.ended, "histogram": latencies.encode().decode()})
    return rows


def plan_line(plan: Plan) -> bytes:
    """A plan as the line that a caller reads."""
    return json.dumps(asdict(plan)).encode() + b"\n"


def read_plan(line: str) -> Plan:
    """The plan of such a line; a ValueError, KeyError or TypeError where it is none."""
    raw = json.loads(line)
    return Plan(**(raw | {"streams": [Stream(**stream) for stream in raw["streams"]]}))


def main() -> None:
    """Be one caller, as its standard input says."""
    caller = OpenLoop(read_plan(sys.stdin.readline()))
    gc.collect()
    gc.disable()  # Guards the measured times against collections; the run is short and bounded.
    print("ready", flush=True)
    if sys.stdin.readline():
        caller.run(time.perf_counter())
        print(json.dumps({"streams": encode(caller.tallies), "stalls_us": caller.stalls}), flush=True)
        sys.stdin.readline()  # what it has used can be read until it is let go


if __name__ == "__main__":
    main()
