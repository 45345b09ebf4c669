"""Starts the stub backend and the load generator as separate processes, for the runs with real proxies."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from emulator.load.plan import LoadPlan, LoadReport
from testbed.processes import STARTUP_TIMEOUT, ManagedProcess, python_command, start_process

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

MAX_BACKEND_PORTS = 36  # longer endpoint lists contain each port more than once


class BackendProcess:
    """A running stub backend and its listening ports."""

    def __init__(self, process: ManagedProcess, ports: list[int]) -> None:
        self.process = process
        self.ports = ports

    @classmethod
    async def start(
        cls, stack: AsyncExitStack, cores: frozenset[int], port_count: int, seconds: float
    ) -> BackendProcess:
        """Start a backend; it ends with the stack, or by itself after `seconds`."""
        command = python_command(
            "-m", "testbed.backend_stub", "--ports", str(port_count), "--seconds", str(seconds)
        )
        process = await start_process(stack, command, cores)
        return cls(process, json.loads(await process.read_line(STARTUP_TIMEOUT)))


class LoadGeneratorProcess:
    """A running load generator that has its plan, and sends its requests after `begin` is called."""

    def __init__(self, process: ManagedProcess) -> None:
        self.process = process

    @classmethod
    async def start(
        cls, stack: AsyncExitStack, cores: frozenset[int], plan: LoadPlan
    ) -> LoadGeneratorProcess:
        """Start a load generator and wait until it is ready; it ends with the stack."""
        process = await start_process(stack, python_command("-m", "emulator.load.generator"), cores)
        await process.write_line(plan.to_line())
        await process.read_line(STARTUP_TIMEOUT)
        return cls(process)

    async def begin(self) -> None:
        """Make the load generator start its requests."""
        await self.process.write_line(b"go\n")

    async def report(self, max_wait: float) -> LoadReport:
        """Wait for the report; ProcessError if it does not arrive within `max_wait` seconds."""
        return LoadReport.from_line(await self.process.read_line(max_wait))
