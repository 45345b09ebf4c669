"""What the runs share: options, progress, ports, and the changes that are told."""

from __future__ import annotations

import signal
import socket
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from emulator.registry import HOST
from emulator.result import ROOT
from emulator.topology import Entry

CHANGES_A_DAY, DAY = 2900, 86400.0  # the target's changes of configuration; seconds
PORTS = range(20000, 32000)  # below those that connections get: a client must not meet itself at a shut port


@dataclass(slots=True, frozen=True)
class Options:
    """What every run is told; `program` is the tree of the proxy, where a run can measure another one."""

    seed: int
    out: Path
    quick: bool
    program: Path = ROOT

    def name(self, run: str) -> str:
        """What a run's result is called: a small edition overwrites no whole one."""
        return f"{run}-quick" if self.quick else run


@dataclass(slots=True, frozen=True)
class Done:
    """What a run gives back: the figures for the budgets, and where its result is."""

    figures: dict[str, float]
    path: Path


@contextmanager
def bounded(seconds: int) -> Iterator[None]:
    """TimeoutError in whatever the block is at after so many seconds; for the main thread alone."""

    def late(*_: object) -> None:
        raise TimeoutError(f"it takes more than {seconds} s")

    former = signal.signal(signal.SIGALRM, late)
    signal.alarm(seconds)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, former)


def say(run: str, text: str) -> None:
    """One line of progress."""
    print(f"{run}: {text}", file=sys.stderr, flush=True)


def free_ports(count: int, rng: np.random.Generator) -> list[int]:
    """So many ports that nobody listens at now; OSError where there are not enough."""
    found: list[int] = []
    for port in np.roll(np.array(PORTS), int(rng.integers(len(PORTS)))):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, int(port)))
            except OSError:
                continue
        found.append(int(port))
        if len(found) == count:
            return found
    raise OSError(f"no {count} free ports from {PORTS.start} to {PORTS.stop}")


def cost(action: Callable[[], Any], seconds: float, least: int = 3) -> float:
    """Seconds of processor time of an action: the mean over about so many seconds, after one to warm up."""
    action()
    begun, count = time.process_time(), 0
    while count < least or time.process_time() - begun < seconds:
        action()
        count += 1
    return (time.process_time() - begun) / count


def paced(rate: float, seconds: float) -> Iterator[int]:
    """Counts 0 up, so many a second, each at its time."""
    begun = time.monotonic()
    for number in range(max(1, round(rate * seconds))):
        time.sleep(max(0.0, begun + number / rate - time.monotonic()))
        yield number
    time.sleep(max(0.0, begun + seconds - time.monotonic()))


def poisson(rng: np.random.Generator, rate: float, seconds: float) -> Iterator[None]:
    """Random moments, so many a second on average, each at its time; one at least."""
    begun, at = time.monotonic(), min(seconds / 2.0, float(rng.exponential(1.0 / rate)))
    while at <= seconds:
        time.sleep(max(0.0, begun + at - time.monotonic()))
        yield
        at += float(rng.exponential(1.0 / rate))
    time.sleep(max(0.0, begun + seconds - time.monotonic()))


class Changes:
    """The list as it stands, and the entries of its next changes."""

    def __init__(self, entries: Sequence[Entry], rng: np.random.Generator) -> None:
        self.entries = list(entries)
        self._rng = rng

    def _set(self, place: int, **changed: Any) -> Entry:
        self.entries[place] = self.entries[place] | changed
        return self.entries[place]

    def any_row(self) -> Entry:
        """Some backend drains, or comes back as a new process where it did."""
        place = int(self._rng.integers(len(self.entries)))
        if self.entries[place]["status"] == "in_service":
            return self._set(place, status="terminating")
        return self.back(place)

    def lose(self, place: int) -> Entry:
        """A backend is gone."""
        return self._set(place, status="terminated")

    def back(self, place: int) -> Entry:
        """A backend comes up cold."""
        return self._set(place, status="in_service", since_ms=int(time.time() * 1000))

    def replace(self, place: int) -> Entry:
        """A backend comes up cold on another machine."""
        host, _, port = str(self.entries[place]["address"]).partition(":")
        self._set(place, address=f"{host}:{int(port) + 1}")
        return self.back(place)
