"""Lines on standard error, for the operator.

Owns when the last traceback was written. Does not own what the lines say.
"""

from __future__ import annotations

import select
import sys
import traceback
from contextlib import suppress

TRACEBACK_INTERVAL = 1.0  # seconds between two tracebacks in the log


def write_line(line: str) -> None:
    """Write one line of up to 4 KiB, or drop it: a log that nobody empties must not stop the event loop."""
    with suppress(OSError, ValueError):  # there is no standard error, or it is closed
        stderr = select.poll()
        stderr.register(sys.stderr.fileno(), select.POLLOUT)
        if stderr.poll(0):
            print(line, file=sys.stderr, flush=True)


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
            traceback.print_exc()
            sys.stderr.flush()
