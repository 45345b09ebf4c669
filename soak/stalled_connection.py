"""The connection of a client that has sent the beginning of a request, and then sends nothing more."""

from __future__ import annotations

import asyncio
import time

from soak.history import NEVER

STALLED_CLIENT_TIMEOUT = 6.0  # seconds for which a stalled client waits for an error or a close


async def wait_for_response_or_close(reader: asyncio.StreamReader) -> float:
    """Return the time when a byte was received or the connection ended; `NEVER` after a timeout."""
    try:
        async with asyncio.timeout(STALLED_CLIENT_TIMEOUT):
            await reader.read(1)
    except TimeoutError:
        return NEVER
    except OSError:
        pass
    return time.monotonic()
