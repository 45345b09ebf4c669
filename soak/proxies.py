"""The proxies of a run as processes: starting, signalling, stopping and replacing them.

Owns the processes and the files that configure them. When what happens to them, `schedule` says.
"""

from __future__ import annotations

import asyncio
import shlex
import signal
import sys
import time
import tomllib
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import psutil

from soak.history import History, ProxyIncarnation, TimeSpan
from testbed.loopback import HOST
from testbed.paths import PROJECT_ROOT
from testbed.processes import inherited_environment

if TYPE_CHECKING:
    import random
    from asyncio.subprocess import Process

    from soak.shim import Faults
    from testbed.proxy_config import ProxyConfig

RUN = tomllib.loads((PROJECT_ROOT / "deploy" / "balancer.toml").read_text())["run"]
DEPLOYED_PROGRAM = ".venv/bin/python -m proxy"
NEW_CONNECTIONS_AFTER_TERMINATION = 0.3  # seconds for which the clients' side still sends some
HEALTH_POLL_INTERVAL = 0.03  # seconds
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
START_TIMEOUT = 15.0  # seconds
HANGUP_BIT = 1 << (signal.SIGHUP - 1)  # in the signal masks of /proc
MAX_LOG_LINES = 200  # kept of each process
EVENT_LOG_VARIABLE = "RELAY_EVENT_LOG"


def shim_command() -> str:
    """Return the deploy file's command with this interpreter, and the shim in the place of the program."""
    if DEPLOYED_PROGRAM not in RUN:
        raise ValueError(f"run in the deploy file is not known: {RUN}")
    return str(RUN.replace(DEPLOYED_PROGRAM, f"{shlex.quote(sys.executable)} -m soak.shim"))


def survives_hangup(pid: int) -> bool:
    """Return whether a process ignores or handles SIGHUP now; False where there is none.

    The shell that runs the command does neither in its first moments, which the program can't help.
    """
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = dict(line.split(":", 1) for line in status.splitlines())
    return bool((int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) & HANGUP_BIT)


@dataclass(slots=True)
class _Slot:
    """One proxy's place: its configuration and its present process."""

    config: ProxyConfig
    path: Path
    process: Process | None = None
    incarnation: ProxyIncarnation | None = None
    log_task: asyncio.Task[None] | None = None


