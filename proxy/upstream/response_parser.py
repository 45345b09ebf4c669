"""Parses the bytes of one connection into responses, and decides which responses are unusable.

It owns the data of the response that is being read, and its share of the memory budget. It handles neither
the socket nor the attempt: `UpstreamConnection` passes received bytes to it and acts on its state.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from balancer.events import Outcome
from proxy.http_common import (
    HEADER_OVERHEAD_BYTES,
    HOP_BY_HOP_HEADERS,
    MAX_BODY_BYTES,
    READ_BUFFER_BYTES,
    connection_options,
    without_headers,
)
from proxy.memory_budget import MemoryAccount

if TYPE_CHECKING:
    from proxy.memory_budget import MemoryBudget

#: Bytes of the body of one response. The protocol's limit is 64 KiB, but some backends exceed it: responses
#: of 350 KB occurred.
MAX_RESPONSE_BODY_BYTES = 1 << 20

#: Of the memory for all peers, for the body of one response: it is copied while it is passed on.
MAX_BUDGET_FRACTION = 0.25

#: Bytes of an incomplete response that are stored even if the memory is used up, so that other peers can't
#: stop small responses from being passed on.
GUARANTEED_BYTES = 2 << 10

#: Bytes of the head of a response, including the heads of interim responses: the usual limit of HTTP clients.
MAX_RESPONSE_HEAD_BYTES = 16 << 10

MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final response

# Plain integers, because looking up a member of an enum class is slow in Python 3.11.
STATUS_CONTINUE = HTTPStatus.CONTINUE.value  # the lowest status code
STATUS_SWITCHING_PROTOCOLS = HTTPStatus.SWITCHING_PROTOCOLS.value
STATUS_OK = HTTPStatus.OK.value  # the lowest status code that is not interim
OVERLOAD_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE.value, HTTPStatus.GATEWAY_TIMEOUT.value)


class ResponseState(Enum):
    """How far the response to the current attempt has been read."""

    HEAD = auto()  # the head of the final response is incomplete; interim (1xx) responses may have arrived
    BODY = auto()  # the head is complete, the body is not
    COMPLETE = auto()
    UNUSABLE = auto()  # malformed, too large, or not plain HTTP/1.1: no part of it may be forwarded


# Module constants, because looking up a member of an enum class is slow in Python 3.11.
HEAD, BODY, COMPLETE, UNUSABLE = ResponseState


@dataclass(slots=True)
class UpstreamResponse:
    """A backend's complete response.

    Attributes:
        status: The status code.
        head: The end-to-end header lines, each with its line end.
        body: The body, without transfer encoding.
        not_processed: Whether the backend reports that it did not process the request.
    """

    status: int
    head: bytes
    body: bytes | bytearray
    not_processed: bool

    def outcome(self) -> Outcome:
        """Return the outcome of the attempt that received this response."""
        if self.status == STATUS_OK:
            return Outcome.SUCCESS
        is_overload = self.status in OVERLOAD_STATUSES and self.not_processed
        return Outcome.OVERLOADED if is_overload else Outcome.ERROR


class ResponseParser:
    """The parser of one connection; `reset` prepares it for the response to the next attempt.

    Attributes:
        state: How far the response has been read.
        receiving: Whether a message has begun and is not complete.
        has_grant: Whether it may be received to its end, although it needs much memory.
        keep_alive: Whether the input so far allows another request on this connection.
    """

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._account = MemoryAccount(memory)
        self.has_grant = False
        self._http_parser = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Prepare for the response to another request."""
        self.state = HEAD
        self.receiving = False
        self.keep_alive = True
        self._response: UpstreamResponse | None = None
        # One buffer each: as an object of its own, a short header or chunk would take many times its size.
        self._headers = bytearray()
        self._body = bytearray()
        self._connection_options = b""  # the values of the Connection headers, each preceded by a comma
        self._not_processed = False
        self._content_length: int | None = None  # bytes of the body; None if the headers do not state it
        self._is_framed = False  # whether the headers define the end of the body
        self._bytes_before_body = 0  # bytes passed to `feed` before the head was complete
        self._header_bytes = 0
        self._body_bytes = 0
        self._interim_responses = 0

    def feed(self, data: memoryview) -> ResponseState:
        """Parse received bytes, and return the new state of the response."""
        try:
            self._http_parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.keep_alive = False
            if self.state is not COMPLETE:
                self.state = UNUSABLE
        if self.state is HEAD:
            # `on_header` only counts complete headers: a single endless header would fill the memory.
            self._bytes_before_body += len(data)
            if self._bytes_before_body > MAX_RESPONSE_HEAD_BYTES + READ_BUFFER_BYTES:
                self.state = UNUSABLE
        return self.state

    def reserve_memory(self) -> bool:
        """Reserve the memory of the response if it is incomplete, and return whether it may be read on.

        All of its body is reserved at once: otherwise, responses could wait for each other's memory. A
        response that becomes complete with one read is passed on without.
        """
        if self.state is not HEAD and self.state is not BODY:
            return True
        buffered, needed = self._buffered_bytes(), self._needed_bytes()
        additional = needed - self._account.size
        if self.has_grant and additional > 0 and not self._memory.has_room(additional):
            self.state = UNUSABLE  # longer than expected
        elif not self.has_grant and needed > GUARANTEED_BYTES:
            self.has_grant = self._memory.grant(additional)
            if not self.has_grant:
                self._account.update(buffered)
                return False
        self._account.update(needed)
        return True

    def _buffered_bytes(self) -> int:
        if self.state is HEAD:
            return min(self._bytes_before_body, MAX_RESPONSE_HEAD_BYTES) + len(self._headers)
        return len(self._headers) + len(self._body)

    def _needed_bytes(self) -> int:
        """Return the bytes that the response is expected to need."""
        if self.state is HEAD:
            return self._buffered_bytes()
        expected = MAX_BODY_BYTES if self._content_length is None else self._content_length
        return len(self._headers) + max(len(self._body), expected)

    def _release_memory(self) -> None:
        self._account.update(0)
        if self.has_grant:
            self.has_grant = False
            self._memory.end_grant()

    def _max_body_bytes(self) -> float:
        return min(MAX_RESPONSE_BODY_BYTES, MAX_BUDGET_FRACTION * self._memory.limit)

    def end_of_input(self) -> ResponseState:
        """Handle a normal close by the backend, which ends a body without a length or chunked encoding.

        It must not be called for a connection reset, after which the body may be incomplete.

        Returns:
            The new state of the response.
        """
        if self.state is BODY and not self._is_framed:
            self.keep_alive = False
            self._complete()
        return self.state

    def take_response(self) -> UpstreamResponse:
        """Return the complete response; may be called once per response."""
        response = self._response
        assert response is not None
        self._response = None
        return response

    def close(self) -> None:
        """Release all memory after the connection has ended.

        The httptools parser and this object refer to each other. Deleting one reference frees both without a
        garbage collection.
        """
        self._release_memory()
        del self._http_parser

    # ---- callbacks of httptools ----------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Parser callback: a message begins."""
        self.receiving = True
        if self.state is COMPLETE:  # a second response: the first one is used
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header or trailer."""
        if self.state is not HEAD:  # a trailer, which must not be treated as a header
            return
        self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        lower_name = name.lower()
        if lower_name == b"x-not-processed":
            self._not_processed = value == b"1"
        elif lower_name == b"connection":
            self._connection_options += b"," + value.lower()
        elif lower_name == b"content-length":
            self._is_framed = True
            self._content_length = int(value)
            if self._content_length > self._max_body_bytes():
                self.state = UNUSABLE
        elif lower_name == b"transfer-encoding":
            self._is_framed = True
            if value.lower() != b"chunked":
                self.state = UNUSABLE
        # X-Server-Load is meant only for the proxy, and clients may fail to parse headers that are not ASCII.
        elif lower_name not in HOP_BY_HOP_HEADERS and lower_name != b"x-server-load" and value.isascii():
            self._headers += b"%b: %b\r\n" % (name, value)
        if self._header_bytes > MAX_RESPONSE_HEAD_BYTES:
            self.state = UNUSABLE

    def on_headers_complete(self) -> None:
        """Parser callback: a head is complete."""
        if self.state is not HEAD:
            return
        status = self._http_parser.get_status_code()
        if STATUS_CONTINUE <= status < STATUS_OK:  # interim
            self._interim_responses += 1
            # The proxy never requests another protocol. An endless series of interim responses would block
            # the attempt until its deadline.
            if status == STATUS_SWITCHING_PROTOCOLS or self._interim_responses > MAX_INTERIM_RESPONSES:
                self.state = UNUSABLE
            return
        self.state = BODY
        if self._connection_options:
            hop_by_hop_names = connection_options(self._connection_options)
            lines = bytes(self._headers).splitlines(keepends=True)
            self._headers = bytearray().join(without_headers(lines, hop_by_hop_names))

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        if self.state is not BODY:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes():  # an endless response would fill the memory
            self.state = UNUSABLE
        else:
            self._body += body

    def on_message_complete(self) -> None:
        """Parser callback: the message is complete."""
        if self.state is HEAD:  # an interim response is complete; the next message follows
            self.receiving = False
            self._headers.clear()
            self._content_length = None
            self._connection_options = b""
            self._is_framed = False
        elif self.state is BODY:
            self.keep_alive = self._http_parser.should_keep_alive()
            self._complete()

    def _complete(self) -> None:
        self.state = COMPLETE
        self._response = UpstreamResponse(
            self._http_parser.get_status_code(),
            bytes(self._headers),
            self._body,
            self._not_processed,
        )
        self._headers, self._body = bytearray(), bytearray()
        self._release_memory()
