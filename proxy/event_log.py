"""A log of what happens to each request and connection, as JSON lines, for whoever looks for a cause.

It is off unless the environment names a file in `RELAY_EVENT_LOG`. Lines are gathered, written a few times a
second, and dropped where they can't be written: the log never stops the event loop. Owns the file and what is
not written yet. Does not own what the lines say, and nobody reads them back here.
"""

from __future__ import annotations

import asyncio
import os
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Mapping

VARIABLE = "RELAY_EVENT_LOG"  # of the environment: the path of the file
FLUSH_INTERVAL = 0.1  # seconds
MAX_BUFFERED_BYTES = 1 << 20  # lines that come beyond that, until the next flush, are dropped
MAX_FILE_BYTES = 256 << 20  # after which the log ends


class Event(StrEnum):
    """What happened."""

    REQUEST_RECEIVED = "request_received"
    ATTEMPT_STARTED = "attempt_started"
    ATTEMPT_REJECTED = "attempt_rejected"  # it may not be written any more
    ATTEMPT_WRITTEN = "attempt_written"
    ATTEMPT_FINISHED = "attempt_finished"
    RESPONSE_SENT = "response_sent"
    CLIENT_DISCONNECTED = "client_disconnected"
    CONNECTION_CLOSED = "connection_closed"
    ENDPOINTS_UPDATED = "endpoints_updated"
    WATCH_OPENED = "watch_opened"
    WATCH_CLOSED = "watch_closed"
    SHUTDOWN = "shutdown"
    VIOLATION = "violation"
    DROPPED = "dropped"  # lines of this log


class EventLog:
    """Writes events to a file descriptor, or nowhere.

    Attributes:
        enabled: Whether there is a file; ask before making up a costly field.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self.enabled = descriptor is not None
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._buffered_bytes = self._written_bytes = self._dropped = 0

    @classmethod
    def from_environment(cls, environ: Mapping[str, str]) -> EventLog:
        """Open the file that the environment names; where there is none, nothing is logged."""
        path = environ.get(VARIABLE)
        if not path:
            return cls()
        try:
            # Opened so that a pipe which nobody empties makes writes fail instead of waiting.
            return cls(os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK, 0o644))
        except OSError:
            return cls()

    def record(self, event: Event, **fields: Any) -> None:
        """Add an event; the fields are values that JSON knows, or enumerations."""
        if not self.enabled:
            return
        loop = asyncio.get_running_loop()
        line = orjson.dumps({"at": round(loop.time(), 6), "event": event, **fields}, default=str) + b"\n"
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        if not self._lines:
            loop.call_later(FLUSH_INTERVAL, self.flush)
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Write what has been gathered, or drop it."""
        if self._descriptor is None or not self._lines:
            return
        data, count = b"".join(self._lines), len(self._lines)
        self._lines.clear()
        self._buffered_bytes = 0
        if self._dropped:
            data += orjson.dumps({"event": Event.DROPPED, "lines": self._dropped}) + b"\n"
        try:
            self._written_bytes += os.write(self._descriptor, data)
            self._dropped = 0
        except OSError:  # full, or nobody empties it
            self._dropped += count
        if self._written_bytes > MAX_FILE_BYTES:
            self.close()

    def close(self) -> None:
        """Write what is left and end the log."""
        if self._descriptor is not None:
            descriptor, self._descriptor = self._descriptor, None
            self.enabled = False
            os.close(descriptor)
