"""The time that a proxy adds to a call: real processes on loopback, against the same backend called directly.

One trial runs a stand-in backend, a number of real proxies and one open-loop caller, which calls through each
proxy and, in the same run, straight at the backend. The time added is the difference of two quantiles,
through and direct: that is not a quantile of differences, since no call goes both ways.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from asyncio.subprocess import Process
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import click
import numpy as np
import psutil

from emulator.backend import HOST, port_of
from emulator.caller import Plan, Stream, histogram, plan_line
from emulator.result import RESULTS, write_result
from emulator.runs.common import free_ports

ROOT = Path(__file__).resolve().parent.parent
AVERAGE = 154.0  # calls a second at a proxy, of the size of two years...
SELDOM = 20.0  # ...at one that is seldom called...
BUSY = 3 * AVERAGE  # ...and at one that has several times the average
SERVICE, ALL = 12, 910  # rows in the list: a service's backends, and all there are
FLEET, BUSY_OF_FLEET = 24, 3
PORTS_MOST = 36  # that the stand-in backend listens on: longer lists name each of them more than once
WARMUP = 1.0  # seconds of calls that are not counted: connections come up
PATIENCE = 10.0  # seconds in which a process has to be up
KEEPALIVE = 2.0  # seconds between the empty lines of a watch
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
QUANTILES = {"median": 50.0, "p99": 99.0, "p999": 99.9, "max": 100.0}  # in percent
TICKS = 10  # points of a distribution's curve for each halving of what lies above


class RunError(Exception):
    """A process did not come up, or ended early."""


@dataclass(slots=True, frozen=True)
class Trial:
    """One measurement: a proxy for each of `rates` (calls a second), a list of `rows`."""

    name: str
    rates: Sequence[float]
    direct: float  # calls a second straight at the backend
    rows: int
    seconds: float  # counted, after the warm-up


@dataclass(slots=True, frozen=True)
class Placement:
    """The cores of each role; `own` where no process shares its core with another of the trial."""

    backend: frozenset[int]
    caller: frozenset[int]
    proxies: Sequence[frozenset[int]]
    own: bool


def place(cores: Sequence[int], proxies: int) -> Placement:
    """A core for each process where there are enough, else the proxies share what the others leave."""
    if len(cores) < 3:
        every = frozenset(cores)
        return Placement(every, every, [every] * proxies, False)
    rest = cores[2:]
    own = len(rest) >= proxies
    shares = [frozenset(rest[n : n + 1]) if own else frozenset(rest) for n in range(proxies)]
    return Placement(frozenset(cores[:1]), frozenset(cores[1:2]), shares, own)


def solo(rate: float, rows: int, seconds: float) -> Trial:
    """One proxy, and as many direct calls as go through it."""
    return Trial(f"one proxy, {rate:.0f}/s, {rows} rows", [rate], rate, rows, seconds)


def fleet(seconds: float) -> Trial:
    """All proxies at once, some of them busy; of direct calls as many as an average proxy has, four times."""
    rates = [BUSY] * BUSY_OF_FLEET + [AVERAGE] * (FLEET - BUSY_OF_FLEET)
    return Trial(f"{FLEET} proxies, {BUSY_OF_FLEET} of them busy", rates, 4 * AVERAGE, SERVICE, seconds)


def schedule(cores: Sequence[int]) -> list[list[Trial]]:
    """The whole run: the trials of one batch run side by side, each on cores of its own."""
    pair = len(cores) >= 7  # one for this process, three for each of two trials
    seconds = 27.0 if pair else 13.0
    trials = [solo(rate, rows, seconds) for rate in (AVERAGE, SELDOM) for rows in (SERVICE, ALL)]
    step = 2 if pair else 1
    return [trials[n : n + step] for n in range(0, len(trials), step)] + [[fleet(22.0)]]


# ---- the list, and a discovery that only ever says this list ------------------------------------


def endpoints(rows: int, ports: Sequence[int]) -> list[dict[str, Any]]:
    """A list in discovery's form; more rows than ports go round the ports."""
    return [
        {
            "name": f"s-{n}",
            "address": f"{HOST}:{ports[n % len(ports)]}",
            "zone": "here",
            "type": "k",
            "group": 0,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }
        for n in range(rows)
    ]


def settings(proxies: int, ordinal: int) -> dict[str, Any]:
    """The settings of a proxy of a tier of so many."""
    return {
        "Instances": proxies,
        "Ordinal": ordinal,
        "Services": [{"Name": "read", "Aim": 5.0, "HardLimit": 5.0, "Repeat": "retryable", "LateWorth": 1.0}],
        "Orgs": [{"Name": "acme", "Share": 1.0}],
        "Bounds": {"Cancel": True, "MaxAttempts": 5, "ConnIdle": 60.0, "DialTimeout": 0.25},
        "Rules": {"DrainGrace": 0.5, "ColdFrom": 0.5, "Cold": 0.0, "FallMultiple": 3.0, "TipAfter": 3.0},
        "Tiers": ["one"],
        "Zones": ["here"],
        "HostTypes": ["k"],
    }


