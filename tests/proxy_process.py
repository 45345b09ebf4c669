"""A proxy in a process of its own, as operators start it."""

from __future__ import annotations

import asyncio
import os
import sys
from asyncio.subprocess import Process
from pathlib import Path

from loopback import connect
from proxy_inputs import HEALTH_REQUEST, MAX_WAIT, status_of

PROJECT_ROOT = Path(__file__).parent.parent


async def start_proxy_process(config_path: Path) -> Process:
    """Start a proxy that has its configuration from a file alone, and whose log can be read from a pipe."""
    environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "proxy",
        cwd=PROJECT_ROOT,
        stderr=asyncio.subprocess.PIPE,
        env=environ | {"RELAY_CONFIG": str(config_path)},
    )


async def wait_until_ready(port: int) -> None:
    """Wait until a process answers that it is ready."""
    async with asyncio.timeout(MAX_WAIT):
        while True:
            try:
                client = await connect(port)
                if status_of(await client.request(HEALTH_REQUEST)) == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
