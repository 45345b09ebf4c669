"""Clients of a proxy under test: requests, kinds of disconnect, and clients on plain sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from balancer.settings_reader import read_settings
from tests.support.loopback import Client, RunningProxy, StubBackend, wait_until
from tests.support.open_connections import close_socket_at_end
from tests.support.proxy_inputs import HOST, RAW_SETTINGS, post_request

if TYPE_CHECKING:
    from balancer.settings import Settings
    from proxy.downstream.connection import DownstreamConnection

#: A request with a chunked body.
CHUNKED_REQUEST = post_request(
    Content_Length="", Transfer_Encoding="chunked", body=b"2\r\nro\r\n2\r\nom\r\n0\r\n\r\n"
)

#: The kinds of disconnect of a client.
DISCONNECTIONS = ["close", "half close", "reset"]

#: The size of a receive buffer that is small enough to block the proxy's writes soon.
SLOW_READER_BUFFER_BYTES = 4096

#: The settings of the first and of a later tier, by test id.
TIERS = {"first": {"Tier": 0, "Tiers": ["a", "b"]}, "later": {"Tier": 1, "Tiers": ["a", "b"]}}

#: Whether the settings allow attempts to be cancelled, by test id.
CANCELLATION = {"cancels": True, "no cancels": False}


def disconnect_settings(tier: str, cancellation: str = "cancels", **bounds: Any) -> Settings:
    """Return `RAW_SETTINGS` for a tier, with or without cancellation of attempts, and with other bounds."""
    limits = RAW_SETTINGS["Bounds"] | {"Cancel": CANCELLATION[cancellation]} | bounds
    return read_settings(RAW_SETTINGS | TIERS[tier] | {"Bounds": limits})


def reset_on_close(sock: socket.socket) -> None:
    """Make a later close of the socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def disconnect(client: Client, kind: str) -> None:
    """Close the connection, or reset it."""
    if kind == "reset":
        reset_on_close(client.writer.get_extra_info("socket"))
        client.writer.transport.abort()
    else:
        client.writer.close()


class RawClient:
    """A client with a blocking socket: the proxy's socket has its bytes or close when a call returns."""

    def __init__(self, proxy: RunningProxy) -> None:
        self.sock = socket.create_connection((HOST, proxy.port))
        close_socket_at_end(self.sock)

    def disconnect(self, kind: str) -> None:
        """Close the connection, close only its sending side, or reset it."""
        if kind == "half close":
            self.sock.shutdown(socket.SHUT_WR)
            return
        if kind == "reset":
            reset_on_close(self.sock)
        self.sock.close()


@dataclass
class SlowReader:
    """A client that reads nothing unless the test reads from its socket.

    Attributes:
        sock: The client's socket, with a small receive buffer.
        connection: The proxy's end of the connection.
    """

    sock: socket.socket
    connection: DownstreamConnection


async def connect_slow_reader(proxy: RunningProxy) -> SlowReader:
    """Connect a client that reads nothing by itself; it must be the proxy's only client."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES)
    sock.setblocking(False)
    close_socket_at_end(sock)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, proxy.port))
    await wait_until(lambda: bool(proxy.listener.connections.open))
    [connection] = proxy.listener.connections.open
    return SlowReader(sock, connection)


def has_no_requests(proxy: RunningProxy) -> bool:
    """Return whether neither the dispatcher nor the balancer has any active request."""
    return not proxy.dispatcher.active_requests and not proxy.balancer.requests


def requests_received(*backends: StubBackend) -> int:
    """Return the number of requests at the backends that the test has not removed yet."""
    return sum(backend.received.qsize() for backend in backends)