class Watch(asyncio.Protocol):
    """One watch: it is told the whole list, and from then on that nothing changes."""

    def __init__(self, known: dict[str, Any]) -> None:
        self._line = json.dumps(known).encode() + b"\n"
        self._loop = asyncio.get_running_loop()
        self._tick: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, _data: bytes) -> None:
        """The request, which comes in one piece and says nothing that matters here."""
        if self._tick is None:
            self._transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._tell(self._line)

    def _tell(self, line: bytes) -> None:
        self._transport.write(b"%x\r\n%b\r\n" % (len(line), line))
        self._tick = self._loop.call_later(KEEPALIVE, self._tell, b"\n")

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        if self._tick is not None:
            self._tick.cancel()


# ---- processes ------------------------------------------------------------------------------------


async def start(
    stack: AsyncExitStack,
    cores: frozenset[int],
    *arguments: str,
    cwd: Path = ROOT,
    quiet: bool = False,
    **environ: str,
) -> Process:
    """This interpreter with these arguments, on these cores; killed when the stack ends.

    Modules come from `cwd` first; with `quiet`, what it says on standard error is dropped.
    """
    clean = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        cwd=cwd,
        env=clean | {"OPENBLAS_NUM_THREADS": "1"} | environ,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL if quiet else None,
        limit=16 << 20,
    )
    stack.push_async_callback(stop, process)
    os.sched_setaffinity(process.pid, cores)
    return process


async def stop(process: Process) -> None:
    """End it at once, and wait until it is gone."""
    if process.returncode is None:
        process.kill()
    await process.wait()


async def say(process: Process, line: bytes) -> None:
    """One line to its standard input."""
    assert process.stdin is not None
    process.stdin.write(line)
    await process.stdin.drain()


async def heard(process: Process, within: float) -> bytes:
    """The next line of its standard output; a RunError where there is none in time."""
    assert process.stdout is not None
    try:
        line = await asyncio.wait_for(process.stdout.readline(), within)
    except TimeoutError:
        raise RunError(f"process {process.pid} said nothing for {within:.0f} s") from None
    if not line:
        raise RunError(f"process {process.pid} ended early")
    return line


async def look(port: int) -> bytes:
    """A proxy's whole answer to one health check."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
        return await reader.read()
    finally:
        writer.close()


async def healthy(port: int) -> None:
    """Wait until a proxy answers 200 to its health check; a RunError where it does not in time."""
    end = time.monotonic() + PATIENCE
    while time.monotonic() < end:
        try:
            if (await look(port)).startswith(b"HTTP/1.1 200 "):
                return
        except OSError:
            pass
        await asyncio.sleep(0.05)
    raise RunError(f"the proxy at port {port} was not ready within {PATIENCE:.0f} s")


@dataclass(slots=True, frozen=True)
class Usage:
    """What a process has used since its start: processor seconds, bytes resident now, times preempted."""

    cpu: float
    resident: int
    preempted: int


def usage(pid: int) -> Usage:
    """What a process has used so far, as psutil reads it: processor time in steps of 10 ms on Linux.

    Raises RunError where it is gone.
    """
    try:
        process = psutil.Process(pid)
        times = process.cpu_times()
        preempted = process.num_ctx_switches().involuntary
        return Usage(times.user + times.system, process.memory_info().rss, preempted)
    except psutil.Error as fault:
        raise RunError(str(fault)) from fault


# ---- one trial --------------------------------------------------------------------------------------


async def proxies(
    stack: AsyncExitStack, trial: Trial, placement: Placement, seed: int, ports: Sequence[int]
) -> tuple[list[Process], list[int]]:
    """The trial's proxies, ready for calls, and the ports they listen on."""
    known = {"index": 1, "snapshot": True, "endpoints": endpoints(trial.rows, ports)}
    discovery = await asyncio.get_running_loop().create_server(lambda: Watch(known), HOST, 0)
    stack.callback(discovery.close)
    folder = Path(stack.enter_context(TemporaryDirectory()))
    # By the trial's name too: two that run at once must not come upon the same ports.
    listens = free_ports(len(trial.rates), np.random.default_rng([seed, *trial.name.encode()]))
    processes = []
    for n, (port, cores) in enumerate(zip(listens, placement.proxies, strict=True)):
        path = folder / f"n{n}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"n{n}",
                    "listen": f"{HOST}:{port}",
                    "discovery": f"{HOST}:{port_of(discovery)}",
                    "seed": f"{seed * 1000 + n:016x}",
                    "limits": LIMITS,
                    "known": known,
                    "settings": settings(len(listens), n),
                }
            )
        )
        processes.append(await start(stack, cores, "-m", "proxy", RELAY_CONFIG=str(path)))
    await asyncio.gather(*map(healthy, listens))
    return processes, listens


