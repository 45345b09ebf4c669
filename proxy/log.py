"""Lines on standard error, for the operator.

Owns when the last traceback was written. Does not own what the lines say.
"""

from __future__ import annotations

import logging
import select
import sys
import traceback
from contextlib import suppress

TRACEBACK_INTERVAL = 1.0  # seconds between two tracebacks in the log
MAX_TEXT_LENGTH = 4000  # bytes: a pipe that can be written to takes 4 KiB at once


def write_line(text: str) -> None:
    """Write one line or a few, or drop them: a log that nobody empties must not stop the event loop.

    Args:
        text: What to write, without its last line end; of a longer text only the end is written.
    """
    with suppress(OSError, ValueError):  # there is no standard error, or it is closed
        stderr = select.poll()
        stderr.register(sys.stderr.fileno(), select.POLLOUT)
        if stderr.poll(0):
            encoded = text.encode("ascii", "backslashreplace")[-MAX_TEXT_LENGTH:]
            print(encoded.decode("ascii"), file=sys.stderr, flush=True)


class _Handler(logging.Handler):
    """Writes what libraries log without waiting."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        write_line(self.format(record))


def log_without_blocking() -> None:
    """Let what the event loop and other libraries log be written by `write_line` from now on."""
    logging.basicConfig(handlers=[_Handler()], format="proxy: %(name)s: %(message)s", force=True)


class TracebackLog:
    """Writes the tracebacks of defects, one a second at most.

    A defect may show with every request. The limit on their rate keeps the log readable, and keeps a log that
    is slowly emptied from filling up, which would stop the event loop.
    """

    def __init__(self) -> None:
        self._written_at = float("-inf")

    def write(self, now: float) -> None:
        """Write the traceback of the exception that is being handled, unless one was written lately.

        Args:
            now: The event loop's time.
        """
        if now - self._written_at >= TRACEBACK_INTERVAL:
            self._written_at = now
            write_line(traceback.format_exc().rstrip())
