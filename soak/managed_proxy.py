"""One proxy of a run: writes its configuration file, and starts, signals and stops its process.

`FaultInjector` decides when these methods are called.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from soak.history import History, ProxyIncarnation, TimeSpan
from testbed.deploy_file import run_command
from testbed.health_check import is_healthy
from testbed.meter import MB
from testbed.paths import PROJECT_ROOT
from testbed.process_memory import peak_resident_bytes
from testbed.processes import inherited_environment, survives_hangup

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import Iterator
    from pathlib import Path

    from soak.system_call_faults import SystemCallFaults
    from testbed.proxy_config import ProxyConfig

ACCEPTING_AFTER_TERMINATION = 0.3  # seconds after SIGTERM in which clients still open connections
SHIM = "soak.shim"  # the module that runs in place of the program
HEALTH_POLL_INTERVAL = 0.03  # seconds
START_TIMEOUT = 15.0  # seconds
MAX_LOG_LINES = 200  # recorded lines of the standard error of each process
#: Distance between the fault seeds of two runs, so that each start within a run has a seed of its own.
START_SEED_STRIDE = 1000
INVALID_CONFIGURATION = b'{"name": '
EVENT_LOG_VARIABLE = "RELAY_EVENT_LOG"


@dataclass(slots=True)
class LaunchOptions:
    """The options that all proxies of a run share.

    Attributes:
        folder: The folder of the configuration files and event logs.
        history: The history that records the processes.
        faults: The faults of the proxies' system calls.
        log_events: Whether the proxies write event logs.
        start_numbers: The numbers of the starts in the run, from 1.
    """

    folder: Path
    history: History
    faults: SystemCallFaults
    log_events: bool
    start_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))


class ManagedProxy:
    """One proxy: its configuration, and its current or latest process.

    Attributes:
        incarnation: The record of the current or latest process; None before the first start.
    """

    def __init__(self, number: int, config: ProxyConfig, options: LaunchOptions) -> None:
        self._number, self._config, self._options = number, config, options
        self._path = options.folder / f"{config.name}.json"
        self._process: Process | None = None
        self._log_task: asyncio.Task[None] | None = None
        self.incarnation: ProxyIncarnation | None = None

    @property
    def port(self) -> int:
        """The port that the proxy listens on."""
        return self._config.port

    def accepts_connections(self) -> bool:
        """Return whether clients still open new connections to this proxy."""
        incarnation, now = self.incarnation, time.monotonic()
        if incarnation is None or incarnation.ready_at > now:
            return False
        if incarnation.killed_at <= now or incarnation.ended_at <= now:
            return False
        return now < incarnation.terminated_at + ACCEPTING_AFTER_TERMINATION

    def is_shutting_down(self) -> bool:
        """Return whether SIGTERM has been sent to the process, and it has not ended."""
        incarnation, now = self.incarnation, time.monotonic()
        return incarnation is not None and incarnation.terminated_at <= now < incarnation.ended_at

    def reconfigure(self, **changed: Any) -> None:
        """Write a changed configuration file without sending a signal.

        Args:
            **changed: Fields of `ProxyConfig` and their new values.
        """
        self._config = replace(self._config, **changed)
        self.write_config()

    def write_invalid_config(self) -> None:
        """Replace the configuration file by an invalid one."""
        self._path.write_bytes(INVALID_CONFIGURATION)

    def write_config(self) -> None:
        """Write the latest valid configuration."""
        self._config.write(self._path)

    async def start(self) -> None:
        """Start a process, and wait until it is ready, it has exited or `START_TIMEOUT` has passed."""
        self.write_config()
        environment = self._environment(next(self._options.start_numbers))
        memory_limit = self._config.memory_mb * MB
        self.incarnation = incarnation = ProxyIncarnation(
            self._number, time.monotonic(), memory_limit=memory_limit
        )
        self._options.history.incarnations.append(incarnation)
        self._process = process = await asyncio.create_subprocess_shell(
            run_command(SHIM), cwd=PROJECT_ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        self._log_task = asyncio.get_running_loop().create_task(_record_log(process, incarnation))
        await self._wait_until_ready(process, incarnation)

    def _environment(self, start_number: int) -> dict[str, str]:
        """Return the environment variables of a new process."""
        options = self._options
        faults = replace(options.faults, seed=options.faults.seed * START_SEED_STRIDE + start_number)
        environment = inherited_environment() | {"RELAY_CONFIG": str(self._path), "PYTHONUNBUFFERED": "1"}
        if options.log_events:
            event_log = options.folder / f"{self._config.name}-{start_number}.events"
            environment[EVENT_LOG_VARIABLE] = str(event_log)
        return environment | faults.to_environment()

    async def _wait_until_ready(self, process: Process, incarnation: ProxyIncarnation) -> None:
        while process.returncode is None and time.monotonic() < incarnation.started_at + START_TIMEOUT:
            if await is_healthy(self.port):
                incarnation.ready_at = time.monotonic()
                return
            await asyncio.sleep(HEALTH_POLL_INTERVAL)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def survives_hangup(self) -> bool:
        """Return whether the process ignores or handles SIGHUP; SIGHUP may end it shortly after its start."""
        return self._process is not None and survives_hangup(self._process.pid)

    async def pause(self, seconds: float) -> None:
        """Pause the process by SIGSTOP, and resume it by SIGCONT."""
        incarnation = self.incarnation
        paused_at = time.monotonic()
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        if incarnation is not None:
            incarnation.paused.append(TimeSpan(paused_at, time.monotonic()))

    async def terminate(self, kill_after: float) -> None:
        """Send SIGTERM, then SIGKILL if the process has not ended after `kill_after` seconds."""
        process, incarnation = self._process, self.incarnation
        if process is None or incarnation is None:
            return
        self._record_memory(process, incarnation)
        incarnation.terminated_at = time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), kill_after)
        except TimeoutError:
            await self._kill(process, incarnation)
        await self._record_end(process, incarnation)

    async def kill(self) -> None:
        """Stop the process by SIGKILL."""
        process, incarnation = self._process, self.incarnation
        if process is None or incarnation is None:
            return
        self._record_memory(process, incarnation)
        await self._kill(process, incarnation)
        await self._record_end(process, incarnation)

    async def _kill(self, process: Process, incarnation: ProxyIncarnation) -> None:
        incarnation.killed_at = time.monotonic()
        self.signal(signal.SIGKILL)
        await process.wait()

    async def _record_end(self, process: Process, incarnation: ProxyIncarnation) -> None:
        incarnation.ended_at, incarnation.exit_code = time.monotonic(), process.returncode
        if self._log_task is not None:
            await self._log_task

    def _record_memory(self, process: Process, incarnation: ProxyIncarnation) -> None:
        if process.returncode is None:
            with suppress(OSError):
                incarnation.peak_resident = peak_resident_bytes(process.pid)

    def reap(self) -> None:
        """Record the end of a process that has exited without a signal of the run."""
        if self._process is None or self.incarnation is None or self._process.returncode is None:
            return
        self.incarnation.ended_at = min(self.incarnation.ended_at, time.monotonic())
        self.incarnation.exit_code = self._process.returncode


def was_killed(incarnation: ProxyIncarnation | None) -> bool:
    """Return whether SIGKILL has been sent to a process, or there never was a process."""
    return incarnation is None or incarnation.killed_at <= time.monotonic()


async def _record_log(process: Process, incarnation: ProxyIncarnation) -> None:
    """Record the first lines that a process writes to standard error, and discard the others."""
    assert process.stderr is not None
    async for line in process.stderr:
        if len(incarnation.log) < MAX_LOG_LINES:
            incarnation.log.append(line.decode(errors="replace").rstrip())
