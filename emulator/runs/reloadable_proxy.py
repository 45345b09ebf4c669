"""Real proxies whose configuration file changes while they run, and which reload it on SIGHUP."""

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

HEALTH_TIMEOUT = 1.0  # seconds for one health check
RANDOM_STREAM = 4  # part of the seed, so that other runs with the same seed draw different ports


@dataclass(slots=True, frozen=True)
class ReloadableProxy:
    """A running proxy and its configuration file.

    Attributes:
        process: The process of the proxy.
        path: The configuration file.
        config: The configuration at the start of the proxy.
        fleet_size: Number of proxies in the settings.
        ordinal: Number of this proxy in the settings.
    """

    process: ManagedProcess
    path: Path
    config: ProxyConfig
    fleet_size: int
    ordinal: int

    def configure(self, change_count: int, label: str | None = None) -> None:
        """Write the settings after `change_count` changes, and a version label, to the configuration file."""
        settings = settings_after(change_count, self.fleet_size, self.ordinal)
        replace(self.config, settings=settings, version=label).write(self.path)

    def reload(self) -> None:
        """Send SIGHUP to the proxy; ProcessError if its process has ended."""
        self.process.send_signal(signal.SIGHUP)

    async def version(self) -> str | None:
        """Return the configuration version in force; None if the health check does not return it in time."""
        try:
            response = await asyncio.wait_for(fetch_health(self.config.port), HEALTH_TIMEOUT)
        except (OSError, TimeoutError):
            return None
        return configuration_version(response)


class ProxyLauncher:
    """Starts real proxies, which end with the stack.

    Args:
        program: The program of the proxies.
        stack: Ends the proxies and their registries.
        folder: Folder for the configuration files.
        backend_ports: Listening ports of the stub backend.
        seed: Seed of the run.
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
        self._started_proxies = 0

    async def start_fleet(
        self, endpoint_count: int, cores: Sequence[frozenset[int]]
    ) -> list[ReloadableProxy]:
        """Start one proxy on each set of cores, and wait until all of them are healthy."""
        snapshot = endpoint_snapshot(endpoint_count, self._backend_ports)
        discovery_port = await serve_static_list(self._stack, snapshot)
        ports = free_ports(len(cores), self._rng)
        proxies = []
        for ordinal, (port, proxy_cores) in enumerate(zip(ports, cores, strict=True)):
            self._started_proxies += 1
            config = ProxyConfig(
                name=f"n{self._started_proxies}",
                port=port,
                discovery_port=discovery_port,
                seed=f"{self._seed * 1000 + self._started_proxies:x}",
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
