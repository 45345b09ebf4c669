"""A proxy's health check: asking for it, and the configuration version that its response names."""

from __future__ import annotations

import asyncio
import time

from testbed.loopback import HOST
from testbed.processes import STARTUP_TIMEOUT, ProcessError

POLL_INTERVAL = 0.05  # seconds between two health checks of a proxy that is not ready yet
VERSION_PREFIX = b"version "


async def fetch_health(port: int) -> bytes:
    """Return a proxy's response to one health check, head and body."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
        return await reader.read()
    finally:
        writer.close()


async def wait_until_healthy(port: int) -> None:
    """Wait until a proxy responds 200 to its health check; ProcessError where it does not in time."""
    end = time.monotonic() + STARTUP_TIMEOUT
    while time.monotonic() < end:
        try:
            if (await fetch_health(port)).startswith(b"HTTP/1.1 200 "):
                return
        except OSError:
            pass
        await asyncio.sleep(POLL_INTERVAL)
    raise ProcessError(f"the proxy at port {port} was not ready within {STARTUP_TIMEOUT:.0f} s")


def configuration_version(response: bytes) -> str | None:
    """Return the version in force, from a response to a health check; None where it names none."""
    head, _, body = response.partition(b"\r\n\r\n")
    lines = body.split(b"\n")
    if not head.startswith(b"HTTP/1.") or len(lines) < 2 or not lines[1].startswith(VERSION_PREFIX):
        return None
    return lines[1][len(VERSION_PREFIX) :].strip().decode("latin-1") or None


def has_label(version: str | None, label: str) -> bool:
    """Return whether a version is that of the file with this label: the label, then a digest."""
    return version is not None and version.rpartition("-")[0] == label


def configurations_applied(version: str | None) -> int | None:
    """Return how many configurations a process has applied, by a version without a label; None if unknown."""
    count = (version or "").partition("-")[0]
    return int(count) if count.isascii() and count.isdigit() else None


def applied_between(before: str | None, after: str | None) -> int | None:
    """Return how many configurations were applied between two versions without labels; None if unknown.

    That may be fewer than signals were sent: two that arrive before the process handles them count once.
    """
    first, last = configurations_applied(before), configurations_applied(after)
    return None if first is None or last is None else last - first
