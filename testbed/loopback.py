"""The loopback address that everything on the emulating machine listens on, and ports of it.

It neither listens nor connects: servers and clients are in the modules of their roles.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    import asyncio

HOST = "127.0.0.1"

#: Below the ephemeral ports: a client that dials a closed port must not be connected to itself.
PORTS = range(20000, 32000)


def port_of(server: asyncio.Server) -> int:
    """Return the port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])


def free_ports(count: int, rng: np.random.Generator) -> list[int]:
    """Find ports of the loopback address that nothing listens on now.

    Args:
        count: How many are needed.
        rng: Draws where the search begins, so that two runs side by side seldom try the same ports.

    Raises:
        OSError: There are not enough.
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
    raise OSError(f"no {count} free ports from {PORTS.start} to {PORTS.stop}")
