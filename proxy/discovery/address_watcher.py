"""Keeps a watch open on one address of discovery, and opens a further one when a line is overdue.

An overdue watch stays open while a further one is tried: discovery may be crowded, and a watch that is closed
would lose its place in the queue. As soon as a watch responds for the first time, all others are closed. So
there is one watch while discovery responds in time, and never more than `MAX_OPEN_WATCHES`.

It owns the open watches of its address, and the version of the list that was received there last. It neither
reads nor applies messages: `proxy.discovery.watch` does.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from proxy.discovery.logged_events import WatchClosed, WatchOpened, WatchResponded
from proxy.discovery.watch_connection import WatchConnection, WatchEnd

if TYPE_CHECKING:
    from proxy.address import Address
    from proxy.discovery.messages import EndpointListMessage
    from proxy.event_log import EventLog

#: Watches on one address that may be open at the same time. Two can get no response at all while the next one
#: still responds in time, and a slow response to the second one is not lost.
MAX_OPEN_WATCHES = 3

#: Watches that may be open on an address that the configuration does not name any more.
MAX_RETIRED_WATCHES = 1

#: Seconds for which the oldest watch keeps its place without any response. Even if each response takes this
#: long, the endpoint list is updated.
MAX_RESPONSE_TIME = 30.0

#: Seconds before the next watch if the last one received a response, or if a failed system call of this
#: machine ended it. Both causes usually end quickly.
REOPEN_DELAY = 0.02

#: Seconds before the next watch in all other cases. There is no exponential backoff: as soon as the agent is
#: back, its changes count as delivered, and a longer delay would use up the time in which to apply them. An
#: attempt after a short delay costs almost nothing.
RETRY_DELAY = 0.1

MIN_JITTER = 0.5  # the smallest random factor of a delay; the largest is `MIN_JITTER` + 1


class WatchMessageHandler(Protocol):
    """Receives the messages of all watches on one address."""

    def __call__(
        self, watcher: AddressWatcher, watch: WatchConnection, message: EndpointListMessage | None, /
    ) -> None:
        """Handle one message; None is a heartbeat."""


class AddressWatcher:
    """The watches on one address.

    Attributes:
        address: The address.
    """

    def __init__(
        self, address: Address, since: int, on_message: WatchMessageHandler, event_log: EventLog
    ) -> None:
        """Prepare the watches; `start` opens the first one.

        Args:
            address: The address of discovery.
            since: The version of the list that is already known; 0 requests the complete list.
            on_message: Receives the messages.
            event_log: Receives an event when a watch begins, responds or ends.
        """
        self.address = address
        self._since = since
        self._on_message = on_message
        self._event_log = event_log
        self._is_retired = False  # whether the configuration names another address now
        self._watches: dict[WatchConnection, asyncio.Task[None]] = {}  # the open ones, oldest first
        self._status_changed = asyncio.Event()  # a watch is overdue or has ended
        self._delay = 0.0  # seconds from the last change of status to the next watch
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the first watch, and further ones as needed, until `close`."""
        self._task = asyncio.get_running_loop().create_task(self._keep_open())

    def close(self) -> None:
        """Close all watches, and open no further ones."""
        if self._task is not None:
            self._task.cancel()
        for watch in tuple(self._watches):
            self._close_watch(watch, WatchEnd.NOT_NEEDED)

    def retire(self) -> None:
        """Keep one watch only, because the configuration names another address now."""
        self._is_retired = True
        while len(self._watches) > MAX_RETIRED_WATCHES:
            self._close_watch(self._least_promising_watch(), WatchEnd.NOT_NEEDED)

    def on_response(self, watch: WatchConnection) -> None:
        """Record that a watch has received a valid line; after its first one, close all other watches."""
        if watch.has_responded:
            return
        watch.has_responded = True
        waited = asyncio.get_running_loop().time() - watch.opened_at
        self._event_log.record(WatchResponded(address=str(self.address), waited=round(waited, 3)))
        for other in tuple(self._watches):
            if other is not watch:
                self._close_watch(other, WatchEnd.NOT_NEEDED)

    def on_list(self, watch: WatchConnection, version: int) -> None:
        """Record that a list, or a change to it, is applied that a watch has received."""
        watch.has_received_list = True
        self._since = version

    def is_outdated(self, watch: WatchConnection, version: int) -> bool:
        """Return whether a watch's list is older than what has been applied since the watch was opened.

        While a watch waited, an older one may have received later changes. A version before that from which
        the watch resumes is not outdated: discovery has begun to count again.
        """
        return not watch.has_received_list and watch.since <= version < self._since

    async def _keep_open(self) -> None:
        while True:
            self._open_watch()
            await self._until_next_watch_is_due()

    async def _until_next_watch_is_due(self) -> None:
        """Return when no open watch is in time any more, and the delay before the next one has passed."""
        while True:
            await self._status_changed.wait()
            self._status_changed.clear()
            if self._may_open():
                await asyncio.sleep(self._delay)
                if self._may_open():
                    return

    def _may_open(self) -> bool:
        """Return whether no open watch is in time, and there is a place for a further one.

        The only place of a retired address belongs to a watch that waits for its response.
        """
        if not all(watch.is_overdue for watch in self._watches):
            return False
        return not self._is_retired or not any(watch.is_waiting for watch in self._watches)

    def _open_watch(self) -> None:
        """Open a watch; if too many are open, it replaces another one."""
        max_watches = MAX_RETIRED_WATCHES if self._is_retired else MAX_OPEN_WATCHES
        if len(self._watches) >= max_watches:
            self._close_watch(self._least_promising_watch(), WatchEnd.REPLACED)
        watch = WatchConnection(self.address, self._since, self._receive, self._on_status_change)
        self._event_log.record(WatchOpened(address=str(self.address), index=watch.since))
        self._watches[watch] = asyncio.get_running_loop().create_task(self._run_watch(watch))

    def _least_promising_watch(self) -> WatchConnection:
        """Return the watch that is closed if too many are open.

        An overdue watch without a connection, or one that fell silent after a response, has no place in
        discovery's queue. Of those that wait for a response, the oldest one is the next to get it.
        """
        watches = list(self._watches)
        for watch in watches:
            if watch.is_overdue and not watch.is_waiting:
                return watch
        age = asyncio.get_running_loop().time() - watches[0].opened_at
        return watches[0] if age > MAX_RESPONSE_TIME else watches[1]

    async def _run_watch(self, watch: WatchConnection) -> None:
        """Run a watch until it ends; cancelled if it is closed from here."""
        try:
            await watch.run()
        finally:
            if self._watches.pop(watch, None) is not None:
                self._record_end(watch)
                self._on_status_change(watch)

    def _close_watch(self, watch: WatchConnection, end: WatchEnd) -> None:
        watch.close(end)
        self._watches.pop(watch).cancel()
        self._record_end(watch)

    def _record_end(self, watch: WatchConnection) -> None:
        self._event_log.record(
            WatchClosed(
                address=str(self.address),
                responded=watch.has_responded,
                listed=watch.has_received_list,
                failed_here=watch.end is WatchEnd.FAILED_HERE,
                reason=str(watch.end),
            )
        )

    def _receive(self, watch: WatchConnection, message: EndpointListMessage | None) -> None:
        self._on_message(self, watch, message)

    def _on_status_change(self, watch: WatchConnection) -> None:
        """Note that a watch is overdue or has ended, and the delay before a watch that follows it."""
        ends_quickly = watch.has_responded or watch.end is WatchEnd.FAILED_HERE
        delay = REOPEN_DELAY if ends_quickly else RETRY_DELAY
        self._delay = delay * (MIN_JITTER + random.random())
        self._status_changed.set()