async def measure(trial: Trial, cores: Sequence[int], seed: int) -> dict[str, Any]:
    """Run one trial on these cores; its figures as they go into the result."""
    placement = place(cores, len(trial.rates))
    async with AsyncExitStack() as stack:
        length = WARMUP + trial.seconds + 3 * PATIENCE
        backend = await start(
            stack,
            placement.backend,
            "-m",
            "emulator.backend",
            "--ports",
            str(min(trial.rows, PORTS_MOST)),
            "--seconds",
            str(length),
        )
        ports = json.loads(await heard(backend, PATIENCE))
        processes, listens = await proxies(stack, trial, placement, seed, ports)
        through = [
            Stream(f"n{n}", [port], rate)
            for n, (port, rate) in enumerate(zip(listens, trial.rates, strict=True))
        ]
        plan = Plan(seed, WARMUP, trial.seconds, [*through, Stream("direct", ports, trial.direct)])
        caller = await start(stack, placement.caller, "-m", "emulator.caller")
        await say(caller, plan_line(plan))
        await heard(caller, PATIENCE)
        measured = [*processes, backend, caller]
        before = [usage(process.pid) for process in measured]
        await say(caller, b"go\n")
        answer = json.loads(await heard(caller, WARMUP + trial.seconds + PATIENCE))
        after = [usage(process.pid) for process in measured]
    return report(trial, placement, answer, before, after)


# ---- figures ----------------------------------------------------------------------------------------


def merged(encoded: Sequence[str]) -> Any:
    """One HDR histogram of all these in compressed form."""
    whole = histogram()
    for text in encoded:
        whole.decode_and_add(text)
    return whole


def quantiles(latencies: Any) -> dict[str, int]:
    """Median, 99 and 99.9 in 100, and maximum of an HDR histogram, in its unit."""
    return {name: int(latencies.get_value_at_percentile(part)) for name, part in QUANTILES.items()}


def difference(through: dict[str, int], direct: dict[str, int]) -> dict[str, int]:
    """By how much each quantile through the proxy lies above the direct one; may be negative."""
    return {name: through[name] - direct[name] for name in QUANTILES}


def curve(latencies: Any) -> list[tuple[float, int]]:
    """Percentile and value pairs of an HDR histogram, ascending, closer together towards 100."""
    points = latencies.get_percentile_iterator(TICKS)
    return [(round(p.percentile_level_iterated_to, 6), int(p.value_iterated_to)) for p in points]


def distribution(latencies: Any) -> dict[str, Any]:
    """A histogram of microseconds as it goes into the result."""
    count = int(latencies.get_total_count())
    return {"count": count, "us": quantiles(latencies), "curve_us": curve(latencies)}


def proxy_row(rate: float, row: dict[str, Any], before: Usage, after: Usage) -> dict[str, Any]:
    """One proxy's own figures; its processor time covers the warm-up and what it does beside calls."""
    calls = sum(row["ended"].values())
    latencies = merged([row["histogram"]])
    return {
        "rate": rate,
        "ended": row["ended"],
        "count": int(latencies.get_total_count()),
        "us": quantiles(latencies),
        "cpu_ms_per_call": 1000.0 * (after.cpu - before.cpu) / max(1, calls),
        "resident_mb": after.resident / 2**20,
        "resident_mb_before": before.resident / 2**20,
        "preempted": after.preempted - before.preempted,
    }


def report(
    trial: Trial,
    placement: Placement,
    answer: dict[str, Any],
    before: Sequence[Usage],
    after: Sequence[Usage],
) -> dict[str, Any]:
    """A trial's figures, from the caller's answer and what the proxies, the backend and the caller used.

    `disturbed` tells whether the cores were their own: the caller polls, so a gap between two polls, or being
    preempted, means that something else ran there.
    """
    rows = answer["streams"]
    direct = merged([rows[-1]["histogram"]])
    groups = {"all": [row["histogram"] for row in rows[:-1]]}
    if len(set(trial.rates)) > 1:
        for rate in sorted(set(trial.rates)):
            groups[f"{rate:.0f}/s"] = [
                row["histogram"] for row, own in zip(rows, trial.rates, strict=False) if own == rate
            ]
    latencies = {name: merged(encoded) for name, encoded in groups.items()}
    return {
        "rows": trial.rows,
        "seconds": trial.seconds,
        "rates": list(trial.rates),
        "cores": {
            "backend": sorted(placement.backend),
            "caller": sorted(placement.caller),
            "proxies": [sorted(share) for share in placement.proxies],
            "one_process_each": placement.own,
        },
        "direct": distribution(direct) | {"rate": trial.direct, "ended": rows[-1]["ended"]},
        "through": {name: distribution(one) for name, one in latencies.items()},
        "added_us": {name: difference(quantiles(one), quantiles(direct)) for name, one in latencies.items()},
        "proxies": [proxy_row(*each) for each in zip(trial.rates, rows[:-1], before, after, strict=False)],
        "disturbed": {
            "caller_stalls": len(answer["stalls_us"]),
            "caller_stall_us": max(answer["stalls_us"], default=0),
            "backend_preempted": after[-2].preempted - before[-2].preempted,
            "caller_preempted": after[-1].preempted - before[-1].preempted,
            "backend_cpu": (after[-2].cpu - before[-2].cpu) / (WARMUP + trial.seconds),
        },
    }


