"""Keeps one watch on discovery open: follows changes, reconnects, resumes where it was.

Owns the address that is watched and the version of the list that was received last. Does not own the list:
each update goes to a callback.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from balancer.endpoints import UpdateKind
from proxy.discovery.watch_connection import Message, WatchConnection
from proxy.event_log import EventLog
from proxy.logged_events import WatchClosed, WatchOpened

if TYPE_CHECKING:
    from proxy.config import Address
    from proxy.discovery.endpoint_reader import DiscoveredEndpoint, EndpointReader

CONNECT_TIMEOUT = 0.25  # seconds: the agent is on this machine
#: Seconds before a watch is opened anew that had responded, or that a failing call of the system kept from
#: being opened: both are over in a moment.
REOPEN_DELAY = 0.02
#: Seconds before one that had not. A short delay costs next to nothing, and once the agent is back, what it
#: has counts as delivered: a growing backoff would hold it up.
RETRY_DELAY = 0.1
MIN_JITTER = 0.5  # the least factor of a delay; the largest is 1 more


class UpdateHandler(Protocol):
    """Takes updates of the endpoint list."""

    def __call__(self, kind: UpdateKind, endpoints: list[DiscoveredEndpoint], /) -> None:
        """Take one update; a delta without entries says only that discovery responds."""


class DiscoveryClient:
    """Keeps one watch open, whatever happens to it, and hands on the updates that come on it."""

    def __init__(
        self,
        address: Address,
        reader: EndpointReader,
        index: int,
        on_update: UpdateHandler,
        event_log: EventLog | None = None,
    ) -> None:
        """Prepare a watch; `open` starts it.

        Args:
            address: Where discovery listens.
            reader: Reads the entries of the list.
            index: The version of the list that is known already.
            on_update: Takes the updates.
            event_log: Takes when watches begin and end; by default nothing does.
        """
        self._address = address
        self._reader = reader
        self._index = index
        self._on_update = on_update
        self._event_log = event_log or EventLog()
        self._task: asyncio.Task[None] | None = None
        self._previous_task: asyncio.Task[None] | None = None  # watches the address before, until ours lists

    def open(self) -> None:
        """Start the watch; nothing happens where it runs already."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run(self._address, self._index))

    def move(self, address: Address) -> None:
        """Watch at another address; the old one's updates count until the new one has sent its list."""
        if address == self._address:
            return
        self._address = address
        if self._task is None:
            return
        if self._previous_task is None:
            self._previous_task = self._task
        else:  # The watch between the two, of several reloads in a row, has sent nothing yet.
            self._task.cancel()
        # From version 0 the answer is the complete list: no change falls between the two services.
        self._task = asyncio.get_running_loop().create_task(self._run(address, 0))

    def on_message(self, connection: WatchConnection, message: Message | None) -> None:
        """Take one message of a watch; None says only that it is alive."""
        if connection.task is not self._task and connection.task is not self._previous_task:
            return  # It has been replaced and is not closed yet: the list must not go by it any more.
        if message is None:
            connection.has_responded = True
            self._on_update(UpdateKind.DELTA, [])
            return
        endpoints = self._reader.endpoints(message)
        index = int(message["index"])
        connection.has_responded = True  # only now: what can't be read is not to be called for at once
        previous_task = self._previous_task
        if previous_task is not None and connection.task is not previous_task:
            previous_task.cancel()
            self._previous_task = None
        connection.has_listed = True
        self._index = index
        self._on_update(UpdateKind.SNAPSHOT if message.get("snapshot") else UpdateKind.DELTA, endpoints)

    async def _run(self, address: Address, index: int) -> None:
        """Watch one address, again and again, from a version of the list on."""
        while True:
            request = b"GET /v1/servers?follow=1&since=%d HTTP/1.1\r\nHost: %b\r\n\r\n" % (
                index,
                address.host.encode(),
            )
            connection = WatchConnection(self.on_message, request)
            self._event_log.record(WatchOpened(address=str(address), index=index))
            failed_here = await self._follow(address, connection)
            self._event_log.record(
                WatchClosed(
                    address=str(address),
                    responded=connection.has_responded,
                    listed=connection.has_listed,
                    failed_here=failed_here,
                )
            )
            if connection.has_listed:
                index = self._index
            delay = REOPEN_DELAY if connection.has_responded or failed_here else RETRY_DELAY
            await asyncio.sleep(delay * (MIN_JITTER + random.random()))

    async def _follow(self, address: Address, connection: WatchConnection) -> bool:
        """Keep one watch until it ends; return whether a call of this machine's system failed instead."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await asyncio.get_running_loop().create_connection(lambda: connection, *address)
            await connection.ended
        except (ConnectionError, TimeoutError):
            return False
        except OSError:
            return True
        finally:
            connection.close()
        return False
