"""Settings in force without a restart, at real proxies: age, processor time, memory, calls lost meanwhile."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from asyncio.subprocess import Process
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import numpy as np
import orjson

from emulator import added, fit
from emulator.backend import HOST, port_of
from emulator.caller import Plan, Stream, histogram, microseconds, plan_line
from emulator.meter import MB, process_usage
from emulator.result import commit, write_result
from emulator.runs.common import (
    CHANGES_PER_DAY,
    SECONDS_PER_DAY,
    RunOptions,
    RunResult,
    free_ports,
    report_progress,
)
from emulator.topology import BACKENDS

WITHIN = 6.0  # seconds in which a change must be in force
POLL = 0.01  # seconds between two looks at a proxy that has not got it yet: what an age is exact to
ANSWER = 1.0  # seconds that one look may take
KINDS = ("aim", "share", "size", "class")  # of change, one after the other
RATE = 20.0  # calls a second at each proxy that is called
PART = 2  # the memory is read this often over its swaps
VERSION = b"version "
NOTE = (
    "an age runs from before the first file of a change is written until a proxy's health check names "
    "it; a reload is one SIGHUP with other settings, reading the file and its known list included; a "
    "reread one with the same settings; their difference is the swap; what a proxy spends idle is taken "
    "off"
)


@dataclass(slots=True, frozen=True)
class Size:
    """How much is run; times in seconds."""

    proxies: int
    called: int  # proxies that are called meanwhile
    series: float  # time in which changes begin
    every: float  # between two changes
    rows: Sequence[int]  # lists at which the processor time is measured; the last one is the whole list
    swaps: int  # for one processor time
    memory_swaps: int
    gap: float  # between two SIGHUPs whose processor time counts: each is over when the next one comes


WHOLE = Size(24, 4, 12.0, 0.3, (12, 91, 300, BACKENDS), 20, 50, 0.05)
QUICK = Size(4, 2, 0.9, 0.15, (12, BACKENDS), 5, 10, 0.03)


# ---- pure ------------------------------------------------------------------------------------


def version_of(answer: bytes) -> str | None:
    """The version in force, from a whole answer to a health check; None where it names none."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = body.split(b"\n")
    if not head.startswith(b"HTTP/1.") or len(lines) < 2 or not lines[1].startswith(VERSION):
        return None
    return lines[1][len(VERSION) :].strip().decode("latin-1") or None


def names(version: str | None, label: str) -> bool:
    """Whether a version is the one that its file labels so: the label, then a digest."""
    return version is not None and version.rpartition("-")[0] == label


def taken(version: str | None) -> int | None:
    """How many configurations a process has taken, from a version without a label; None where not told."""
    count = (version or "").partition("-")[0]
    return int(count) if count.isascii() and count.isdigit() else None


def swapped(before: str | None, after: str | None) -> int | None:
    """How many swaps there were between two versions without labels; None where a version is not told.

    That may be fewer than signals sent: two that come before a process looks are one.
    """
    first, last = taken(before), taken(after)
    return None if first is None or last is None else last - first


