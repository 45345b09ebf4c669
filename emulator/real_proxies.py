"""Real proxies of a simulated fleet, each in a process of its own, to compare simulated ones with.

It owns their configuration files and processes, from start to end.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from emulator.proxy_configuration import proxy_configuration
from emulator.result import ROOT
from emulator.topology import Topology

ENVIRONMENT_PREFIX = "RELAY_"  # of the variables that a proxy reads


@contextmanager
def real_proxies(topology: Topology, ports: list[int], discovery_port: int) -> Iterator[list[int]]:
    """Run one real proxy for each port; the block gets their process ids, and they end with it."""
    running: list[subprocess.Popen[bytes]] = []
    with TemporaryDirectory() as folder:
        try:
            for position, port in enumerate(ports):
                file = Path(folder) / f"{position}.json"
                configuration = proxy_configuration(topology, position, port, discovery_port)
                file.write_text(json.dumps(configuration), encoding="utf-8")
                running.append(_start(file))
            yield [process.pid for process in running]
        finally:
            for process in running:
                process.kill()
                process.wait()


def _start(configuration: Path) -> subprocess.Popen[bytes]:
    environment = {
        name: value for name, value in os.environ.items() if not name.startswith(ENVIRONMENT_PREFIX)
    }
    return subprocess.Popen(
        [sys.executable, "-m", "proxy"],
        cwd=ROOT,
        env=environment | {"RELAY_CONFIG": str(configuration)},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
