"""Runs the proxy in this process with faulty system calls and a stepping clock: `python -m soak.shim`.

The faults are read from the environment and drawn from a seed. The shim wraps methods of `socket.socket`, the
event loop's connecting and `time.time`, as the standard library calls them, and nothing of the proxy. A fault
does what Linux documents: the call fails with that error, transfers less, or takes longer.
"""

from __future__ import annotations

import asyncio
import errno
import os
import random
import socket
import sys
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Any
from weakref import WeakSet

from proxy.__main__ import main
from soak.system_call_faults import SystemCallFaults

if TYPE_CHECKING:
    from collections.abc import Callable

ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED, errno.ENOBUFS)
READ_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
MAX_SHORT_TRANSFER = 64  # bytes of a short read or write
FAULT_FREE_TIME = 1.0  # seconds after the start without faults: faults of the start itself are not simulated


class SystemCallFaultInjector:
    """Wraps the system calls of this process."""

    def __init__(self, faults: SystemCallFaults) -> None:
        self._faults = faults
        self._rng = random.Random(faults.seed)
        self._started_at = time.monotonic()
        self._outgoing: WeakSet[socket.socket] = WeakSet()  # sockets that this process connected

    def install(self) -> None:
        """Wrap all calls that may fail."""
        faults = self._faults
        self._wrap_failing("accept", faults.accept, ACCEPT_ERRORS)
        self._wrap_failing("recv_into", faults.read, READ_ERRORS, ends_connection=True)
        self._wrap_failing("recv", faults.read, READ_ERRORS, ends_connection=True)
        self._wrap_failing("connect", faults.connect, CONNECT_ERRORS)
        self._wrap_failing("__init__", faults.sockets, SOCKET_ERRORS)
        self._shorten_transfers()
        self._delay_connects()
        self._step_clock()

    def _draw(self, probability: float) -> bool:
        """Return whether the next fault with this probability happens."""
        return self._rng.random() < probability and time.monotonic() - self._started_at > FAULT_FREE_TIME

    def _wrap_failing(
        self, name: str, probability: float, errors: tuple[int, ...], *, ends_connection: bool = False
    ) -> None:
        """Wrap a method of sockets, so that it fails by chance.

        Args:
            name: The method's name.
            probability: Of a failure, for each call.
            errors: The error numbers that a failure is drawn from.
            ends_connection: Whether a failure ends the connection, as the kernel would.
        """
        call: Callable[..., Any] = getattr(socket.socket, name)
        outgoing = self._outgoing

        def failing(sock: socket.socket, *args: Any, **kwargs: Any) -> Any:
            """Fail by chance, or call the method."""
            is_new = kwargs.get("fileno") is None  # `accept` wraps an existing descriptor in a socket
            # A client whose connection fails can't be sent a response: only outgoing connections are ended.
            may_fail = is_new and (sock in outgoing or not ends_connection)
            if may_fail and self._draw(probability):
                number = self._rng.choice(errors)
                if ends_connection:
                    with suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)
                raise OSError(number, os.strerror(number))
            return call(sock, *args, **kwargs)

        if probability:
            setattr(socket.socket, name, failing)

    def _shorten_transfers(self) -> None:
        """Wrap sending and receiving, so that they transfer only a few bytes by chance."""
        send, receive_into = socket.socket.send, socket.socket.recv_into

        def short_send(sock: socket.socket, data: Any, *args: Any) -> int:
            """Send a few bytes by chance, or as many as can be sent."""
            short = self._draw(self._faults.short)
            return send(sock, memoryview(data)[:MAX_SHORT_TRANSFER] if short else data, *args)

        def short_receive_into(sock: socket.socket, buffer: Any, *args: Any) -> int:
            """Receive a few bytes by chance, or as many as there are."""
            short = self._draw(self._faults.short)
            return receive_into(sock, memoryview(buffer)[:MAX_SHORT_TRANSFER] if short else buffer, *args)

        if self._faults.short:
            socket.socket.send = short_send  # type: ignore[method-assign, assignment]
            socket.socket.recv_into = short_receive_into  # type: ignore[method-assign, assignment]

    def _delay_connects(self) -> None:
        """Wrap the event loop's connecting, so that connections are established late by chance."""
        loop_class: Any = asyncio.SelectorEventLoop
        connect = loop_class.sock_connect

        async def slow_connect(loop: Any, sock: socket.socket, address: Any) -> None:
            """Connect, after a delay by chance."""
            self._outgoing.add(sock)
            is_punctual = address[1] in self._faults.punctual_ports
            if not is_punctual and self._draw(self._faults.slow_connect):
                await asyncio.sleep(self._rng.random() * self._faults.max_connect_delay)
            await connect(loop, sock, address)

        loop_class.sock_connect = slow_connect

    def _step_clock(self) -> None:
        """Wrap the wall clock, so that it steps once."""
        read = time.time

        def stepped() -> float:
            """Return the wall clock's time, with the step once that is due."""
            has_stepped = time.monotonic() - self._started_at > self._faults.clock_step_after
            return read() + (self._faults.clock_step if has_stepped else 0.0)

        if self._faults.clock_step:
            time.time = stepped


if __name__ == "__main__":
    SystemCallFaultInjector(SystemCallFaults.from_environment(os.environ)).install()
    sys.exit(main())
