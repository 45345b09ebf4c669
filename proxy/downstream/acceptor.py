"""Accepts connections on one listening socket, whatever errors that meets.

It owns when accepting is tried again, and what is logged of errors. What a connection does is its protocol's,
and the listening socket is the listener's.
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

MAX_ACCEPTS_PER_TURN = 8  # connections taken in one turn of the loop: others have work too
#: Errors of the system or the process, which the next connection would meet as well. All others are those of
#: one connection, which accepting reports in its place (accept(2)).
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
MIN_RETRY_DELAY = 0.002  # seconds after an error of that kind; twice as long after each further one
MAX_RETRY_DELAY = 0.05  # seconds: while descriptors stay used up, trying must cost little
MAX_IMMEDIATE_RETRIES = 20  # in a row, of the last connections before the socket is closed
MAX_DELAYED_RETRIES = 50  # further ones, `MIN_RETRY_DELAY` apart


class Acceptor:
    """Takes connections from a listening socket and gives each a protocol."""

    def __init__(self, sock: socket.socket, make_protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        self._socket = sock
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._retry_delay = MIN_RETRY_DELAY
        self._retry_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures = 0  # since the last line in the log
        self._log_limit = RateLimit()

    def start(self) -> None:
        """Accept connections from now on."""
        self._retry_timer = None
        self._loop.add_reader(self._socket.fileno(), self._accept_some)

    def stop(self) -> None:
        """Accept no more; what comes is queued."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._loop.remove_reader(self._socket.fileno())

    async def accept_queued(self) -> None:
        """Take all connections that are queued, as the last ones."""
        self.stop()
        failures = 0
        while failures < MAX_IMMEDIATE_RETRIES + MAX_DELAYED_RETRIES:
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                failures += 1
                self._log(error)
                if failures > MAX_IMMEDIATE_RETRIES:
                    await asyncio.sleep(MIN_RETRY_DELAY)
                continue
            failures = 0
            await self._connect(accepted)

    def _accept_some(self) -> None:
        """Take what is queued, up to a limit; the loop calls again where more is left."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._log(error)
                if error.errno in RESOURCE_ERRORS:
                    self._pause()
                    return
                continue
            self._retry_delay = MIN_RETRY_DELAY
            task = self._loop.create_task(self._connect(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pause(self) -> None:
        """Try again in a moment: the loop would call at once, and keep a core busy."""
        self._loop.remove_reader(self._socket.fileno())
        self._retry_timer = self._loop.call_later(self._retry_delay, self.start)
        self._retry_delay = min(2.0 * self._retry_delay, MAX_RETRY_DELAY)

    async def _connect(self, accepted: socket.socket) -> None:
        """Give a connection its protocol."""
        try:
            accepted.setblocking(False)
            await self._loop.connect_accepted_socket(self._make_protocol, accepted)
        except OSError as error:  # it has ended already
            self._log(error)
            accepted.close()

    def _log(self, fault: OSError) -> None:
        self._failures += 1
        if self._log_limit.allows(self._loop.time()):
            logger.warning("accept: %s (%d failures)", fault.strerror or fault, self._failures)
            self._failures = 0
