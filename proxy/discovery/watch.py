"""Keeps one watch on discovery open: receives changes, reconnects, and resumes at the last version.

It owns the address that is watched and the version of the list that was received last. It does not own the
list: each update is passed to a callback.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from balancer.endpoints import UpdateKind
from proxy.discovery.watch_connection import WatchConnection
from proxy.event_log import EventLog
from proxy.logged_events import WatchClosed, WatchOpened

if TYPE_CHECKING:
    from proxy.address import Address
    from proxy.discovery.endpoint_reader import DiscoveredEndpoint, EndpointReader
    from proxy.discovery.messages import EndpointListMessage

CONNECT_TIMEOUT = 0.25  # seconds: the agent runs on this machine
#: Seconds before the next watch if the last one had responded, or if a failed system call of this machine
#: prevented it: both causes pass quickly.
REOPEN_DELAY = 0.02
#: Seconds before the next watch otherwise. A short delay costs almost nothing, and once the agent is back,
#: its changes count as delivered: an exponential backoff would delay them.
RETRY_DELAY = 0.1
MIN_JITTER = 0.5  # the smallest random factor of a delay; the largest is 1 more


class UpdateHandler(Protocol):
    """Receives updates of the endpoint list."""

    def __call__(self, kind: UpdateKind, endpoints: list[DiscoveredEndpoint], /) -> None:
        """Handle one update; an empty delta only shows that discovery responds."""


class DiscoveryClient:
    """Keeps one watch open, reopens it after every end, and reports the updates that arrive on it."""

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
            on_update: Receives the updates.
            event_log: Receives an event when a watch begins or ends; by default there is no log.
        """
        self._address = address
        self._reader = reader
        self._index = index
        self._on_update = on_update
        self._event_log = event_log or EventLog()
        self._task: asyncio.Task[None] | None = None
        #: Watches the previous address until the current watch has received a list.
        self._previous_task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Start the watch, unless it runs already."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run(self._address, self._index))

    def move(self, address: Address) -> None:
        """Watch another address; updates from the old one count until the new one has sent its list."""
        if address == self._address:
            return
        self._address = address
        if self._task is None:
            return
        if self._previous_task is None:
            self._previous_task = self._task
        else:  # The current watch, of a reload shortly before, has received nothing yet.
            self._task.cancel()
        # From version 0 on the answer is the complete list: no change is lost between the two services.
        self._task = asyncio.get_running_loop().create_task(self._run(address, 0))

    def on_message(self, connection: WatchConnection, message: EndpointListMessage | None) -> None:
        """Handle one message of a watch; None only shows that the watch is alive."""
        if connection.task is not self._task and connection.task is not self._previous_task:
            return  # The watch has been replaced and is not closed yet: its updates are out of date.
        if message is None:
            connection.has_responded = True
            self._on_update(UpdateKind.DELTA, [])
            return
        endpoint_list = self._reader.read_list(message)
        connection.has_responded = True  # only now, as an unreadable list must not be requested again at once
        previous_task = self._previous_task
        if previous_task is not None and connection.task is not previous_task:
            previous_task.cancel()
            self._previous_task = None
        connection.has_listed = True
        self._index = endpoint_list.index
        kind = UpdateKind.SNAPSHOT if endpoint_list.is_complete else UpdateKind.DELTA
        self._on_update(kind, endpoint_list.endpoints)

    async def _run(self, address: Address, index: int) -> None:
        """Watch one address repeatedly, from a version of the list on."""
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
        """Run one watch until it ends.

        Returns:
            Whether a failed system call of this machine ended it.
        """
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
