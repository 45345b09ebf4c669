"""The loopback address that all stand-ins and proxies of a testbed listen on, its ports and its sockets.

This module neither listens nor connects: servers and clients are in the modules of their roles.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    import asyncio

HOST = "127.0.0.1"

#: Below the ephemeral ports: a client that connects to a closed port must not be connected to itself.
PORTS = range(20000, 32000)

LINGER_FOR_NO_TIME = struct.pack("ii", 1, 0)  # the socket option's value: on, 0 seconds


class NoFreePortsError(OSError):
    """There are not enough free ports."""

    def __init__(self, count: int) -> None:
        super().__init__(f"no {count} free ports from {PORTS.start} to {PORTS.stop}")
        self.count = count


def port_of(server: asyncio.Server) -> int:
    """Return the port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])


def reset_on_close(sock: socket.socket) -> None:
    """Have a socket reset its connection when it is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_FOR_NO_TIME)


def free_ports(count: int, rng: np.random.Generator) -> list[int]:
    """Find ports of the loopback address that nothing listens on now.

    Args:
        count: How many are needed.
        rng: Draws where the search begins, so that two runs at once seldom try the same ports.

    Raises:
        NoFreePortsError: There are not enough.
    """
    found: list[int] = []
    for port in np.roll(np.array(PORTS), int(rng.integers(len(PORTS)))):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, int(port)))
            except OSError:
                continue
        found.append(int(port))
        if len(found) == count:
            return found
    raise NoFreePortsError(count)
