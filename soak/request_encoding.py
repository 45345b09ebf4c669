"""Encodes the requests that the clients of a run send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.history import RetrySafety

if TYPE_CHECKING:
    from soak.history import Request


def encode_request(request: Request, *, closes: bool) -> bytes:
    """Return a request's bytes.

    Args:
        request: The request.
        closes: Whether the request asks for its connection to be closed after the response.
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
