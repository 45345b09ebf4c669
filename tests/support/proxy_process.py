"""A proxy in a process of its own, as operators start it."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from testbed.health_check import wait_until_healthy
from testbed.paths import PROJECT_ROOT
from testbed.processes import inherited_environment
from tests.support.config_files import raw_config
from tests.support.proxy_inputs import MAX_WAIT

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import AsyncIterator
    from pathlib import Path


def write_config(config_path: Path, listen: str, discovery: str, endpoints: list[dict[str, Any]]) -> None:
    """Write the file of a proxy process that knows these entries of the endpoint list."""
    content = raw_config(
        listen=listen,
        discovery=discovery,
        seed="8c1f30d27a5be964",
        limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        known={"index": 3, "snapshot": True, "endpoints": endpoints},
    )
    config_path.write_text(json.dumps(content))


def environment_with_addresses(config_path: Path, listen: str, discovery: str) -> dict[str, str]:
    """Return the environment of a proxy process that gives its addresses beside its file."""
    return {
        **os.environ,
        "RELAY_CONFIG": str(config_path),
        "RELAY_LISTEN": listen,
        "RELAY_DISCOVERY": discovery,
    }


@asynccontextmanager
async def killed_at_the_end(process: Process) -> AsyncIterator[None]:
    """Kill a process that has not ended by the end of the context, and wait until it is gone."""
    try:
        yield
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def proxy_process(config_path: Path) -> AsyncIterator[Process]:
    """Run a proxy that has its configuration from a file alone, and whose log can be read from a pipe.

    A process that has not ended by the end of the context is killed.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "proxy",
        cwd=PROJECT_ROOT,
        stderr=asyncio.subprocess.PIPE,
        env=inherited_environment() | {"RELAY_CONFIG": str(config_path)},
    )
    async with killed_at_the_end(process):
        yield process


async def wait_until_ready(port: int) -> None:
    """Wait until a proxy is ready, for as long as that may take on a loaded machine."""
    await wait_until_healthy(port, within=MAX_WAIT)