class ProxyFleet:
    """All proxies of a run, by their number."""

    def __init__(self, folder: Path, history: History, faults: Faults, log_events: bool) -> None:
        self._folder, self._history, self._faults = folder, history, faults
        self._log_events = log_events
        self._slots: list[_Slot] = []
        self._starts = 0

    def add(self, config: ProxyConfig) -> None:
        """Add a proxy, which is not started yet."""
        self._slots.append(_Slot(config, self._folder / f"{config.name}.json"))

    def __len__(self) -> int:
        """Return how many proxies there are."""
        return len(self._slots)

    def port(self, proxy: int) -> int:
        """Return where a proxy listens."""
        return self._slots[proxy].config.port

    def incarnation(self, proxy: int) -> ProxyIncarnation | None:
        """Return the present or latest process of a proxy."""
        return self._slots[proxy].incarnation

    def pick(self, rng: random.Random) -> int | None:
        """Return a proxy that is up, as the clients' side would choose it; None if none is."""
        up = [proxy for proxy in range(len(self._slots)) if self.accepts_connections(proxy)]
        return rng.choice(up) if up else None

    def accepts_connections(self, proxy: int) -> bool:
        """Return whether the clients' side still sends new connections to a proxy."""
        incarnation, now = self._slots[proxy].incarnation, time.monotonic()
        if (
            incarnation is None
            or incarnation.ready_at > now
            or incarnation.killed_at <= now
            or incarnation.ended_at <= now
        ):
            return False
        return now < incarnation.terminated_at + NEW_CONNECTIONS_AFTER_TERMINATION

    def reconfigure(self, proxy: int, **changed: Any) -> None:
        """Write another configuration, without a signal."""
        slot = self._slots[proxy]
        slot.config = replace(slot.config, **changed)
        slot.config.write(slot.path)

    def spoil_config(self, proxy: int) -> None:
        """Write a file that is no configuration."""
        self._slots[proxy].path.write_bytes(b'{"name": ')

    def repair_config(self, proxy: int) -> None:
        """Write the configuration that is in force."""
        self._slots[proxy].config.write(self._slots[proxy].path)

    async def start_all(self) -> None:
        """Start all proxies and wait until each is ready."""
        await asyncio.gather(*(self.start(proxy) for proxy in range(len(self._slots))))

    async def start(self, proxy: int) -> None:
        """Start a proxy's process and wait until it is ready, or for a while."""
        slot = self._slots[proxy]
        slot.config.write(slot.path)
        self._starts += 1
        environment = inherited_environment() | {"RELAY_CONFIG": str(slot.path), "PYTHONUNBUFFERED": "1"}
        environment |= replace(self._faults, seed=self._faults.seed * 1000 + self._starts).to_environment()
        if self._log_events:
            environment[EVENT_LOG_VARIABLE] = str(self._folder / f"{slot.config.name}-{self._starts}.events")
        slot.incarnation = incarnation = ProxyIncarnation(proxy, time.monotonic())
        self._history.incarnations.append(incarnation)
        slot.process = process = await asyncio.create_subprocess_shell(
            shim_command(), cwd=PROJECT_ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        slot.log_task = asyncio.get_running_loop().create_task(_read_log(process, incarnation))
        await self._wait_until_ready(slot.config.port, process, incarnation)

    async def _wait_until_ready(self, port: int, process: Process, incarnation: ProxyIncarnation) -> None:
        while process.returncode is None and time.monotonic() < incarnation.started_at + START_TIMEOUT:
            if await _is_healthy(port):
                incarnation.ready_at = time.monotonic()
                return
            await asyncio.sleep(HEALTH_POLL_INTERVAL)

    def signal(self, proxy: int, number: signal.Signals) -> None:
        """Send a signal to a proxy's process, if there is one."""
        process = self._slots[proxy].process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    def survives_hangup(self, proxy: int) -> bool:
        """Return whether a proxy's process ignores or handles SIGHUP; in its first moments it may not yet."""
        process = self._slots[proxy].process
        return process is not None and survives_hangup(process.pid)

    async def hold_up(self, proxy: int, seconds: float) -> None:
        """Stop a proxy's process for a moment."""
        incarnation = self._slots[proxy].incarnation
        begin = time.monotonic()
        self.signal(proxy, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(proxy, signal.SIGCONT)
        if incarnation is not None:
            incarnation.paused.append(TimeSpan(begin, time.monotonic()))

    async def stop(self, proxy: int, kill_after: float | None) -> None:
        """End a proxy's process.

        Args:
            proxy: Its number.
            kill_after: Seconds from SIGTERM to SIGKILL; None kills at once.
        """
        slot = self._slots[proxy]
        process, incarnation = slot.process, slot.incarnation
        if process is None or incarnation is None:
            return
        if process.returncode is None:
            incarnation.resident = _resident(process.pid)
        if kill_after is not None:
            incarnation.terminated_at = time.monotonic()
            self.signal(proxy, signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), kill_after)
            except TimeoutError:
                kill_after = None
        if kill_after is None:
            incarnation.killed_at = time.monotonic()
            self.signal(proxy, signal.SIGKILL)
            await process.wait()
        incarnation.ended_at, incarnation.exit_code = time.monotonic(), process.returncode
        if slot.log_task is not None:
            await slot.log_task

    async def stop_all(self, kill_after: float) -> None:
        """End all proxies in order, but kill those that do not end in time."""
        await asyncio.gather(*(self.stop(proxy, kill_after) for proxy in range(len(self._slots))))

    def note_ended(self) -> None:
        """Note processes that have ended by themselves."""
        for slot in self._slots:
            if (
                slot.process is not None
                and slot.process.returncode is not None
                and slot.incarnation is not None
            ):
                slot.incarnation.ended_at = min(slot.incarnation.ended_at, time.monotonic())
                slot.incarnation.exit_code = slot.process.returncode


def _resident(pid: int) -> int:
    try:
        return int(psutil.Process(pid).memory_info().rss)
    except psutil.Error:
        return 0


async def _is_healthy(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(HEALTH_REQUEST)
        async with asyncio.timeout(1.0):
            line = await reader.readline()
        writer.close()
    except (OSError, TimeoutError):
        return False
    return line.startswith(b"HTTP/1.1 200")


async def _read_log(process: Process, incarnation: ProxyIncarnation) -> None:
    """Keep what a process writes to standard error."""
    assert process.stderr is not None
    async for line in process.stderr:
        if len(incarnation.log) < MAX_LOG_LINES:
            incarnation.log.append(line.decode(errors="replace").rstrip())
