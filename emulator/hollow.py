"""Hollow proxies: many in one process, each with the real decisions and the real watch, and no callers.

Calls are events fed to the module; nothing goes to a backend. What a proxy does for control is real: the
socket, the parsing, `Reader` and `Balancer.members`.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

from balancer.decide import Balancer
from balancer.endpoints import UpdateKind
from balancer.events import Action, Outcome, StartAttempt
from balancer.settings_reader import read_settings
from emulator import meter, topology
from emulator.registry import HOST
from proxy.discovery.watch import DiscoveredEndpoint, DiscoveryClient, EndpointReader, WatchConnection

STEP = 0.02  # seconds between two feedings of calls
LATENCY = 0.004  # seconds that a fed call takes at its backend
AT_ONCE = 8  # watches that are begun together: a start must not look like silence to the rest
TOLD_WITHIN = 30.0  # seconds in which a watch that was begun has told its list
LOOK = 0.1  # seconds between two looks at who is behind: looking costs too
AGE_MOST = 600_000_000  # microseconds that an age is told apart up to
Stamps = Mapping[int, tuple[float, frozenset[str]]]  # by version: when it was told, of which backends


def ages() -> HdrHistogram:
    """A histogram of ages in microseconds, to three digits."""
    return HdrHistogram(1, AGE_MOST, 3)


def reader() -> EndpointReader:
    """What reads the entries of a topology."""
    return EndpointReader(
        {name: place for place, name in enumerate(topology.ZONES)},
        {name: place for place, name in enumerate(topology.TYPES)},
    )


class MeteredDiscovery(DiscoveryClient):
    """The real watch, which notes when it took in which versions and what that cost."""

    taken: list[tuple[float, int, int]]  # monotonic time, the version before, the version taken in
    spent: dict[int, float]  # processor time of reading and taking in entries, in each whole second

    def message(self, watch: WatchConnection, message: Mapping[str, Any] | None) -> None:
        """One object of a watch."""
        if message is None:
            super().message(watch, message)
            return
        begun, before = time.thread_time(), self._index
        super().message(watch, message)
        now = time.monotonic()
        self.taken.append((now, before, self._index))
        self.spent[int(now)] = self.spent.get(int(now), 0.0) + time.thread_time() - begun

    @property
    def index(self) -> int:
        """The version held."""
        return self._index


class Hollow:
    """One proxy without callers and backends."""

    def __init__(
        self, wire: dict[str, Any], seed: int, port: int, read: EndpointReader, view: frozenset[str] | None
    ) -> None:
        loop = asyncio.get_running_loop()
        self._loop, self._epoch = loop, time.time() - loop.time()
        self.balancer = Balancer(read_settings(wire), seed)
        self.view = view  # the backends whose changes it is told; None: all
        self.told = asyncio.Event()
        self.wholes = 0
        self.discovery = MeteredDiscovery((HOST, port), read, 0, self._told)
        self.discovery.taken, self.discovery.spent = [], {}
        self._calls = 0

    def _now(self) -> float:
        return self._loop.time() + self._epoch

    def _told(self, kind: UpdateKind, endpoints: list[DiscoveredEndpoint]) -> None:
        if endpoints or kind is not UpdateKind.DELTA:
            self.balancer.on_endpoints_updated(self._now(), kind, [endpoint.row for endpoint in endpoints])
            self.wholes += kind is UpdateKind.SNAPSHOT
        self.told.set()

    def call(self) -> None:
        """One call from its arrival to its answer, as the module sees it."""
        self._calls += 1
        rid, now = str(self._calls), self._now()
        self._answer(now + LATENCY, rid, self.balancer.on_request(now, rid, self._calls % 2), 0)

    def _answer(self, now: float, rid: str, actions: list[Action], number: int) -> None:
        if any(isinstance(action, StartAttempt) for action in actions):
            self.balancer.on_attempt_finished(now, rid, number, Outcome.SUCCESS, LATENCY, True)

    def behind(self, latest: Mapping[str, int]) -> bool:
        """Whether it has not taken in the latest version of a backend that it is told."""
        names = latest.keys() if self.view is None else self.view & latest.keys()
        return self.discovery.index < max((latest[name] for name in names), default=0)

    def ages_of(self, stamps: Stamps) -> dict[int, float]:
        """The age in seconds of each version that concerns it, when it took that in."""
        found: dict[int, float] = {}
        for at, before, index in self.discovery.taken:
            for version in range(max(before + 1, min(stamps, default=index + 1)), index + 1):
                stamp = stamps.get(version)
                if stamp and version not in found and (self.view is None or self.view & stamp[1]):
                    found[version] = at - stamp[0]
        return found


class Host:
    """The hollow proxies of one process."""

    def __init__(self, seed: int, backends: int, services: int | None = None) -> None:
        self._topology = topology.build(seed, backends, services)
        self._seed = seed
        self._read = reader()
        self._proxies: list[Hollow] = []
        self._feeding: asyncio.Task[None] | None = None

    async def add(
        self, places: list[tuple[int, int]], fleet: int | None = None, narrow: bool = False
    ) -> dict[str, Any]:
        """Begin a proxy for each (place, port), `fleet` in all; what that has added to this process.

        `narrow`: the port tells the backends of the services that the place's calls. TimeoutError where a
        list is not told in time.
        """
        gc.collect()
        before = meter.own()
        for first in range(0, len(places), AT_ONCE):
            batch = places[first : first + AT_ONCE]
            begun = [self._make(place, port, fleet, narrow) for place, port in batch]
            for proxy in begun:
                proxy.discovery.open()
            async with asyncio.timeout(TOLD_WITHIN):
                for proxy in begun:
                    await proxy.told.wait()
            self._proxies += begun
        gc.collect()
        after = meter.own()
        return {
            "processor": after.processor - before.processor,
            "memory": after.memory - before.memory,
            "proxies": len(places),
            "resident": after.memory,
        }

    def freeze(self) -> None:
        """Spare the collector what is there now, as the real proxy does once it has its list."""
        gc.collect()
        gc.freeze()

    def _make(self, place: int, port: int, fleet: int | None, narrow: bool) -> Hollow:
        view = None
        if narrow:
            rows = self._topology.next_rows(self._topology.service_of[place])
            view = frozenset(self._topology.entries[row]["name"] for row in rows)
        wire = topology.settings(self._topology, place, fleet)
        return Hollow(wire, self._seed + place, port, self._read, view)

    async def caught_up(self, latest: dict[str, int], within: float) -> bool:
        """Wait until no proxy is behind those versions; False where that takes longer."""
        end = time.monotonic() + within
        while any(proxy.behind(latest) for proxy in self._proxies):
            if time.monotonic() > end:
                return False
            await asyncio.sleep(LOOK)
        return True

    async def had_wholes(self, each: int, within: float) -> bool:
        """Wait until every proxy has had so many whole lists; False where that takes longer."""
        end = time.monotonic() + within
        while any(proxy.wholes < each for proxy in self._proxies):
            if time.monotonic() > end:
                return False
            await asyncio.sleep(LOOK)
        return True

    def calls(self, rate: float) -> None:
        """Feed so many calls a second to each proxy from now on; 0: none."""
        if self._feeding is not None:
            self._feeding.cancel()
            self._feeding = None
        if rate > 0.0:
            self._feeding = asyncio.get_running_loop().create_task(self._feed(rate))

    async def _feed(self, rate: float) -> None:
        loop = asyncio.get_running_loop()
        begun, done = loop.time(), 0
        while True:
            await asyncio.sleep(STEP)
            due = int((loop.time() - begun) * rate)
            for proxy in self._proxies:
                for _ in range(due - done):
                    proxy.call()
            done = due

    def spent(self) -> meter.Usage:
        """What this process has spent."""
        return meter.own()

    def worst_lists(self, begun: float, ended: float, span: float = meter.WORST_OVER) -> float:
        """The most processor time in seconds that one proxy gave to lists in any `span` between two times."""
        most = 0.0
        for proxy in self._proxies:
            seconds = {at: cost for at, cost in proxy.discovery.spent.items() if begun - 1.0 < at <= ended}
            for first in seconds:
                most = max(most, sum(cost for at, cost in seconds.items() if first <= at < first + span))
        return most

    def ages_of(self, stamps: Stamps) -> tuple[bytes, dict[int, float], int]:
        """Ages of versions at these proxies: the encoded histogram, the oldest by version, those missing."""
        histogram, last, missing = ages(), dict.fromkeys(stamps, 0.0), 0
        for proxy in self._proxies:
            found = proxy.ages_of(stamps)
            due = sum(proxy.view is None or bool(proxy.view & names) for _, names in stamps.values())
            missing += due - len(found)
            for version, age in found.items():
                histogram.record_value(max(1, min(AGE_MOST, round(age * 1e6))))
                last[version] = max(last[version], age)
        return histogram.encode(), last, missing


class _Sink(asyncio.Protocol):
    """A watch that reads and forgets."""

    def __init__(self) -> None:
        self.received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.write(b"GET /v1/servers?follow=1&since=0 HTTP/1.1\r\nHost: %b\r\n\r\n" % HOST.encode())

    def data_received(self, data: bytes) -> None:
        self.received += len(data)


class Sinks:
    """Watches that cost next to nothing, to load the registry alone."""

    def __init__(self) -> None:
        self._sinks: list[_Sink] = []

    async def add(self, port: int, count: int) -> None:
        """Open so many more; OSError where the registry refuses."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            sink = _Sink()
            await loop.create_connection(lambda sink=sink: sink, HOST, port)  # type: ignore[misc]
            self._sinks.append(sink)

    def received(self) -> int:
        """Bytes received by all."""
        return sum(sink.received for sink in self._sinks)
