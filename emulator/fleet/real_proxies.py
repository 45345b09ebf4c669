"""Real proxies of a simulated fleet, each in a process of its own, to compare simulated ones with.

It owns their configuration files and processes, from start to end.
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
    """Run one real proxy for each port; yields their process ids, and kills them after the block."""
    program = ProxyProgram.of_tree(PROJECT_ROOT)
    running: list[subprocess.Popen[bytes]] = []
    with TemporaryDirectory() as folder:
        try:
            for position, port in enumerate(ports):
                file = Path(folder) / f"{position}.json"
                _config(topology, position, port, discovery_port).write(file)
                running.append(_start(program, file))
            yield [process.pid for process in running]
        finally:
            for process in running:
                process.kill()
                process.wait()


def _config(topology: Topology, position: int, port: int, discovery_port: int) -> ProxyConfig:
    """Configure a backend's proxy, which knows no endpoint at its start."""
    return ProxyConfig(
        name=topology.entries[position]["name"],
        port=port,
        discovery_port=discovery_port,
        seed=f"{topology.seed + position:016x}",
        known=EMPTY_SNAPSHOT,
        settings=proxy_settings(topology, position),
    )


def _start(program: ProxyProgram, configuration: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        program.command,
        cwd=program.root,
        env=inherited_environment() | {"RELAY_CONFIG": str(configuration)},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
