"""Real proxies whose configuration file changes while they run, each with its file and its SIGHUP."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import numpy as np

from emulator.fleet.stub_fleet import endpoint_snapshot
from emulator.runs.settings_changes import settings_after
from testbed.discovery.registry import serve_static_list
from testbed.health_check import configuration_version, fetch_health, wait_until_healthy
from testbed.loopback import free_ports
from testbed.proxy_config import ProxyConfig

if TYPE_CHECKING:
    from collections.abc import Sequence
    from contextlib import AsyncExitStack
    from pathlib import Path

    from testbed.processes import ManagedProcess
    from testbed.proxy_program import ProxyProgram

HEALTH_TIMEOUT = 1.0  # seconds that one health check may take
RANDOM_STREAM = 4  # keeps the ports drawn here apart from what other runs draw from the same seed


@dataclass(slots=True, frozen=True)
class ReloadableProxy:
    """A running proxy, and the configuration file that it reads on SIGHUP."""

    process: ManagedProcess
    path: Path
    config: ProxyConfig  # as at the start
    fleet_size: int
    ordinal: int

    def configure(self, changes: int, label: str | None = None) -> None:
        """Write the configuration file with the settings after `changes` changes and this version label."""
        settings = settings_after(changes, self.fleet_size, self.ordinal)
        replace(self.config, settings=settings, version=label).write(self.path)

    def reload(self) -> None:
        """Send SIGHUP; ProcessError where the process has ended."""
        self.process.send_signal(signal.SIGHUP)

    async def version(self) -> str | None:
        """Return the configuration version in force; None where it is not named in time."""
        try:
            response = await asyncio.wait_for(fetch_health(self.config.port), HEALTH_TIMEOUT)
        except (OSError, TimeoutError):
            return None
        return configuration_version(response)


class ProxyLauncher:
    """Starts fleets of real proxies of one program, which end with the stack.

    Args:
        program: The proxy's program.
        stack: Ends the proxies and their discovery.
        folder: For the configuration files.
        backend_ports: Where the stub backend listens.
        seed: Of the run.
    """

    def __init__(
        self,
        program: ProxyProgram,
        stack: AsyncExitStack,
        folder: Path,
        backend_ports: Sequence[int],
        seed: int,
    ) -> None:
        self._program = program
        self._stack = stack
        self._folder = folder
        self._backend_ports = backend_ports
        self._seed = seed
        self._rng = np.random.default_rng([seed, RANDOM_STREAM])
        self._started = 0

    async def start_fleet(self, rows: int, cores: Sequence[frozenset[int]]) -> list[ReloadableProxy]:
        """Start one proxy for each set of cores, with an endpoint list of `rows`; wait until all are up."""
        snapshot = endpoint_snapshot(rows, self._backend_ports)
        discovery_port = await serve_static_list(self._stack, snapshot)
        ports = free_ports(len(cores), self._rng)
        proxies = []
        for ordinal, (port, proxy_cores) in enumerate(zip(ports, cores, strict=True)):
            self._started += 1
            config = ProxyConfig(
                name=f"n{self._started}",
                port=port,
                discovery_port=discovery_port,
                seed=f"{self._seed * 1000 + self._started:x}",
                known=snapshot,
                settings=settings_after(0, len(cores), ordinal),
            )
            proxies.append(await self._start(config, proxy_cores, len(cores), ordinal))
        await asyncio.gather(*(wait_until_healthy(port) for port in ports))
        return proxies

    async def _start(
        self, config: ProxyConfig, cores: frozenset[int], fleet_size: int, ordinal: int
    ) -> ReloadableProxy:
        path = self._folder / f"{config.name}.json"
        config.write(path)
        process = await self._program.start(self._stack, cores, path, discard_stderr=True)
        return ReloadableProxy(process, path, config, fleet_size, ordinal)
