"""What a load generator does and what it reports: plain values, and the JSON lines that carry them.

Nothing here opens a connection or reads a clock: that is `emulator.load.generator`.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from numpy.typing import NDArray

SERVED = "200"  # the status of a call that counts as served


@dataclass(slots=True, frozen=True)
class Stream:
    """Calls of one kind: Poisson arrivals at `rate` calls a second, each to one of `ports` at random."""

    name: str
    ports: Sequence[int]
    rate: float


@dataclass(slots=True, frozen=True)
class LoadPlan:
    """The streams of one load generator.

    Attributes:
        seed: For everything random.
        warmup: Seconds of calls that are not counted.
        seconds: Seconds of calls after those, which are counted.
        streams: The kinds of calls.
    """

    seed: int
    warmup: float
    seconds: float
    streams: Sequence[Stream]

    def to_line(self) -> bytes:
        """Encode the plan as the line that a load generator reads."""
        return json.dumps(asdict(self)).encode() + b"\n"

    @classmethod
    def from_line(cls, line: str | bytes) -> LoadPlan:
        """Decode such a line; ValueError, KeyError or TypeError where it holds no plan."""
        raw = json.loads(line)
        return cls(**(raw | {"streams": [Stream(**stream) for stream in raw["streams"]]}))


@dataclass(slots=True, frozen=True)
class ScheduledCall:
    """One call: its start in seconds from that of the plan, its stream's index in the plan, and its port."""

    at: float
    stream: int
    port: int


def poisson_times(rng: np.random.Generator, rate: float, seconds: float) -> NDArray[np.float64]:
    """Draw the times of a Poisson process: shape (n,), ascending, in seconds within [0, seconds).

    Given their number, the arrivals of a Poisson process are independent and uniform (Ross, Introduction to
    Probability Models, section 5.3).
    """
    return np.sort(rng.uniform(0.0, seconds, rng.poisson(rate * seconds)))


def schedule_calls(plan: LoadPlan) -> list[ScheduledCall]:
    """Draw all calls of a plan, in the order of their starts; the streams are independent and interleave."""
    calls: list[ScheduledCall] = []
    for index, stream in enumerate(plan.streams):
        rng = np.random.default_rng([plan.seed, index])
        times = poisson_times(rng, stream.rate, plan.warmup + plan.seconds)
        ports = rng.choice(np.asarray(stream.ports), len(times))
        calls += [ScheduledCall(float(at), index, int(port)) for at, port in zip(times, ports, strict=True)]
    return sorted(calls, key=lambda call: call.at)


@dataclass(slots=True, frozen=True)
class StreamReport:
    """The outcomes and latencies of one stream's calls.

    Attributes:
        ended: Number of calls by outcome: a status, or an outcome of `emulator.load.generator`.
        histogram: Latencies of the counted calls that were served, in HDR's compressed form.
    """

    ended: Mapping[str, int]
    histogram: str


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a load generator measured: its streams in the plan's order, and each stall of its own loop."""

    streams: Sequence[StreamReport]
    stalls_us: Sequence[int]

    def to_line(self) -> str:
        """Encode the report as the line that a load generator prints, without its end."""
        return json.dumps(asdict(self))

    @classmethod
    def from_line(cls, line: str | bytes) -> LoadReport:
        """Decode such a line."""
        raw = json.loads(line)
        return cls([StreamReport(**stream) for stream in raw["streams"]], raw["stalls_us"])
