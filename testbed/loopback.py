"""The loopback address that backends, registries and proxies listen on, and helpers for its ports."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    import asyncio

HOST = "127.0.0.1"

#: The range is below the ephemeral ports. A client that connects to a closed port in the ephemeral range can
#: be connected to itself, because its own port is drawn from that range.
PORTS = range(20000, 32000)

ZERO_LINGER = struct.pack("ii", 1, 0)  # value of SO_LINGER: enabled, 0 seconds


class NoFreePortsError(OSError):
    """Not enough ports of `PORTS` are free."""

    def __init__(self, count: int) -> None:
        super().__init__(f"no {count} free ports from {PORTS.start} to {PORTS.stop}")
        self.count = count


def port_of(server: asyncio.Server) -> int:
    """Return the port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])


def reset_on_close(sock: socket.socket) -> None:
    """Make a socket reset its connection when it is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)


def free_ports(count: int, rng: np.random.Generator) -> list[int]:
    """Find free ports of the loopback address.

    Args:
        count: The number of ports.
        rng: Chooses the port at which the search begins, so that concurrent runs rarely try the same ports.

    Raises:
        NoFreePortsError: Not enough ports are free.
    """
    free: list[int] = []
    for port in np.roll(np.array(PORTS), int(rng.integers(len(PORTS)))):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, int(port)))
            except OSError:
                continue
        free.append(int(port))
        if len(free) == count:
            return free
    raise NoFreePortsError(count)
