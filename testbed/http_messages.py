"""Reads and writes the HTTP/1.1 messages of stub backends, registries and test clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

END_OF_HEAD = b"\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"  # head of the response to a watch


def read_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the header values of a message's head by header name in lower case."""
    pairs = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in pairs}


def content_length(headers: dict[bytes, bytes]) -> int:
    """Return the length of a message's body in bytes; 0 without a Content-Length header."""
    return int(headers.get(b"content-length", b"0"))


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """Read one message with the body that its Content-Length announces, and return its bytes.

    Raises:
        asyncio.IncompleteReadError: The connection was closed before the message was complete.
    """
    head = await reader.readuntil(END_OF_HEAD)
    return head + await reader.readexactly(content_length(read_headers(head)))


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
