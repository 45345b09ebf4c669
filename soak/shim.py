"""Runs the proxy in this process with faulty system calls and a wall clock that steps: `python -m soak.shim`.

The faults are read from the environment, and are drawn from a seed. It wraps methods of `socket.socket`, the
loop's connecting and `time.time`, as the standard library calls them, and nothing of the proxy. What a fault
does is what Linux documents: the call fails with that error, transfers less, or takes longer.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import random
import socket
import sys
import time
from contextlib import suppress
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any
from weakref import WeakSet

from proxy.__main__ import main

if TYPE_CHECKING:
    from collections.abc import Callable

VARIABLE = "SOAK_FAULTS"  # of the environment: the faults as JSON
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED, errno.ENOBUFS)
READ_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
MAX_SHORT_TRANSFER = 64  # bytes of a read or write that is cut short
QUIET_START = 1.0  # seconds in which no call fails: faults at the start are a scenario of their own


@dataclass(slots=True, frozen=True)
class Faults:
    """The chances of faults, of each call.

    Attributes:
        seed: What they are drawn from.
        accept, sockets, connect, read: Chances that such a call fails.
        short: Chance that a read or a write transfers a few bytes alone.
        slow_connect: Chance that a connection comes up late.
        max_connect_delay: The most seconds by which it is late.
        punctual_ports: Where connections come up at once: discovery's agent is on the proxy's own machine.
        clock_step: Seconds by which the wall clock steps.
        clock_step_after: Seconds after the start at which it does.
    """

    seed: int = 0
    accept: float = 0.0
    sockets: float = 0.0
    connect: float = 0.0
    read: float = 0.0
    short: float = 0.0
    slow_connect: float = 0.0
    max_connect_delay: float = 0.0
    punctual_ports: tuple[int, ...] = ()
    clock_step: float = 0.0
    clock_step_after: float = 0.0

    def to_environment(self) -> dict[str, str]:
        """Return the variables that hand these faults to a process."""
        return {VARIABLE: json.dumps(asdict(self))}


class FaultInjector:
    """Wraps the calls of one process."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._rng = random.Random(faults.seed)
        self._started_at = time.monotonic()
        self._dialled: WeakSet[socket.socket] = WeakSet()  # sockets that were connected from here

    def install(self) -> None:
        """Wrap all calls that may fail."""
        faults = self._faults
        self._wrap_failing("accept", faults.accept, ACCEPT_ERRORS)
        self._wrap_failing("recv_into", faults.read, READ_ERRORS, breaks=True)
        self._wrap_failing("recv", faults.read, READ_ERRORS, breaks=True)
        self._wrap_failing("connect", faults.connect, CONNECT_ERRORS)
        self._wrap_failing("__init__", faults.sockets, SOCKET_ERRORS)
        self._shorten_transfers()
        self._delay_connects()
        self._step_clock()

    def _strikes(self, chance: float) -> bool:
        return self._rng.random() < chance and time.monotonic() - self._started_at > QUIET_START

    def _wrap_failing(self, name: str, chance: float, errors: tuple[int, ...], breaks: bool = False) -> None:
        """Let a method of sockets fail; `breaks`: such an error ends the connection, as the kernel would."""
        call: Callable[..., Any] = getattr(socket.socket, name)
        dialled = self._dialled

        def failing(sock: socket.socket, *args: Any, **kwargs: Any) -> Any:
            """Fail by chance, or call the method."""
            is_new = kwargs.get("fileno") is None  # `accept` wraps a descriptor that there is already
            # A client whose connection broke would be owed nothing: only those to others break.
            if is_new and (sock in dialled or not breaks) and self._strikes(chance):
                number = self._rng.choice(errors)
                if breaks:
                    with suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)
                raise OSError(number, os.strerror(number))
            return call(sock, *args, **kwargs)

        if chance:
            setattr(socket.socket, name, failing)

    def _shorten_transfers(self) -> None:
        send, receive_into = socket.socket.send, socket.socket.recv_into

        def short_send(sock: socket.socket, data: Any, *args: Any) -> int:
            """Send a few bytes by chance, or as many as can be sent."""
            short = self._strikes(self._faults.short)
            return send(sock, memoryview(data)[:MAX_SHORT_TRANSFER] if short else data, *args)

        def short_receive_into(sock: socket.socket, buffer: Any, *args: Any) -> int:
            """Receive a few bytes by chance, or as many as there are."""
            short = self._strikes(self._faults.short)
            return receive_into(sock, memoryview(buffer)[:MAX_SHORT_TRANSFER] if short else buffer, *args)

        if self._faults.short:
            socket.socket.send = short_send  # type: ignore[method-assign, assignment]
            socket.socket.recv_into = short_receive_into  # type: ignore[method-assign, assignment]

    def _delay_connects(self) -> None:
        loop_class: Any = asyncio.SelectorEventLoop
        connect = loop_class.sock_connect

        async def slow_connect(loop: Any, sock: socket.socket, address: Any) -> None:
            """Connect, after a while by chance."""
            self._dialled.add(sock)
            punctual = address[1] in self._faults.punctual_ports
            if not punctual and self._strikes(self._faults.slow_connect):
                await asyncio.sleep(self._rng.random() * self._faults.max_connect_delay)
            await connect(loop, sock, address)

        loop_class.sock_connect = slow_connect

    def _step_clock(self) -> None:
        read = time.time

        def stepped() -> float:
            """Return the wall clock's time, with its step once that is due."""
            has_stepped = time.monotonic() - self._started_at > self._faults.clock_step_after
            return read() + (self._faults.clock_step if has_stepped else 0.0)

        if self._faults.clock_step:
            time.time = stepped


if __name__ == "__main__":
    FaultInjector(Faults(**json.loads(os.environ.get(VARIABLE, "{}")))).install()
    sys.exit(main())
