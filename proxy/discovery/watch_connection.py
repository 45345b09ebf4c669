"""The connection of one watch on discovery, and how the lines that come on it become messages.

Owns the socket, the parsing, and the time within which something has to come. Does not know what a message
means, and does not open another connection: `proxy.discovery.watch` does.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator, Mapping
from typing import Any, Protocol

import httptools
import orjson

logger = logging.getLogger(__name__)

#: Seconds without a complete line after which a watch is dead. A line is due every 2 s; and within the 6 s in
#: which a change has to be known there must be time for another silent watch, two delays and a connect that
#: times out.
SILENCE_TIMEOUT = 2.5
MAX_MESSAGE_BYTES = 4 << 20  # of a message that is not complete
HTTP_OK = 200

Message = Mapping[str, Any]  # an object of the watch, as it was parsed


class MessageHandler(Protocol):
    """Takes what comes on a watch."""

    def __call__(self, connection: WatchConnection, message: Message | None, /) -> None:
        """Take one message; None says only that the watch is alive."""


class MessageAssembler:
    """Puts the lines of a watch's body together to messages, each of them on one line or indented."""

    def __init__(self) -> None:
        self._line = b""  # the beginning of one that is not complete
        self._object = b""  # the lines of a message that is not complete

    def has_partial_line(self) -> bool:
        """Return whether a line has begun and has not ended."""
        return bool(self._line)

    def feed(self, pieces: list[bytes]) -> Iterator[Message | None]:
        """Take pieces of the body; yield each message that they complete, None for an empty line.

        Raises:
            ValueError: The body can not be read.
        """
        *lines, self._line = b"".join([self._line, *pieces]).split(b"\n")
        for line in lines:
            yield from self._feed_line(line)
        # Without this limit, a line or an object that never ends would fill the memory.
        if len(self._line) + len(self._object) > MAX_MESSAGE_BYTES:
            raise ValueError("an object is too long")

    def _feed_line(self, line: bytes) -> Iterator[Message | None]:
        """Take one line: empty where nothing has changed, else an object, or part of an indented one."""
        if not line.strip():
            if self._object:
                raise ValueError("an object breaks off")
            yield None
            return
        is_first = not self._object
        self._object += line + b"\n"
        if not is_first and not line.rstrip().endswith(b"}"):
            return  # It can not be complete. To parse it after each line would cost much: a list has many.
        try:
            message = orjson.loads(self._object)
        except orjson.JSONDecodeError as error:
            if error.pos < len(self._object.decode().rstrip()):
                raise  # no further line mends it
            return
        self._object = b""
        yield message


class WatchConnection(asyncio.Protocol):
    """The connection of one watch.

    Attributes:
        task: The task that keeps this watch.
        has_responded: Whether anything has come that can be read.
        has_listed: Whether a message about the list has come.
        ended: Done when the connection has ended.
    """

    def __init__(self, on_message: MessageHandler, request: bytes) -> None:
        self._on_message = on_message
        self._request = request
        self._transport: asyncio.Transport | None = None
        self.task = asyncio.current_task()
        self.has_responded = False
        self.has_listed = False
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._body: list[bytes] = []
        self._messages = MessageAssembler()
        self.ended: asyncio.Future[None] = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._silence_timer = self._loop.call_later(SILENCE_TIMEOUT, self.close)
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the response."""
        self._take(data)

    def eof_received(self) -> None:
        """Discovery has ended its sending in order: that ends the last line, and a list without a length."""
        if self._messages.has_partial_line():
            self._body.append(b"\n")
            self._take(b"")

    def _take(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
            self._deliver()
        except Exception as error:  # noqa: BLE001 - whatever is wrong with a list, the last good one stays
            logger.warning("discovery: %r", error)
            self.close()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Let whoever keeps the watch know that the connection has ended."""
        self._silence_timer.cancel()
        del self._parser  # It refers to this object: without this, both would wait for the garbage collector.
        if not self.ended.done():
            self.ended.set_result(None)

    def _deliver(self) -> None:
        """Hand on the messages that have come."""
        if not self._body:
            return
        if self._parser.get_status_code() != HTTP_OK:
            self.close()
            return
        pieces, self._body = self._body, []
        for message in self._messages.feed(pieces):
            self._restart_silence_timer()
            self._on_message(self, message)

    def _restart_silence_timer(self) -> None:
        """Wait anew for a complete line.

        The timer ends a watch that hangs on a machine that has vanished: nothing else would show it. Bytes
        alone do not restart it: a line that trickles and never ends would hold back all changes.
        """
        self._silence_timer.cancel()
        self._silence_timer = self._loop.call_later(SILENCE_TIMEOUT, self.close)

    # ---- the parser's callbacks ----------------------------------------------------------------

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        if self._parser.get_status_code() > HTTP_OK:  # below it, the final response is still to come
            self.close()

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body has come."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: the response is complete."""
        # The end of the response stands for the end of its last line, which may be missing.
        if self._body or self._messages.has_partial_line():
            self._body.append(b"\n")
        self.close()
