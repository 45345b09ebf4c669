"""The log on standard error: nothing is written there where a write would wait for whoever reads it."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import sys
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest

from proxy.discovery.watch_connection import WatchConnection
from proxy.log import TracebackLog, log_without_blocking
from proxy.process import report_exception
from tests.support.loopback import in_event_loop

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

LONG_TEXT = "x" * 100_000  # more than a pipe takes


class StandardError:
    """Standard error that is a pipe; it keeps what is written, and lets nothing wait."""

    def __init__(self, descriptor: int) -> None:
        self.written: list[str] = []
        self._descriptor = descriptor

    def fileno(self) -> int:
        """Return the pipe's writing end."""
        return self._descriptor

    def write(self, text: str) -> int:
        """Keep what would be written."""
        self.written.append(text)
        return len(text)

    def flush(self) -> None:
        """Do nothing: what is written is kept at once."""


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Return the reading and the writing end of a pipe."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


async def log_traceback() -> None:
    """Log the traceback of a defect."""
    try:
        raise RuntimeError(LONG_TEXT)
    except RuntimeError:
        TracebackLog().write(0.0)


async def receive_nonsense() -> None:
    """Let discovery send what is no list."""
    connection = WatchConnection(lambda _connection, _message: None, b"")
    connection.data_received(b"nonsense\r\n\r\n")


async def report_from_the_event_loop() -> None:
    """Let the event loop report a defect of a callback."""
    log_without_blocking()

    context = {"message": "a defect", "exception": RuntimeError(LONG_TEXT)}
    asyncio.get_running_loop().call_exception_handler(context)


@pytest.mark.parametrize("log", [log_traceback, receive_nonsense, report_from_the_event_loop])
@pytest.mark.parametrize("is_read", [True, False])
@in_event_loop
async def test_nothing_that_is_logged_waits_for_a_reader(
    log: Callable[[], Awaitable[None]],
    is_read: bool,
    pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if not is_read:
        with suppress(BlockingIOError):
            while True:
                os.write(pipe[1], b"x" * 4096)
    stderr = StandardError(pipe[1])
    monkeypatch.setattr(sys, "stderr", stderr)
    monkeypatch.setattr(logging.root, "handlers", [])
    await log()
    text = "".join(stderr.written)
    assert bool(text) == is_read
    assert len(text) <= 4096  # what a pipe that can be written to takes at once


@pytest.mark.parametrize(("number", "is_reported"), [(errno.ENOTCONN, False), (errno.EIO, True)])
def test_reset_of_a_connection_whose_sending_ends_is_no_defect(
    number: int, is_reported: bool, caplog: pytest.LogCaptureFixture
) -> None:
    context = {"message": "a callback failed", "exception": OSError(number, os.strerror(number))}
    loop = asyncio.new_event_loop()
    report_exception(loop, context)
    loop.close()
    assert bool(caplog.records) == is_reported