def settings_at(number: int, proxies: int, ordinal: int) -> dict[str, Any]:
    """A proxy's settings after so many changes, each of the next of KINDS; no two in a row are the same."""
    kinds = len(KINDS)
    aim, share, size, class_ = ((number + kinds - 1 - place) // kinds for place in range(kinds))
    wire = added.settings(proxies, ordinal)
    read = wire["Services"][0]
    read["Aim"], read["HardLimit"] = 4.0 + 0.01 * (aim % 50), 5.0 + 0.01 * (aim % 50)
    wire["Orgs"] = [{"Name": "acme", "Share": 0.8 - 0.01 * (share % 10)}, {"Name": "other", "Share": 0.1}]
    wire["Instances"] = proxies + size % 10
    if class_ % 2:
        wire["Services"].append(read | {"Name": "extra"})
    return wire


def kind_of(number: int) -> str:
    """What kind the change of that number is, counted from 1."""
    return KINDS[(number - 1) % len(KINDS)]


@dataclass(slots=True)
class Ages:
    """How old changes were, in seconds, when they came into force at each proxy within the time for it.

    `given_up` holds how long the others were waited for.
    """

    in_force: list[float] = field(default_factory=list)
    given_up: list[float] = field(default_factory=list)

    def add(self, age: float, in_force: bool) -> None:
        """One change at one proxy; one that is too late is as one that never came."""
        (self.in_force if in_force and age <= WITHIN else self.given_up).append(age)

    def worst(self) -> float:
        """The oldest in seconds; where some were given up, it is at least that."""
        return max([*self.in_force, *self.given_up], default=0.0)

    def as_dict(self) -> dict[str, Any]:
        """Counts, and the distribution of those in force, as it goes into the result."""
        latencies = histogram()
        for age in self.in_force:
            latencies.record_value(microseconds(age))
        found = {"in_force": len(self.in_force), "of": len(self.in_force) + len(self.given_up)}
        return found | ({"age": added.distribution(latencies)} if self.in_force else {})


def lost(ended: Iterable[Mapping[str, int]]) -> dict[str, Any]:
    """All calls, and those that ended otherwise than with 200, by how they did."""
    total: Counter[str] = Counter()
    for counts in ended:
        total.update(counts)
    otherwise = {how: count for how, count in total.items() if how != "200" and count}
    return {"calls": sum(total.values()), "lost": sum(otherwise.values()), "otherwise": otherwise}


# ---- proxies ---------------------------------------------------------------------------------


@dataclass(slots=True)
class Proxy:
    """A real process, where it listens, and the file that it reads."""

    process: Process
    port: int
    path: Path
    config: dict[str, Any]  # without settings
    proxies: int
    ordinal: int

    def configure(self, number: int, label: str | None = None) -> None:
        """Put the file in place that holds the settings after so many changes."""
        put(
            self.path,
            self.config
            | ({"version": label} if label else {})
            | {"settings": settings_at(number, self.proxies, self.ordinal)},
        )

    def hang_up(self) -> None:
        """SIGHUP; RuntimeError where the process has ended."""
        if self.process.returncode is not None:
            raise RuntimeError(f"a proxy ended with {self.process.returncode}")
        self.process.send_signal(signal.SIGHUP)

    async def version(self) -> str | None:
        """The version in force; None where none is told in time."""
        try:
            return version_of(await asyncio.wait_for(added.look(self.port), ANSWER))
        except (OSError, TimeoutError):
            return None


def put(path: Path, config: dict[str, Any]) -> None:
    """Write a configuration file in one step: whoever reads meanwhile sees the old one or the new one."""
    beside = path.with_suffix(".new")
    beside.write_bytes(orjson.dumps(config))
    beside.replace(path)


@dataclass(slots=True)
class _Rig:
    """What all processes of the run have in common."""

    options: RunOptions
    stack: AsyncExitStack
    folder: Path
    ports: Sequence[int]  # of the stand-in backend
    rng: np.random.Generator
    made: int = 0

    async def proxies(self, rows: int, cores: Sequence[frozenset[int]]) -> list[Proxy]:
        """One tier of proxies, ready, one for each share of the cores."""
        known = {"index": 1, "snapshot": True, "endpoints": added.endpoints(rows, self.ports)}
        server = await asyncio.get_running_loop().create_server(lambda: added.Watch(known), HOST, 0)
        self.stack.callback(server.close)
        found = []
        for ordinal, (port, share) in enumerate(zip(free_ports(len(cores), self.rng), cores, strict=True)):
            self.made += 1
            path = self.folder / f"n{self.made}.json"
            config = {
                "name": f"n{self.made}",
                "listen": f"{HOST}:{port}",
                "limits": added.LIMITS,
                "known": known,
                "discovery": f"{HOST}:{port_of(server)}",
                "seed": f"{self.options.seed * 1000 + self.made:x}",
            }
            put(path, config | {"settings": settings_at(0, len(cores), ordinal)})
            process = await added.start(
                self.stack,
                share,
                "-m",
                "proxy",
                cwd=self.options.program,
                quiet=True,
                RELAY_CONFIG=str(path),
            )
            found.append(Proxy(process, port, path, config, len(cores), ordinal))
        await asyncio.gather(*(added.healthy(proxy.port) for proxy in found))
        return found


# ---- what is measured ------------------------------------------------------------------------


async def _wait(proxy: Proxy, label: str, begun: float) -> tuple[float, bool]:
    """The age of a change in seconds when it is in force, or when it is given up; whether it is in force."""
    while True:
        found = names(await proxy.version(), label)
        age = time.monotonic() - begun
        if found or age > WITHIN:
            return age, found
        await asyncio.sleep(POLL)


async def changes(proxies: Sequence[Proxy], size: Size) -> dict[str, Any]:
    """Changes at all proxies, one after the other; how old each was when in force, in all and by kind."""
    begun, number = time.monotonic(), 0
    every, by_kind = Ages(), {kind: Ages() for kind in KINDS}
    while (at := time.monotonic()) < begun + size.series:
        number += 1
        label = f"change-{number}"
        for proxy in proxies:
            proxy.configure(number, label)
            proxy.hang_up()
        for age, in_force in await asyncio.gather(*(_wait(proxy, label, at) for proxy in proxies)):
            every.add(age, in_force)
            by_kind[kind_of(number)].add(age, in_force)
        await asyncio.sleep(max(0.0, at + size.every - time.monotonic()))
    return {
        "changes": number,
        "worst": every.worst(),
        "all": every.as_dict(),
        "by_kind": {kind: ages.as_dict() for kind, ages in by_kind.items() if ages.worst()},
    }


async def under_calls(rig: _Rig, size: Size, cores: Sequence[int]) -> dict[str, Any]:
    """The changes, while some of the proxies are called."""
    placement = added.place(cores, size.proxies)
    proxies = await rig.proxies(size.rows[-1], placement.proxies)
    called = [Stream(f"n{n}", [proxy.port], RATE) for n, proxy in enumerate(proxies[: size.called])]
    caller = await added.start(rig.stack, placement.caller, "-m", "emulator.caller")
    await added.say(caller, plan_line(Plan(rig.options.seed, 0.0, size.series, called)))
    await added.heard(caller, added.PATIENCE)
    await added.say(caller, b"go\n")
    found = await changes(proxies, size)
    answer = added.heard(caller, size.series + added.PATIENCE)
    streams = orjson.loads(await answer)["streams"]
    for process in (caller, *(proxy.process for proxy in proxies)):  # what follows has the cores alone
        await added.stop(process)
    latencies = added.merged([stream["histogram"] for stream in streams])
    return found | {
        "calls": lost(stream["ended"] for stream in streams)
        | {"rate": RATE, "proxies": size.called, "latency": added.distribution(latencies)}
    }


async def _spent(proxy: Proxy, first: int, count: int, gap: float, step: int) -> float:
    """Processor seconds of so many SIGHUPs, one every `gap` seconds, each `step` (0 or 1) changes on."""
    before = process_usage(proxy.process.pid).processor
    for number in range(1, count + 1):
        if step:
            proxy.configure(first + step * number)
        proxy.hang_up()
        await asyncio.sleep(gap)
    return process_usage(proxy.process.pid).processor - before


async def swap(proxy: Proxy, rows: int, size: Size) -> dict[str, Any]:
    """Processor seconds of one reload, of a reread, and of the swap between them, at a list of rows.

    Where the proxy does not tell how many swaps there were, a reload is one signal.
    """
    before = process_usage(proxy.process.pid).processor
    await asyncio.sleep(size.swaps * size.gap)
    idle = process_usage(proxy.process.pid).processor - before
    reread = await _spent(proxy, 0, size.swaps, size.gap, 0) - idle
    first = await proxy.version()
    reload = await _spent(proxy, 0, size.swaps, size.gap, 1) - idle
    swaps = swapped(first, await proxy.version())
    reread, reload = reread / size.swaps, reload / (swaps or size.swaps)
    return {
        "rows": rows,
        "signals": size.swaps,
        "swaps": swaps,
        "reload": reload,
        "reread": reread,
        "swap": reload - reread,
    }


async def memory(proxy: Proxy, size: Size) -> dict[str, Any]:
    """Resident memory in MB of a proxy before, amid and after swaps."""
    first, part = await proxy.version(), size.memory_swaps // PART
    resident = [process_usage(proxy.process.pid).memory / MB]
    for place in range(PART):
        await _spent(proxy, place * part, part, size.gap, 1)
        resident.append(process_usage(proxy.process.pid).memory / MB)
    swaps = swapped(first, await proxy.version())
    proxy.configure(0)  # as at its start
    proxy.hang_up()
    await asyncio.sleep(size.gap)
    return {
        "signals": PART * part,
        "swaps": swaps,
        "resident_mb": resident,
        "grew_mb": resident[-1] - resident[0],
    }


async def alone(rig: _Rig, size: Size, cores: Sequence[int]) -> dict[str, Any]:
    """Memory and processor time of swaps at proxies without calls, one after the other."""
    proxies = [(await rig.proxies(rows, [frozenset(cores[-1:])]))[0] for rows in size.rows]
    grown = await memory(proxies[-1], size)
    points = [await swap(proxy, rows, size) for proxy, rows in zip(proxies, size.rows, strict=True)]
    fits = {}
    if len(points) >= fit.MIN_POINTS:
        fits = {
            figure: [each.as_dict() for each in fit.fit_all(size.rows, [point[figure] for point in points])]
            for figure in ("reload", "reread", "swap")
        }
    return {
        "memory": grown,
        "points": points,
        "fits": fits,
        "core_percent": 100.0 * points[-1]["reload"] * CHANGES_PER_DAY / SECONDS_PER_DAY,
    }


async def _run(options: RunOptions, size: Size, cores: Sequence[int]) -> dict[str, Any]:
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory()))
        backend = await added.start(
            stack,
            frozenset(cores[:1]),
            "-m",
            "emulator.backend",
            "--ports",
            str(added.PORTS_MOST),
            "--seconds",
            str(60.0 + size.series),
        )
        ports = orjson.loads(await added.heard(backend, added.PATIENCE))
        rig = _Rig(options, stack, folder, ports, np.random.default_rng([options.seed, len(KINDS)]))
        found = {"changes": await under_calls(rig, size, cores)}
        told, calls = found["changes"]["all"], found["changes"]["calls"]
        report_progress(
            "settings",
            f"{told['in_force']} of {told['of']} in force within {WITHIN:g} s, "
            f"worst {found['changes']['worst']:.3f} s; {calls['lost']} of {calls['calls']} calls lost",
        )
        return found | await alone(rig, size, cores)


