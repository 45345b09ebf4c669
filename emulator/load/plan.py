"""The plan and the report of a load generator, and their encoding as lines of JSON.

`emulator.load.generator` carries out a plan.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from numpy.typing import NDArray

SERVED = "200"  # the status of a request that counts as served


@dataclass(slots=True, frozen=True)
class Stream:
    """Requests of one kind, with Poisson arrivals.

    Attributes:
        name: Name of the stream.
        ports: Ports to which requests are sent; each request goes to a random one.
        rate: Requests a second.
    """

    name: str
    ports: Sequence[int]
    rate: float


@dataclass(slots=True, frozen=True)
class LoadPlan:
    """The requests that one load generator sends.

    Attributes:
        seed: Seed of the random generator.
        warmup: Seconds in which requests are sent but not measured.
        seconds: Seconds in which requests are measured, after the warm-up.
        streams: The streams of requests, which are sent at the same time.
    """

    seed: int
    warmup: float
    seconds: float
    streams: Sequence[Stream]

    def to_line(self) -> bytes:
        """Encode the plan as a line of JSON, which a load generator reads."""
        return json.dumps(asdict(self)).encode() + b"\n"

    @classmethod
    def from_line(cls, line: str | bytes) -> LoadPlan:
        """Decode a plan; ValueError, KeyError or TypeError if the line is not a plan."""
        raw = json.loads(line)
        return cls(**(raw | {"streams": [Stream(**stream) for stream in raw["streams"]]}))


@dataclass(slots=True, frozen=True)
class ScheduledRequest:
    """One request of a plan.

    Attributes:
        start: Seconds from the start of the plan.
        stream: Index of the request's stream in the plan.
        port: Port to which the request is sent.
    """

    start: float
    stream: int
    port: int


def poisson_times(rng: np.random.Generator, rate: float, seconds: float) -> NDArray[np.float64]:
    """Draw the arrival times of a Poisson process within [0, seconds), in ascending order.

    Given their number, the arrivals of a Poisson process are independent and uniform (Ross, Introduction to
    Probability Models, section 5.3).
    """
    return np.sort(rng.uniform(0.0, seconds, rng.poisson(rate * seconds)))


def schedule_requests(plan: LoadPlan) -> list[ScheduledRequest]:
    """Draw all requests of a plan, sorted by start; the streams are drawn independently of each other."""
    requests: list[ScheduledRequest] = []
    for index, stream in enumerate(plan.streams):
        rng = np.random.default_rng([plan.seed, index])
        start_times = poisson_times(rng, stream.rate, plan.warmup + plan.seconds)
        ports = rng.choice(np.asarray(stream.ports), len(start_times))
        requests += [
            ScheduledRequest(float(start), index, int(port))
            for start, port in zip(start_times, ports, strict=True)
        ]
    return sorted(requests, key=lambda request: request.start)


@dataclass(slots=True, frozen=True)
class StreamReport:
    """Outcomes and latencies of the requests of one stream.

    Attributes:
        outcome_counts: Number of requests by outcome: an HTTP status, or `LOST` or `NO_RESPONSE` of
            `emulator.load.generator`.
        histogram: Latencies of the measured requests that were served, as an encoded HDR histogram.
    """

    outcome_counts: Mapping[str, int]
    histogram: str


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Measurements of a load generator.

    Attributes:
        streams: The reports of the streams, in the order of the plan.
        stalls_us: Length in microseconds of each stall of the load generator's own loop.
    """

    streams: Sequence[StreamReport]
    stalls_us: Sequence[int]

    def to_line(self) -> str:
        """Encode the report as JSON, without a line end."""
        streams = [{"ended": stream.outcome_counts, "histogram": stream.histogram} for stream in self.streams]
        return json.dumps({"streams": streams, "stalls_us": self.stalls_us})

    @classmethod
    def from_line(cls, line: str | bytes) -> LoadReport:
        """Decode a report."""
        raw = json.loads(line)
        streams = [StreamReport(stream["ended"], stream["histogram"]) for stream in raw["streams"]]
        return cls(streams, raw["stalls_us"])
