"""Starts and stops child processes, exchanges lines with them over pipes, and reads their resource usage."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import psutil

from testbed.paths import PROJECT_ROOT

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import Mapping, Sequence
    from contextlib import AsyncExitStack

STARTUP_TIMEOUT = 10.0  # seconds until a process has to be ready
LINE_LIMIT = 16 << 20  # bytes of one line of a process's output
CONFIGURATION_PREFIX = "RELAY_"  # prefix of the environment variables that configure a proxy
HANGUP_BIT = 1 << (signal.SIGHUP - 1)  # bit of SIGHUP in the signal masks of /proc


class ProcessError(RuntimeError):
    """Base class of errors of child processes."""


class NoOutputError(ProcessError):
    """A process printed no line before the timeout."""

    def __init__(self, pid: int, seconds: float) -> None:
        super().__init__(f"process {pid} printed no line within {seconds:.0f} s")
        self.pid, self.seconds = pid, seconds


class OutputEndedError(ProcessError):
    """A process closed its standard output, probably because it ended."""

    def __init__(self, pid: int) -> None:
        super().__init__(f"process {pid} ended early")
        self.pid = pid


class ProcessEndedError(ProcessError):
    """A signal can't be sent because the process has ended."""

    def __init__(self, pid: int, exit_code: int) -> None:
        super().__init__(f"process {pid} ended with {exit_code}")
        self.pid, self.exit_code = pid, exit_code


class UnreadableUsageError(ProcessError):
    """The resource usage of a process can't be read, probably because the process has ended."""

    def __init__(self, pid: int, error: psutil.Error) -> None:
        super().__init__(f"the usage of process {pid} can't be read: {error}")
        self.pid = pid


@dataclass(slots=True, frozen=True)
class ProcessUsage:
    """The resources that a process has used since its start.

    Attributes:
        processor: Processor time in seconds, user and system. It has steps of 10 ms on Linux; the time that
            `testbed.meter` reads is exact.
        resident: Current resident memory in bytes.
        preemptions: Number of involuntary context switches.
    """

    processor: float
    resident: int
    preemptions: int


class ManagedProcess:
    """A child process that exchanges lines over its standard input and output."""

    def __init__(self, process: Process) -> None:
        self._process = process

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """The exit code; None while it runs."""
        return self._process.returncode

    async def write_line(self, line: bytes) -> None:
        """Write one line, which includes its newline, to the standard input."""
        assert self._process.stdin is not None
        self._process.stdin.write(line)
        await self._process.stdin.drain()

    async def read_line(self, within: float) -> bytes:
        """Read the next line of the standard output.

        Args:
            within: The timeout in seconds.

        Raises:
            NoOutputError: The process printed no line before the timeout.
            OutputEndedError: The process closed its standard output.
        """
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(within):
                line = await self._process.stdout.readline()
        except TimeoutError:
            raise NoOutputError(self.pid, within) from None
        if not line:
            raise OutputEndedError(self.pid)
        return line

    def send_signal(self, number: int) -> None:
        """Send a signal.

        Raises:
            ProcessEndedError: The process has ended.
        """
        if self.returncode is not None:
            raise ProcessEndedError(self.pid, self.returncode)
        self._process.send_signal(number)

    def usage(self) -> ProcessUsage:
        """Return the resources that the process has used.

        Raises:
            UnreadableUsageError: The process has ended.
        """
        try:
            process = psutil.Process(self.pid)
            times = process.cpu_times()
            preemptions = process.num_ctx_switches().involuntary
            return ProcessUsage(times.user + times.system, process.memory_info().rss, preemptions)
        except psutil.Error as error:
            raise UnreadableUsageError(self.pid, error) from error

    async def stop(self) -> None:
        """Send SIGKILL to the process if it still runs, and wait until it has ended."""
        if self.returncode is None:
            self._process.kill()
        await self._process.wait()


def inherited_environment() -> dict[str, str]:
    """Return this process's environment variables without those that configure a proxy."""
    return {name: value for name, value in os.environ.items() if not name.startswith(CONFIGURATION_PREFIX)}


def survives_hangup(pid: int) -> bool:
    """Return whether a process ignores or handles SIGHUP now; False if the process does not exist.

    The shell that runs the deploy file's command does neither at its start, so SIGHUP ends it. The program
    can't prevent that.
    """
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = dict(line.split(":", 1) for line in status.splitlines())
    return bool((int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) & HANGUP_BIT)


def python_command(*arguments: str) -> tuple[str, ...]:
    """Return the command that runs the interpreter of this process with the arguments."""
    return (sys.executable, *arguments)


async def start_process(
    stack: AsyncExitStack,
    command: Sequence[str],
    cores: frozenset[int],
    *,
    cwd: Path = PROJECT_ROOT,
    environment: Mapping[str, str] | None = None,
    discard_stderr: bool = False,
) -> ManagedProcess:
    """Start a process.

    Args:
        stack: Kills the process when it is closed.
        command: The program and its arguments.
        cores: The processor cores that the process may run on.
        cwd: The working directory; `python -m` searches it for modules first.
        environment: Environment variables in addition to the inherited ones.
        discard_stderr: Whether standard error is discarded; otherwise the process inherits it.
    """
    process = await asyncio.create_subprocess_exec(
        *command,
        cwd=cwd,
        env=inherited_environment() | {"OPENBLAS_NUM_THREADS": "1"} | dict(environment or {}),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL if discard_stderr else None,
        limit=LINE_LIMIT,
    )
    managed = ManagedProcess(process)
    stack.push_async_callback(managed.stop)
    os.sched_setaffinity(process.pid, cores)
    return managed
