"""Runs the proxy in this process with faults of system calls and a clock step: `python -m soak.shim`.

The faults come from an environment variable, and a seed determines when they happen. The shim wraps methods
of `socket.socket`, the event loop's `sock_connect` and `time.time`, and no code of the proxy. Each fault is
one that Linux documents for the call: an error, a short transfer, or a delay.
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
FAULT_FREE_TIME = 1.0  # seconds after the start without faults; faults during the start are not simulated


class SystemCallFaultInjector:
    """Wraps the system calls of this process."""

    def __init__(self, faults: SystemCallFaults) -> None:
        self._faults = faults
        self._rng = random.Random(faults.seed)
        self._started_at = time.monotonic()
        self._outgoing: WeakSet[socket.socket] = WeakSet()  # sockets of connections that this process opened

    def install(self) -> None:
        """Wrap all calls that can have a fault."""
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
        """Return at random, with this probability, whether a fault happens now."""
        return self._rng.random() < probability and time.monotonic() - self._started_at > FAULT_FREE_TIME

    def _wrap_failing(
        self, name: str, probability: float, errors: tuple[int, ...], *, ends_connection: bool = False
    ) -> None:
        """Wrap a method of sockets so that it fails at random.

        Args:
            name: The method's name.
            probability: The probability of a failure for each call.
            errors: The possible error numbers of a failure.
            ends_connection: Whether a failure also shuts the connection down, as the kernel does.
        """
        call: Callable[..., Any] = getattr(socket.socket, name)
        outgoing = self._outgoing

        def failing(sock: socket.socket, *args: Any, **kwargs: Any) -> Any:
            """Fail at random, or call the method."""
            is_new = kwargs.get("fileno") is None  # `accept` creates a socket for an existing descriptor
            # Only outgoing connections are shut down, because a client whose connection has failed can't
            # receive a response.
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
        """Wrap sending and receiving so that they transfer only a few bytes at random."""
        send, receive_into = socket.socket.send, socket.socket.recv_into

        def short_send(sock: socket.socket, data: Any, *args: Any) -> int:
            """Send only a few bytes at random, or as many as possible."""
            short = self._draw(self._faults.short)
            return send(sock, memoryview(data)[:MAX_SHORT_TRANSFER] if short else data, *args)

        def short_receive_into(sock: socket.socket, buffer: Any, *args: Any) -> int:
            """Receive only a few bytes at random, or as many as possible."""
            short = self._draw(self._faults.short)
            return receive_into(sock, memoryview(buffer)[:MAX_SHORT_TRANSFER] if short else buffer, *args)

        if self._faults.short:
            socket.socket.send = short_send  # type: ignore[method-assign, assignment]
            socket.socket.recv_into = short_receive_into  # type: ignore[method-assign, assignment]

    def _delay_connects(self) -> None:
        """Wrap the event loop's `sock_connect` so that connections are established late at random."""
        loop_class: Any = asyncio.SelectorEventLoop
        connect = loop_class.sock_connect

        async def slow_connect(loop: Any, sock: socket.socket, address: Any) -> None:
            """Connect, at random after a delay."""
            self._outgoing.add(sock)
            is_punctual = address[1] in self._faults.punctual_ports
            if not is_punctual and self._draw(self._faults.slow_connect):
                await asyncio.sleep(self._rng.random() * self._faults.max_connect_delay)
            await connect(loop, sock, address)

        loop_class.sock_connect = slow_connect

    def _step_clock(self) -> None:
        """Wrap the wall clock so that it steps once."""
        read_clock = time.time

        def stepped_time() -> float:
            """Return the wall clock's time, which includes the step after `clock_step_after` seconds."""
            has_stepped = time.monotonic() - self._started_at > self._faults.clock_step_after
            return read_clock() + (self._faults.clock_step if has_stepped else 0.0)

        if self._faults.clock_step:
            time.time = stepped_time


if __name__ == "__main__":
    SystemCallFaultInjector(SystemCallFaults.from_environment(os.environ)).install()
    sys.exit(main())
