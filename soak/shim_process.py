"""The command of a proxy process that runs under the shim, and what /proc reports of the process."""

from __future__ import annotations

import shlex
import signal
import sys
import tomllib
from pathlib import Path

import psutil

from testbed.paths import PROJECT_ROOT

RUN_COMMAND = str(tomllib.loads((PROJECT_ROOT / "deploy" / "balancer.toml").read_text())["run"])
DEPLOYED_PROGRAM = ".venv/bin/python -m proxy"
HANGUP_BIT = 1 << (signal.SIGHUP - 1)  # in the signal masks of /proc


class UnknownRunCommandError(ValueError):
    """The deploy file's `run` does not start the program in the expected way."""

    def __init__(self, command: str) -> None:
        super().__init__(f"run in the deploy file does not contain {DEPLOYED_PROGRAM!r}: {command}")
        self.command = command


def shim_command() -> str:
    """Return the deploy file's command, with this interpreter and with the shim in place of the program."""
    if DEPLOYED_PROGRAM not in RUN_COMMAND:
        raise UnknownRunCommandError(RUN_COMMAND)
    return RUN_COMMAND.replace(DEPLOYED_PROGRAM, f"{shlex.quote(sys.executable)} -m soak.shim")


def survives_hangup(pid: int) -> bool:
    """Return whether a process ignores or handles SIGHUP now; False where there is no such process.

    The shell that runs the command does neither in its first moments, which the program can't change.
    """
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = dict(line.split(":", 1) for line in status.splitlines())
    return bool((int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) & HANGUP_BIT)


def resident_memory(pid: int) -> int:
    """Return a process's resident memory in bytes; 0 where there is no such process."""
    try:
        return int(psutil.Process(pid).memory_info().rss)
    except psutil.Error:
        return 0
