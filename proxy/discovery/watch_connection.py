"""The connection of one watch on discovery: its request, its response, and when the next line is overdue.

It owns the socket, the parsing, and the timer for the next line. `proxy.discovery.address_watcher` decides
what follows when a line is overdue, and `proxy.discovery.watch` interprets the messages.
"""

from __future__ import annotations

import asyncio
import logging
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

import httptools

from proxy.discovery.message_assembler import MessageAssembler

if TYPE_CHECKING:
    from collections.abc import Callable

    from proxy.address import Address
    from proxy.discovery.messages import EndpointListMessage

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT = 0.25  # seconds until a connect is overdue; discovery's agent runs on the same machine

#: Seconds without a complete line after which a watch is overdue. It is longer than the 2 s between two
#: heartbeats of discovery. It is short enough that a silent watch, a call without any response, the delays
#: before the next calls and a connect fit into the 6 s within which a change must be applied.
LINE_TIMEOUT = 2.5


class WatchEnd(StrEnum):
    """Why a watch ended."""

    ENDED = "ended"  # discovery ended the response or the connection
    UNREADABLE = "unreadable"  # the response is not HTTP, has another status, or contains an invalid line
    NOT_CONNECTED = "not_connected"  # the connection was refused or could not be established
    FAILED_HERE = "failed_here"  # a system call of this process failed
    REPLACED = "replaced"  # it was overdue, and a further watch needed its place
    NOT_NEEDED = "not_needed"  # another watch has responded, or the address of discovery has changed


class MessageHandler(Protocol):
    """Receives the messages of a watch."""

    def __call__(self, connection: WatchConnection, message: EndpointListMessage | None, /) -> None:
        """Handle one message; None is an empty line, which is a heartbeat."""


class WatchConnection(asyncio.Protocol):
    """The connection of one watch.

    Attributes:
        since: The version of the list after which it requests changes.
        opened_at: When it was opened, on the event loop's clock.
        is_connected: Whether the connection has been established.
        is_overdue: Whether the connect or the next line has taken too long.
        has_responded: Whether a heartbeat or a valid message has arrived.
        has_received_list: Whether a valid message, that is a list or a change to it, has arrived.
        end: Why it ended; None: it is open.
    """

    def __init__(
        self,
        address: Address,
        since: int,
        on_message: MessageHandler,
        on_status_change: Callable[[WatchConnection], None],
    ) -> None:
        """Prepare a connection; `run` opens it.

        Args:
            address: The address of discovery.
            since: The version of the list after which changes are requested.
            on_message: Receives the messages.
            on_status_change: Called when the watch is overdue.
        """
        self._address = address
        self.since = since
        self._on_message = on_message
        self._on_status_change = on_status_change
        self._loop = asyncio.get_running_loop()
        self.opened_at = self._loop.time()
        self.is_connected = self.is_overdue = False
        self.has_responded = self.has_received_list = False
        self.end: WatchEnd | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []  # pieces of the body that were not yet passed to `_messages`
        self._messages = MessageAssembler()
        self._transport: asyncio.Transport | None = None
        self._disconnected: asyncio.Future[None] = self._loop.create_future()
        self._overdue_timer = self._loop.call_later(CONNECT_TIMEOUT, self._on_overdue)

    @property
    def is_waiting(self) -> bool:
        """Whether the request has been sent and discovery has not responded yet."""
        return self.is_connected and not self.has_responded

    @property
    def is_discarded(self) -> bool:
        """Whether messages that arrive on it are outdated."""
        return self.end in (WatchEnd.REPLACED, WatchEnd.NOT_NEEDED)

    async def run(self) -> None:
        """Connect, and return when the watch has ended, or at once if it is closed meanwhile."""
        try:
            await self._loop.create_connection(lambda: self, *self._address)
            await self._disconnected
        except (ConnectionError, TimeoutError):
            self.close(WatchEnd.NOT_CONNECTED)
        except OSError:
            self.close(WatchEnd.FAILED_HERE)
        finally:
            self.close(WatchEnd.ENDED)

    def close(self, end: WatchEnd) -> None:
        """Close the connection immediately; without effect if the watch has ended."""
        if self.end is not None:
            return
        self.end = end
        self._overdue_timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    # ---- callbacks of the transport ------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Transport callback: send the request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.end is not None:
            transport.abort()
            return
        self.is_connected = True
        self._restart_overdue_timer()
        transport.write(
            b"GET /v1/servers?follow=1&since=%d HTTP/1.1\r\nHost: %b\r\n\r\n"
            % (self.since, self._address.host.encode())
        )

    def data_received(self, data: bytes) -> None:
        """Transport callback: bytes of the response have arrived."""
        self._parse(data)

    def eof_received(self) -> None:
        """Transport callback: discovery closed normally, which also ends a last line without a line end."""
        if self._messages.has_partial_line():
            self._body.append(b"\n")
            self._parse(b"")

    def connection_lost(self, _exc: Exception | None) -> None:
        """Transport callback: the connection has ended."""
        # Parser and connection refer to each other; without this, only the garbage collector would free them.
        del self._parser
        if not self._disconnected.done():
            self._disconnected.set_result(None)

    # ---- lines -----------------------------------------------------------------------------------

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
            self._deliver()
        except Exception as error:  # noqa: BLE001 - after any error, the last valid list stays in use
            logger.warning("discovery: %r", error)
            self.close(WatchEnd.UNREADABLE)

    def _deliver(self) -> None:
        """Report the messages that are complete."""
        if not self._body:
            return
        if self._parser.get_status_code() != HTTPStatus.OK:
            self.close(WatchEnd.UNREADABLE)
            return
        pieces, self._body = self._body, []
        for message in self._messages.feed(pieces):
            if self.is_discarded:
                return
            if self.end is None:
                self._restart_overdue_timer()
            self._on_message(self, message)

    def _restart_overdue_timer(self) -> None:
        """Restart the timeout of the next line, after the connect or a complete line.

        The timeout is the only way to detect a machine that disappeared without closing the connection.
        Bytes of an incomplete line do not restart it, because a line that arrives slowly and never ends would
        delay all changes.
        """
        self._overdue_timer.cancel()
        self.is_overdue = False
        self._overdue_timer = self._loop.call_later(LINE_TIMEOUT, self._on_overdue)

    def _on_overdue(self) -> None:
        self.is_overdue = True
        self._on_status_change(self)

    # ---- callbacks of httptools ----------------------------------------------------------------

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        if self._parser.get_status_code() > HTTPStatus.OK:  # a lower status is interim: a final one follows
            self.close(WatchEnd.UNREADABLE)

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: the response is complete."""
        # The end of the response also ends its last line, even without a line end.
        if self._body or self._messages.has_partial_line():
            self._body.append(b"\n")
        self.close(WatchEnd.ENDED)
