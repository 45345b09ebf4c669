"""Parses the bytes of one client's connection into requests, or into an error if one must not be forwarded.

It owns the limits on a request's size, and the rules of HTTP that protect backends and other clients.
`classification` reads the headers that the balancer needs, and `connection` decides when to serve a request.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from proxy.downstream.client_request import REQUEST_BYTES, ClientRequest
from proxy.downstream.errors import HttpError
from proxy.http_common import (
    HEADER_OVERHEAD_BYTES,
    HOP_BY_HOP_HEADERS,
    MAX_BODY_BYTES,
    connection_options,
    without_headers,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HEAD_BYTES = 16 << 10  # bytes of a request's head; backends commonly accept this size
MAX_HEADER_FIELDS = 256  # header lines of a request; each takes time to parse, however short it is
MAX_CHUNKS = 4096  # chunks of a body; each takes time to parse, however short it is
MAX_WIRE_BYTES = 8 * MAX_BODY_BYTES  # bytes of a request as sent; one-byte chunks need six times the body
SUPPORTED_VERSIONS = ("1.1", "1.0")
END_OF_HEAD = b"\r\n\r\n"
HEAD_PIECE_BYTES = 4 << 10  # bytes of a head that are parsed at a time
CHUNKED_PIECE_BYTES = (
    512  # bytes of a chunked body that are parsed at a time: its end is not known beforehand
)

#: Headers, in lower case, whose values the proxy reads itself.
INTERPRETED_HEADERS = frozenset(
    {
        b"x-priority-class",
        b"x-tenant-id",
        b"x-timeout",
        b"x-request-id",
        b"x-retried",
        b"x-cost",
        b"idempotency-key",
        b"host",
    }
)


class RequestParser:
    """The parser of one connection.

    It calls `on_request` with each complete request, in order, until the first error.

    Attributes:
        error: The error that ends the connection's input; None if there is none yet.
        reading: Whether the beginning of a request has been received, but not its end.
        started_at: The event loop's time of the first byte of the latest request.
    """

    def __init__(self, on_request: Callable[[ClientRequest], None]) -> None:
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self.error: HttpError | None = None
        self.reading = False
        self.started_at = 0.0
        self._requests = 0  # complete requests
        self._head_end = b""  # the last bytes of an incomplete head, in which its end may have begun
        self._reset()

    def close(self) -> None:
        """Release the parser: only the garbage collector would free the cycle of it and this object."""
        del self._parser, self._on_request

    def feed(self, data: memoryview, now: float) -> int:
        """Parse the beginning of received bytes, and return how many were parsed.

        At most one request becomes complete, unless the end of a chunked body can't be seen beforehand.

        Args:
            data: Bytes that were received and are not parsed yet; at least one.
            now: The event loop's time at which they were received.
        """
        was_reading, requests_before, self._now = self.reading, self._requests, now
        piece = data[: self._next_piece_size(data)]
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(HTTPStatus.BAD_REQUEST, "the request is malformed")
        if self.reading and (not was_reading or requests_before == self._requests):
            self._count_wire_bytes(len(piece))
        if self.error is not None:
            self._release_buffers()
        return len(piece)

    def reject(self, error: HttpError) -> None:
        """End the input with an error, and release the memory of the incomplete request."""
        self.error = error
        self._release_buffers()

    def _release_buffers(self) -> None:
        """Release the memory of the incomplete request, except for its id; nothing is parsed any more."""
        request_id = self.request_id()
        self._reset()
        self._headers[b"x-request-id"] = request_id
        self.reading = False
        # The previous parser may hold a long header that is incomplete.
        self._parser = httptools.HttpRequestParser(None)

    def _next_piece_size(self, data: memoryview) -> int:
        """Return how many bytes to parse, so that the piece does not extend beyond the current request."""
        if self.reading and self._head_complete:
            if self._content_length is None:
                return CHUNKED_PIECE_BYTES
            return max(1, self._content_length - self._body_bytes)
        # The end of the head may have begun in the previous piece.
        overlap = self._head_end
        head = overlap + bytes(data[:HEAD_PIECE_BYTES])
        position = head.find(END_OF_HEAD)
        self._head_end = head[1 - len(END_OF_HEAD) :] if position < 0 else b""
        return HEAD_PIECE_BYTES if position < 0 else position + len(END_OF_HEAD) - len(overlap)

    def _count_wire_bytes(self, nbytes: int) -> None:
        """Count bytes of an incomplete request.

        An endless header is never passed to the callbacks below, and endless chunk framing is passed to them
        only in small pieces: without these limits, both would fill the memory.
        """
        self._wire_bytes += nbytes
        if not self._head_complete and self._wire_bytes > MAX_HEAD_BYTES:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        elif self._wire_bytes > MAX_WIRE_BYTES:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the request is too large")

    def request_id(self) -> bytes:
        """Return the client's id of the latest request; empty if it was not received."""
        return self._headers.get(b"x-request-id", b"")

    def buffered_bytes(self) -> int:
        """Return the bytes of an incomplete request, which may be in two places while a header is read."""
        if not self.reading:
            return 0
        if not self._head_complete:
            return REQUEST_BYTES + 2 * self._wire_bytes
        return REQUEST_BYTES + 2 * len(self._forwarded_headers) + len(self._body)

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        if self.error is None:
            self.error = HttpError(status, reason)

    def _reset(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._connection_options = b""  # the values of all `Connection` headers, each after a comma
        # One buffer each: as an object of its own, a short header or chunk would take many times its size.
        self._target = bytearray()
        self._forwarded_headers = bytearray()
        self._body = bytearray()
        self._head_bytes = self._head_fields = self._chunks = self._body_bytes = self._wire_bytes = 0
        self._content_length: int | None = 0  # None: the body is chunked
        self._head_complete = False

    # ---- the parser's callbacks ------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Parser callback: a request starts."""
        self._reset()
        self.reading, self.started_at = True, self._now

    def on_url(self, url: bytes) -> None:
        """Parser callback: a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header or trailer."""
        # A trailer must not be used as a header, and the headers of a rejected request are not needed.
        if self._head_complete or self.error is not None:
            return
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        self._head_fields += 1
        if self._head_bytes > MAX_HEAD_BYTES or self._head_fields > MAX_HEADER_FIELDS:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        elif not value.isascii():  # some backends close the connection when they can't decode a header
            self._fail(HTTPStatus.BAD_REQUEST, "a header is not plain text")
        else:
            self._process_header(name, name.lower(), value)

    def _process_header(self, name: bytes, lower_name: bytes, value: bytes) -> None:
        if lower_name in INTERPRETED_HEADERS:
            if lower_name in self._headers:  # a backend might use the value of the other one
                self._fail(HTTPStatus.BAD_REQUEST, "a header comes twice")
            self._headers[lower_name] = value
        elif lower_name == b"connection":
            self._connection_options += b"," + value.lower()
        elif lower_name == b"content-length":
            self._content_length = int(value)
            if self._content_length > MAX_BODY_BYTES:
                self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        elif lower_name == b"transfer-encoding":
            self._content_length = None
            if value.lower() != b"chunked":
                # A backend might find the end of the body at another place, and parse the remaining bytes as
                # a separate request (request smuggling).
                self._fail(HTTPStatus.BAD_REQUEST, "the transfer coding is unknown")
        # A name with `_` is not forwarded: a backend that treats `_` as `-` would read a header that has not
        # been checked here.
        if lower_name != b"x-timeout" and lower_name not in HOP_BY_HOP_HEADERS and b"_" not in lower_name:
            self._forwarded_headers += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        self._head_complete = True
        version = self._parser.get_http_version()
        if self._parser.should_upgrade():  # the bytes after the head would not be a request
            self._fail(HTTPStatus.BAD_REQUEST, "no upgrade here")
        elif version not in SUPPORTED_VERSIONS:
            self._fail(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here")
        elif version == "1.1" and b"host" not in self._headers:
            self._fail(HTTPStatus.BAD_REQUEST, "no host")
        elif self._connection_options:
            self._drop_headers(connection_options(self._connection_options))

    def _drop_headers(self, names: set[bytes]) -> None:
        """Drop the headers that `Connection` names: they are hop-by-hop headers, which are not forwarded.

        Headers that the proxy interprets must not be among them: the forwarded request would lose its id, for
        example.
        """
        if not names.isdisjoint(INTERPRETED_HEADERS):
            self._fail(HTTPStatus.BAD_REQUEST, "a header can't be dropped")
        lines = bytes(self._forwarded_headers).splitlines(keepends=True)
        self._forwarded_headers = bytearray().join(without_headers(lines, names))

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        if self.error is not None:
            return
        self._body_bytes += len(body)
        self._chunks += self._content_length is None
        if self._chunks > MAX_CHUNKS:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body has too many chunks")
        elif self._body_bytes <= MAX_BODY_BYTES:
            self._body += body
        else:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        self.reading = False
        self._requests += 1
        target = bytes(self._target)
        if b"#" in target:
            self._fail(HTTPStatus.BAD_REQUEST, "the target is malformed")
        if self.error is not None:
            return
        request = ClientRequest(
            self._parser.get_method(),
            target,
            self._headers,
            bytes(self._forwarded_headers),
            bytes(self._body),
            self.started_at,
            self._parser.should_keep_alive(),
        )
        self._reset()  # an idle connection must not keep parts of its last request
        self._on_request(request)
