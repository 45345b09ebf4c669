"""The event log: the events of requests and connections, as JSON lines, to diagnose an incident.

It is off unless the environment variable `RELAY_EVENT_LOG` names a file. Lines are buffered, written several
times a second, and dropped if they can't be written without waiting: the log never blocks the event loop.
This module owns the file and the lines that are not written yet; `logged_events` defines the events and
their fields.
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import fields
from typing import TYPE_CHECKING

import orjson

from proxy.logged_events import LinesDropped

if TYPE_CHECKING:
    from collections.abc import Mapping

    from proxy.logged_events import LoggedEvent

PATH_VARIABLE = "RELAY_EVENT_LOG"  # the environment variable with the path of the file
FLUSH_INTERVAL = 0.1  # seconds
MAX_BUFFERED_BYTES = 1 << 20  # above this, new lines are dropped until the next flush
MAX_FILE_BYTES = 256 << 20  # the log is closed once it has written more than this


class EventLog:
    """Writes events to a file descriptor, or discards them.

    Attributes:
        enabled: Whether there is a file. Check it before creating an event for a request or an attempt: a
            disabled log must cost no time there.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self.enabled = descriptor is not None
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._buffered_bytes = self._written_bytes = 0
        self._dropped = 0  # lines since the last successful flush

    @classmethod
    def from_environment(cls, environ: Mapping[str, str]) -> EventLog:
        """Open the file that the environment names; without one, or if opening it fails, the log is off."""
        path = environ.get(PATH_VARIABLE)
        if not path:
            return cls()
        try:
            # Non-blocking: if the file is a pipe that is not being read, a write must fail and not block.
            return cls(os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK, 0o644))
        except OSError:
            return cls()

    def record(self, event: LoggedEvent) -> None:
        """Add an event to the log, if it is enabled."""
        if not self.enabled:
            return
        loop = asyncio.get_running_loop()
        line = _encode({"at": round(loop.time(), 6)}, event)
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        if not self._lines:
            loop.call_later(FLUSH_INTERVAL, self.flush)
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Write the buffered lines, or drop them if the write fails."""
        if self._descriptor is None or not self._lines:
            return
        data, line_count = b"".join(self._lines), len(self._lines)
        self._lines.clear()
        self._buffered_bytes = 0
        if self._dropped:
            data += _encode({}, LinesDropped(lines=self._dropped))
        try:
            self._written_bytes += os.write(self._descriptor, data)
            self._dropped = 0
        except OSError:  # the file system or the pipe is full
            self._dropped += line_count
        if self._written_bytes > MAX_FILE_BYTES:
            self.close()

    def close(self) -> None:
        """Close the file and disable the log; buffered lines are dropped."""
        if self._descriptor is not None:
            descriptor, self._descriptor = self._descriptor, None
            self.enabled = False
            os.close(descriptor)


def _encode(prefix: dict[str, float], event: LoggedEvent | LinesDropped) -> bytes:
    """Return an event's line: the prefix, the event's name, and its fields in their order."""
    line: dict[str, object] = {**prefix, "event": event.event}
    line.update((field.name, getattr(event, field.name)) for field in fields(event))
    return orjson.dumps(line, default=str) + b"\n"
