"""A client's complete request, as `request_parser` has parsed it."""

from __future__ import annotations

from dataclasses import dataclass

REQUEST_BYTES = 1 << 10  # memory of a request without its headers and its body


@dataclass(slots=True)
class ClientRequest:
    """A complete request as the client sent it.

    Attributes:
        method: Its method, as sent.
        target: Its target, query included.
        headers: The values of its headers that the proxy reads itself, by their names in lower case.
        forwarded_headers: All its end-to-end headers, each with its line end, except `X-Timeout`, which each
            attempt sets to the remaining time.
        body: Its body, without framing.
        received_at: The event loop's time of its first byte.
        keep_alive: Whether the connection stays open after the response.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    forwarded_headers: bytes
    body: bytes
    received_at: float
    keep_alive: bool

    @property
    def request_id(self) -> bytes:
        """The client's id of the request; empty if it has none."""
        return self.headers.get(b"x-request-id", b"")

    def buffered_bytes(self) -> int:
        """Return the bytes of memory that the request uses."""
        interpreted = sum(map(len, self.headers.values()))
        return REQUEST_BYTES + len(self.target) + interpreted + len(self.forwarded_headers) + len(self.body)