def budgeted(figures: dict[str, Any]) -> dict[str, float]:
    """The figures that have a budget, by its name: milliseconds added to 99 in 100 calls."""
    names = {
        "added_p99": solo(AVERAGE, SERVICE, 0.0).name,
        "added_p99_all_rows": solo(AVERAGE, ALL, 0.0).name,
        "added_p99_fleet": fleet(0.0).name,
    }
    return {
        budget: figures[name]["added_us"]["all"]["p99"] / 1000.0
        for budget, name in names.items()
        if name in figures
    }


def summary(name: str, figures: dict[str, Any]) -> str:
    """One line on a trial."""
    added = figures["added_us"]["all"]
    ms = ", ".join(f"{quantile} {added[quantile] / 1000.0:.2f}" for quantile in QUANTILES)
    cpu = [row["cpu_ms_per_call"] for row in figures["proxies"]]
    resident = max(row["resident_mb"] for row in figures["proxies"])
    failed = sum(
        count
        for row in [*figures["proxies"], figures["direct"]]
        for how, count in row["ended"].items()
        if how != "200"
    )
    disturbed = figures["disturbed"]
    stalls, longest = disturbed["caller_stalls"], disturbed["caller_stall_us"] / 1000.0
    return (
        f"{name}: added ms: {ms}; {figures['through']['all']['count']} calls, {failed} not served; "
        f"{sum(cpu) / len(cpu):.2f} ms of processor a call, {resident:.0f} MB at most; "
        f"the caller's core was taken {stalls} times, {longest:.1f} ms at most"
    )


async def run(batches: Sequence[Sequence[Trial]], cores: Sequence[int], seed: int) -> dict[str, Any]:
    """All batches one after another; the figures of each trial by its name."""
    figures: dict[str, Any] = {}
    for batch in batches:
        click.echo(f"added: {'; '.join(trial.name for trial in batch)}: {batch[0].seconds:.0f} s")
        part = max(1, len(cores) // len(batch))
        shares = [cores[n * part : (n + 1) * part] or cores for n in range(len(batch))]
        done = await asyncio.gather(*(measure(*each, seed) for each in zip(batch, shares, strict=True)))
        for trial, one in zip(batch, done, strict=True):
            figures[trial.name] = one
            click.echo(f"added: {summary(trial.name, one)}")
    return figures


@click.command("added")
@click.option(
    "--seed",
    type=click.IntRange(0, 2**32 - 1),
    default=1,
    show_default=True,
    help="Of the arrivals and the proxies.",
)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), default=RESULTS, help="Folder for the result."
)
@click.option("--quick", is_flag=True, help="One proxy for some 5 s instead of the whole, some 95 s.")
def command(seed: int, out: Path, quick: bool) -> None:
    """The time that real proxies add to a call, against the same backend called directly."""
    try:
        out.mkdir(parents=True, exist_ok=True)  # rather now than after the whole run
    except OSError as fault:
        raise click.BadParameter(str(fault), param_hint="--out") from fault
    cores = sorted(os.sched_getaffinity(0))
    own, rest = cores[:1], cores[1:] or cores
    os.sched_setaffinity(0, own)
    batches = [[solo(AVERAGE, SERVICE, 2.5)]] if quick else schedule(cores)
    began = time.monotonic()
    try:
        figures = asyncio.run(run(batches, rest, seed))
    except (RunError, OSError) as fault:
        click.echo(f"added: {fault}", err=True)
        sys.exit(1)
    finally:
        os.sched_setaffinity(0, cores)
    body = {
        "cores": len(cores),
        "wall_s": time.monotonic() - began,
        "warmup_s": WARMUP,
        "trials": figures,
        "figures": budgeted(figures),
    }
    path = write_result("added-quick" if quick else "added", seed, body, out)
    click.echo(f"added: {path}")
