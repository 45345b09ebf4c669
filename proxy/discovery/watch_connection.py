"""The connection of one watch on discovery: its request, its response and its silence timeout.

It owns the socket, the parsing, and the time within which a line has to arrive. It does not know what a
message means, and does not open another connection: `proxy.discovery.watch` does.
"""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

import httptools

from proxy.discovery.message_assembler import MessageAssembler

if TYPE_CHECKING:
    from proxy.discovery.messages import EndpointListMessage

logger = logging.getLogger(__name__)

#: Seconds without a complete line after which a watch is dead. Discovery sends a line every 2 s; and the 6 s
#: within which a change has to be known must leave time for another silent watch, two delays and a connect
#: timeout.
SILENCE_TIMEOUT = 2.5


class MessageHandler(Protocol):
    """Receives the messages of a watch."""

    def __call__(self, connection: WatchConnection, message: EndpointListMessage | None, /) -> None:
        """Handle one message; None is an empty line, which only shows that the watch is alive."""


class WatchConnection(asyncio.Protocol):
    """The connection of one watch.

    Attributes:
        task: The task that runs this watch.
        has_responded: Whether a readable line has arrived.
        has_listed: Whether a message with endpoints or a version has arrived.
        ended: Done when the connection has ended.
    """

    def __init__(self, on_message: MessageHandler, request: bytes) -> None:
        """Prepare a connection; must run in the task of its watch.

        Args:
            on_message: Receives the messages.
            request: The request to send once the connection is established.
        """
        self._on_message = on_message
        self._request = request
        self._transport: asyncio.Transport | None = None
        self.task = asyncio.current_task()
        self.has_responded = False
        self.has_listed = False
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._body: list[bytes] = []  # pieces that are parsed and not yet assembled
        self._messages = MessageAssembler()
        self.ended: asyncio.Future[None] = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Transport callback: send the request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._silence_timer = self._loop.call_later(SILENCE_TIMEOUT, self.close)
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Transport callback: bytes of the response have arrived."""
        self._parse(data)

    def eof_received(self) -> None:
        """Transport callback: an orderly close, which ends the last line, and a response without a length."""
        if self._messages.has_partial_line():
            self._body.append(b"\n")
            self._parse(b"")

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
            self._deliver()
        except Exception as error:  # noqa: BLE001 - any error in a list: the last good list stays in force
            logger.warning("discovery: %r", error)
            self.close()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Transport callback: report the end of the connection through `ended`."""
        self._silence_timer.cancel()
        del (
            self._parser
        )  # Parser and connection refer to each other, and would wait for the garbage collector.
        if not self.ended.done():
            self.ended.set_result(None)

    def _deliver(self) -> None:
        """Report the messages that have arrived."""
        if not self._body:
            return
        if self._parser.get_status_code() != HTTPStatus.OK:
            self.close()
            return
        pieces, self._body = self._body, []
        for message in self._messages.feed(pieces):
            self._restart_silence_timer()
            self._on_message(self, message)

    def _restart_silence_timer(self) -> None:
        """Restart the timeout after a complete line.

        The timeout ends a watch on a machine that has vanished: nothing else would show that. Bytes alone do
        not restart it: a line that arrives slowly and never ends would delay all changes.
        """
        self._silence_timer.cancel()
        self._silence_timer = self._loop.call_later(SILENCE_TIMEOUT, self.close)

    # ---- callbacks of httptools ----------------------------------------------------------------

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        if self._parser.get_status_code() > HTTPStatus.OK:  # a lower status is interim: the final one follows
            self.close()

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: the response is complete."""
        # The end of the response also ends its last line, whose line end may be missing.
        if self._body or self._messages.has_partial_line():
            self._body.append(b"\n")
        self.close()
