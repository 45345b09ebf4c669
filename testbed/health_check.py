"""Requests a proxy's health check, and reads the configuration version from the response."""

from __future__ import annotations

import asyncio
import time

from testbed.loopback import HOST
from testbed.processes import STARTUP_TIMEOUT, ProcessError

POLL_INTERVAL = 0.05  # seconds between two health checks of a proxy that is not ready yet
RESPONSE_TIMEOUT = 1.0  # seconds for one health check
VERSION_PREFIX = b"version "
VERSION_LINE = 1  # index of the line in the response's body


class NotReadyError(ProcessError):
    """A proxy was not ready before the timeout."""

    def __init__(self, port: int, within: float) -> None:
        super().__init__(f"the proxy at port {port} was not ready within {within:.0f} s")
        self.port, self.within = port, within


async def fetch_health(port: int) -> bytes:
    """Return the head and the body of a proxy's response to one health check."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
        return await reader.read()
    finally:
        writer.close()


async def is_healthy(port: int) -> bool:
    """Return whether a proxy responds 200 to a health check within `RESPONSE_TIMEOUT`."""
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT):
            response = await fetch_health(port)
    except OSError:  # includes TimeoutError
        return False
    return response.startswith(b"HTTP/1.1 200 ")


async def wait_until_healthy(port: int, within: float = STARTUP_TIMEOUT) -> None:
    """Wait until a proxy responds 200 to its health check.

    Args:
        port: The port that the proxy listens on.
        within: The timeout in seconds.

    Raises:
        NotReadyError: The proxy did not respond 200 before the timeout.
    """
    timeout_at = time.monotonic() + within
    while time.monotonic() < timeout_at:
        if await is_healthy(port):
            return
        await asyncio.sleep(POLL_INTERVAL)
    raise NotReadyError(port, within)


def configuration_version(response: bytes) -> str | None:
    """Return the version in force from the response to a health check; None if it names no version."""
    head, _, body = response.partition(b"\r\n\r\n")
    lines = body.split(b"\n")
    if not head.startswith(b"HTTP/1.") or len(lines) <= VERSION_LINE:
        return None
    line = lines[VERSION_LINE]
    if not line.startswith(VERSION_PREFIX):
        return None
    return line.removeprefix(VERSION_PREFIX).strip().decode("latin-1") or None


def has_label(version: str | None, label: str) -> bool:
    """Return whether a version has this label; such a version is the label, a hyphen, and a digest."""
    return version is not None and version.rpartition("-")[0] == label


def configurations_applied(version: str | None) -> int | None:
    """Return how many configurations a process has applied, according to its version.

    A version without a label begins with this count. The result is None for any other version.
    """
    count = (version or "").partition("-")[0]
    return int(count) if count.isascii() and count.isdigit() else None


def applied_between(before: str | None, after: str | None) -> int | None:
    """Return how many configurations were applied between two versions; None if a version has no count.

    The number can be lower than the number of signals sent, because several signals that arrive before the
    process handles the first one cause one reload.
    """
    first, last = configurations_applied(before), configurations_applied(after)
    return None if first is None or last is None else last - first