def figures_of(body: Mapping[str, Any]) -> dict[str, float]:
    """The budgets' figures: the oldest change in seconds, the processor time of a reload in milliseconds."""
    return {"settings_age": body["changes"]["worst"], "settings_hold": 1e3 * body["points"][-1]["reload"]}


def run(options: RunOptions) -> RunResult:
    """Changes of settings at real proxies, by SIGHUP; writes settings.json."""
    begun, size = time.monotonic(), QUICK if options.quick else WHOLE
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, cores[:1])
    try:
        body = asyncio.run(_run(options, size, cores[1:] or cores))
    except added.RunError as fault:
        raise RuntimeError(str(fault)) from fault
    finally:
        os.sched_setaffinity(0, cores)
    point, grown = body["points"][-1], body["memory"]
    report_progress(
        "settings",
        f"{1e3 * point['reload']:.2f} ms of processor a reload at {point['rows']} rows, "
        f"{1e3 * point['reread']:.2f} of it to read; {grown['grew_mb']:.2f} MB more "
        f"after {grown['signals']} signals",
    )
    body |= {
        "quick": options.quick,
        "proxies": size.proxies,
        "rows": size.rows[-1],
        "cores": len(cores),
        "program": commit(options.program),
        "figures": figures_of(body),
        "note": NOTE,
        "duration": time.monotonic() - begun,
    }
    return RunResult(
        body["figures"], write_result(options.result_name("settings"), options.seed, body, options.out)
    )
