"""How a response to a client looks on the wire; it owns no connection and sends nothing."""

from __future__ import annotations

from http import HTTPStatus

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
UNKNOWN_REASON_PHRASE = b"Other"  # backends may send status codes that no standard lists


def encode_response(status: int, headers: bytes, body: bytes, keep_alive: bool) -> bytes:
    """Return a complete response.

    Args:
        status: Its status code.
        headers: Its end-to-end headers, each with its line end.
        body: Its body, sent with a `Content-Length`.
        keep_alive: Whether the connection stays open; `Connection: close` says that it does not.
    """
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASON_PHRASES.get(status, UNKNOWN_REASON_PHRASE),
        headers,
        len(body),
        b"" if keep_alive else b"Connection: close\r\n",
        body,
    )
