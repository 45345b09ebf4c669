"""Runs real proxies of a simulated fleet, each in its own process, as a reference for simulated proxies.

This module writes their configuration files, and starts and ends their processes.
"""

from __future__ import annotations

import subprocess
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from emulator.fleet.settings import proxy_settings
from testbed.paths import PROJECT_ROOT
from testbed.processes import inherited_environment
from testbed.proxy_config import ProxyConfig
from testbed.proxy_program import ProxyProgram

if TYPE_CHECKING:
    from collections.abc import Iterator

    from emulator.fleet.topology import Topology
    from testbed.discovery.entry import EndpointUpdate

EMPTY_SNAPSHOT: EndpointUpdate = {"index": 0, "snapshot": True, "endpoints": []}


@contextmanager
def real_proxies(topology: Topology, ports: list[int], discovery_port: int) -> Iterator[list[int]]:
    """Run one real proxy on each port; yields their process ids, and kills the processes at the end."""
    program = ProxyProgram.of_tree(PROJECT_ROOT)
    processes: list[subprocess.Popen[bytes]] = []
    with TemporaryDirectory() as folder:
        try:
            for position, port in enumerate(ports):
                config_path = Path(folder) / f"{position}.json"
                _proxy_config(topology, position, port, discovery_port).write(config_path)
                processes.append(_start_proxy(program, config_path))
            yield [process.pid for process in processes]
        finally:
            for process in processes:
                process.kill()
                process.wait()


def _proxy_config(topology: Topology, position: int, port: int, discovery_port: int) -> ProxyConfig:
    """Build the configuration of a backend's proxy, whose cached endpoint list is empty at its start."""
    return ProxyConfig(
        name=topology.entries[position]["name"],
        port=port,
        discovery_port=discovery_port,
        seed=f"{topology.seed + position:016x}",
        known=EMPTY_SNAPSHOT,
        settings=proxy_settings(topology, position),
    )


def _start_proxy(program: ProxyProgram, config_path: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        program.command,
        cwd=program.root,
        env=inherited_environment() | {"RELAY_CONFIG": str(config_path)},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
