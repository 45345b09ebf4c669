"""A proxy in its own process, started with the command that operators use.

`testbed.processes` is not used, because its processes are bound to processor cores and exchange lines over
pipes, whereas these tests read a proxy's log and choose its environment.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from testbed.health_check import wait_until_healthy
from testbed.paths import PROJECT_ROOT
from testbed.processes import inherited_environment
from tests.support.config_files import raw_config
from tests.support.proxy_inputs import MAX_WAIT, RawEntries

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import AsyncIterator
    from pathlib import Path


def write_config(
    config_path: Path,
    listen: str,
    discovery: str,
    endpoints: RawEntries,
    *,
    memory_mb: int = 192,
    sockets: int = 1024,
) -> None:
    """Write the configuration file of a proxy process.

    Args:
        config_path: The path of the file.
        listen: The proxy's address, as `host:port`.
        discovery: The address of discovery.
        endpoints: The entries of the cached endpoint list, in their JSON form.
        memory_mb: The limit on the memory of the process, in MB.
        sockets: The limit on its file descriptors.
    """
    content = raw_config(
        listen=listen,
        discovery=discovery,
        seed="8c1f30d27a5be964",
        limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        known={"index": 3, "snapshot": True, "endpoints": list(endpoints)},
    )
    config_path.write_text(json.dumps(content))


def environment_with_addresses(config_path: Path, listen: str, discovery: str) -> dict[str, str]:
    """Return the environment of a proxy process whose addresses override those of its file."""
    return {
        **os.environ,
        "RELAY_CONFIG": str(config_path),
        "RELAY_LISTEN": listen,
        "RELAY_DISCOVERY": discovery,
    }


@asynccontextmanager
async def killing_on_exit(process: Process) -> AsyncIterator[None]:
    """Kill a process that is still running at the end of the context, and wait until it has ended."""
    try:
        yield
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def proxy_process(config_path: Path) -> AsyncIterator[Process]:
    """Run a proxy that is configured only by a file, and whose log is a pipe.

    The process is killed if it is still running at the end of the context.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "proxy",
        cwd=PROJECT_ROOT,
        stderr=asyncio.subprocess.PIPE,
        env=inherited_environment() | {"RELAY_CONFIG": str(config_path)},
    )
    async with killing_on_exit(process):
        yield process


async def wait_until_ready(port: int) -> None:
    """Wait until the health check of the proxy at a port passes, but not longer than `MAX_WAIT`."""
    await wait_until_healthy(port, within=MAX_WAIT)
