"""Logging of the proxy's process: formats the lines on standard error, and writes them without blocking.

Each module logs to a logger of its own, `logging.getLogger(__name__)`. `configure_logging` installs the only
handler when the process starts.
"""

from __future__ import annotations

import logging
import select
import sys

MAX_TEXT_BYTES = 4000  # of one record: a pipe that polls as writable accepts 4 KiB without blocking
LOG_INTERVAL = 1.0  # seconds between two records that share a `RateLimit`
OWN_LOGGER_NAME = "proxy"  # the parent of the loggers of this package's modules


class NonBlockingHandler(logging.Handler):
    """Writes records to standard error, and drops them where a write would block.

    The event loop must not block while standard error is a pipe that is not being read, and a log call must
    not raise an exception.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop it if writing would block or fails."""
        try:
            _write_without_blocking(self.format(record))
        except Exception:  # noqa: BLE001 - no error of arguments or standard error may reach the caller
            self.handleError(record)

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802 - a name of the base class
        """Drop a record that can't be formatted or written; the base class would report it, and block."""


class LineFormatter(logging.Formatter):
    """Formats records for operators, each as one line except for tracebacks.

    A record of the proxy's own loggers becomes `proxy: MESSAGE`, or only its traceback if it has an
    exception. A record of any other logger, such as the event loop's, becomes `proxy: LOGGER: MESSAGE`,
    followed by its traceback.
    """

    def __init__(self) -> None:
        super().__init__("proxy: %(name)s: %(message)s")

    def format(self, record: logging.LogRecord) -> str:
        """Return the text of one record, without a final line end."""
        if record.name.partition(".")[0] != OWN_LOGGER_NAME:
            return super().format(record)
        if record.exc_info:
            return self.formatException(record.exc_info).rstrip()
        return f"proxy: {record.getMessage()}"


class RateLimit:
    """Limits how often one kind of record is logged; call `allows` before the log call.

    A fault may recur with every request. The limit keeps the log readable, and keeps these records from
    filling a pipe that is read slowly, where other records would then be dropped. A record that is not
    allowed is not formatted.
    """

    __slots__ = ("_interval", "_last_allowed_at")

    def __init__(self, interval: float = LOG_INTERVAL) -> None:
        """Allow the first record immediately.

        Args:
            interval: Seconds between two records.
        """
        self._interval = interval
        self._last_allowed_at = float("-inf")

    def allows(self, now: float) -> bool:
        """Return whether a record may be logged now; if so, the next one is allowed after the interval.

        Args:
            now: The event loop's time, in seconds.
        """
        if now - self._last_allowed_at < self._interval:
            return False
        self._last_allowed_at = now
        return True


def configure_logging() -> None:
    """Write this process's records to standard error: the proxy's from level INFO, others from WARNING.

    Call it once, when the process starts.
    """
    handler = NonBlockingHandler()
    handler.setFormatter(LineFormatter())
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)
    logging.getLogger(OWN_LOGGER_NAME).setLevel(logging.INFO)


def _write_without_blocking(text: str) -> None:
    """Write a text and a line end to standard error if it is writable; a long text is cut at its start.

    Raises:
        OSError: Standard error is closed.
        ValueError: Standard error is closed.
    """
    stderr = select.poll()
    stderr.register(sys.stderr.fileno(), select.POLLOUT)
    if stderr.poll(0):
        encoded = text.encode("ascii", "backslashreplace")[-MAX_TEXT_BYTES:]
        print(encoded.decode("ascii"), file=sys.stderr, flush=True)
