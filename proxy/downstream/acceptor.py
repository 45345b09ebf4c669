"""Accepts connections on one listening socket, and continues after errors.

It owns the delay before accepting is retried, and the log lines about errors. The listener owns the listening
socket, and each accepted connection belongs to its protocol.
"""

from __future__ import annotations

import asyncio
import errno
import logging
from typing import TYPE_CHECKING

from proxy.log import RateLimit

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

logger = logging.getLogger(__name__)

MAX_ACCEPTS_PER_TURN = 8  # connections accepted in one turn of the event loop, while other callbacks wait
#: Errors of the system or the process: accepting the next connection would fail as well. All other errors
#: concern a single connection: accept(2) returns its pending network error.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
MIN_RETRY_DELAY = 0.002  # seconds after the first resource error; doubled after each further one
MAX_RETRY_DELAY = 0.05  # seconds; retries must cost little processor time while no descriptor is free
MAX_IMMEDIATE_RETRIES = 20  # consecutive failures during a shutdown that are retried immediately
MAX_DELAYED_RETRIES = 50  # further consecutive failures, `MIN_RETRY_DELAY` apart


class Acceptor:
    """Accepts connections from a listening socket and gives each a protocol."""

    def __init__(self, sock: socket.socket, make_protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        self._socket = sock
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._retry_delay = MIN_RETRY_DELAY
        self._retry_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures = 0  # since the last log line
        self._log_limit = RateLimit()

    def start(self) -> None:
        """Start to accept connections."""
        self._retry_timer = None
        self._loop.add_reader(self._socket.fileno(), self._accept_batch)

    def stop(self) -> None:
        """Stop accepting; new connections stay in the accept queue."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._loop.remove_reader(self._socket.fileno())

    async def accept_queued(self) -> None:
        """Stop accepting, after all connections that are in the accept queue have been accepted."""
        self.stop()
        failures = 0
        while failures < MAX_IMMEDIATE_RETRIES + MAX_DELAYED_RETRIES:
            try:
                client_socket, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                failures += 1
                self._log_failure(error)
                if failures > MAX_IMMEDIATE_RETRIES:
                    await asyncio.sleep(MIN_RETRY_DELAY)
                continue
            failures = 0
            await self._start_protocol(client_socket)

    def _accept_batch(self) -> None:
        """Accept queued connections up to a limit; the event loop calls again if there are more."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                client_socket, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._log_failure(error)
                if error.errno in RESOURCE_ERRORS:
                    self._pause()
                    return
                continue
            self._retry_delay = MIN_RETRY_DELAY
            task = self._loop.create_task(self._start_protocol(client_socket))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pause(self) -> None:
        """Stop accepting until the retry delay ends: immediate retries would keep a core busy."""
        self._loop.remove_reader(self._socket.fileno())
        self._retry_timer = self._loop.call_later(self._retry_delay, self.start)
        self._retry_delay = min(2.0 * self._retry_delay, MAX_RETRY_DELAY)

    async def _start_protocol(self, client_socket: socket.socket) -> None:
        """Give a connection its protocol."""
        try:
            client_socket.setblocking(False)
            await self._loop.connect_accepted_socket(self._make_protocol, client_socket)
        except OSError as error:  # the connection has already ended
            self._log_failure(error)
            client_socket.close()

    def _log_failure(self, error: OSError) -> None:
        self._failures += 1
        if self._log_limit.allows(self._loop.time()):
            logger.warning("accept: %s (%d failures)", error.strerror or error, self._failures)
            self._failures = 0
