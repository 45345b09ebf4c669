"""What clients and backends of a run share: headers, the request's form, and resetting a connection."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from soak.history import RetrySafety

if TYPE_CHECKING:
    from soak.history import Request

LINGER_FOR_NO_TIME = struct.pack("ii", 1, 0)  # the option's value: on, 0 seconds


def read_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the headers of a message's head, by their names in lower case."""
    pairs = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in pairs}


def encode_request(request: Request, *, closes: bool) -> bytes:
    """Return a request's bytes.

    Args:
        request: The request.
        closes: Whether it asks for its connection to be closed after the response.
    """
    is_read_only = request.safety is RetrySafety.IDEMPOTENT
    method, body = ("GET", "") if is_read_only else ("POST", f"body of {request.id}")
    key = f"Idempotency-Key: {request.id}\r\n" if request.safety is RetrySafety.KEYED else ""
    return (
        f"{method} /api/k HTTP/1.1\r\nHost: b\r\nX-Request-ID: {request.id}\r\n"
        f"X-Priority-Class: {request.safety}\r\nX-Timeout: {request.timeout:.3f}\r\n{key}"
        f"X-Soak-Proxy: {request.proxy}\r\nContent-Length: {len(body)}\r\n"
        f"{'Connection: close' if closes else 'X-Rest: 1'}\r\n\r\n{body}"
    ).encode()


def reset_on_close(sock: socket.socket) -> None:
    """Have a socket reset its connection when it is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_FOR_NO_TIME)
