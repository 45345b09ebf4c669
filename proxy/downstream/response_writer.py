"""Writes responses to one client, and observes how fast the client reads them.

It owns the number of unwritten bytes at the last check, and their memory. `connection` determines the order
of responses, and whether the connection stays open after one.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from proxy.memory_budget import MemoryAccount

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Sequence

    from proxy.downstream.errors import HttpError
    from proxy.memory_budget import MemoryBudget

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
UNKNOWN_REASON_PHRASE = b"Other"  # for status codes that `HTTPStatus` does not define


def encode_response(status: int, headers: bytes, body: bytes | bytearray, *, keep_alive: bool) -> bytes:
    """Return the bytes of a complete response.

    Args:
        status: Its status code.
        headers: Its end-to-end headers, each with its line end.
        body: Its body, sent with a `Content-Length`.
        keep_alive: Whether the connection stays open; if not, the response has `Connection: close`.
    """
    head = b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n" % (
        status,
        REASON_PHRASES.get(status, UNKNOWN_REASON_PHRASE),
        headers,
        len(body),
        b"" if keep_alive else b"Connection: close\r\n",
    )
    return head + body


class ResponseWriter:
    """Writes the responses of one connection.

    Attributes:
        paused: Whether no further request is served, because the client reads the responses too slowly.
    """

    __slots__ = ("_account", "_transport", "_unwritten_bytes", "_written_at", "paused")

    def __init__(self, transport: asyncio.Transport, memory: MemoryBudget) -> None:
        self.paused = False
        self._transport = transport
        self._account = MemoryAccount(memory)
        self._unwritten_bytes = 0  # at the last check of the client's progress
        self._written_at = 0.0  # the event loop's time at which the latest response was written

    def write(self, status: int, headers: bytes, body: bytes | bytearray, *, keep_alive: bool) -> None:
        """Write a complete response; the arguments are those of `encode_response`."""
        self._transport.write(encode_response(status, headers, body, keep_alive=keep_alive))

    def write_rejections(self, errors: Sequence[HttpError]) -> None:
        """Write the last responses of the connection, each with its reason as the body."""
        for position, error in enumerate(errors, 1):
            self.write(error.status, b"", error.reason.encode() + b"\n", keep_alive=position < len(errors))

    def buffered_bytes(self) -> int:
        """Return the bytes of responses that were not written at the last update."""
        return self._account.size

    def update_account(self) -> int:
        """Reserve the memory of what is not written yet, and return its size."""
        self._account.update(self._transport.get_write_buffer_size())
        return self._account.size

    def start_progress(self, now: float) -> None:
        """Start to measure how the client reads the latest response, some of which may still be unwritten.

        Args:
            now: The event loop's time.
        """
        self._written_at = now
        self._unwritten_bytes = self._transport.get_write_buffer_size()

    def is_writing(self) -> bool:
        """Return whether a response has not been written completely, because the client reads it slowly."""
        return self._transport.get_write_buffer_size() > 0

    def has_read_progress(self, now: float, longest_deadline: float) -> bool:
        """Return whether the client has read more of a response since the last call, and still needs it.

        Args:
            now: The event loop's time.
            longest_deadline: The longest time in seconds that a client waits for a response; after that, it
                does not need the response any more.
        """
        unwritten_before, self._unwritten_bytes = (
            self._unwritten_bytes,
            self._transport.get_write_buffer_size(),
        )
        return 0 < self._unwritten_bytes < unwritten_before and now < self._written_at + longest_deadline
