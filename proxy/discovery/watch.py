"""Receives the endpoint list and its changes from the address of discovery that the configuration names.

It owns the address of discovery and the last received version of the endpoint list. It does not store the
list: it passes each update to a callback. `proxy.discovery.address_watcher` keeps a watch open on an address.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from balancer.endpoints import UpdateKind
from proxy.discovery.address_watcher import AddressWatcher
from proxy.event_log import EventLog

if TYPE_CHECKING:
    from proxy.address import Address
    from proxy.discovery.endpoint_reader import DiscoveredEndpoint, EndpointReader
    from proxy.discovery.messages import EndpointListMessage
    from proxy.discovery.watch_connection import WatchConnection

#: Addresses that are watched at the same time: the current one, the last one that has sent a list, and one
#: between them that was replaced before its list arrived.
MAX_WATCHED_ADDRESSES = 3


class UpdateHandler(Protocol):
    """Receives updates of the endpoint list."""

    def __call__(self, kind: UpdateKind, endpoints: list[DiscoveredEndpoint], /) -> None:
        """Handle one update; an empty delta only means that discovery is responding."""


class DiscoveryClient:
    """Watches the current address of discovery, and earlier ones until a later one has sent its list.

    Attributes:
        index: The version of the list that was applied last.
    """

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
            address: The address at which discovery listens.
            reader: Converts the entries of the list.
            index: The version of the list that is already known.
            on_update: Receives the updates.
            event_log: Receives an event when a watch begins, responds or ends; None: events are not logged.
        """
        self._reader = reader
        self.index = index
        self._on_update = on_update
        self._event_log = event_log or EventLog()
        #: The watched addresses in the order of the configurations that named them; the last one is current.
        self._watchers = [AddressWatcher(address, index, self.on_message, self._event_log)]
        self._is_open = False

    def open(self) -> None:
        """Start the watch, unless it is already running."""
        if not self._is_open:
            self._is_open = True
            self._watchers[-1].start()

    def change_address(self, address: Address) -> None:
        """Watch another address; updates from earlier ones are applied until it has sent a list."""
        current = self._watchers[-1]
        if address == current.address:
            return
        # The response to a watch from version 0 begins with the complete list, so that no change is lost
        # between the two services.
        watcher = AddressWatcher(address, 0, self.on_message, self._event_log)
        if not self._is_open:
            self._watchers = [watcher]
            return
        current.retire()
        self._watchers.append(watcher)
        if len(self._watchers) > MAX_WATCHED_ADDRESSES:
            # Earlier ones have waited longer for their list.
            self._watchers.pop(-2).close()
        watcher.start()

    def on_message(
        self, watcher: AddressWatcher, watch: WatchConnection, message: EndpointListMessage | None
    ) -> None:
        """Handle one message of a watch; None is a heartbeat.

        Raises:
            EntryError: The list is invalid; the watch counts as not having responded.
        """
        endpoint_list = None if message is None else self._reader.read_list(message)
        watcher.on_response(watch)
        if endpoint_list is None or watcher.is_outdated(watch, endpoint_list.index):
            self._on_update(UpdateKind.DELTA, [])
            return
        watcher.on_list(watch, endpoint_list.index)
        self._close_watchers_before(watcher)
        self.index = endpoint_list.index
        kind = UpdateKind.SNAPSHOT if endpoint_list.is_complete else UpdateKind.DELTA
        self._on_update(kind, endpoint_list.endpoints)

    def _close_watchers_before(self, watcher: AddressWatcher) -> None:
        """Stop watching the addresses of earlier configurations."""
        position = self._watchers.index(watcher)
        for earlier in self._watchers[:position]:
            earlier.close()
        del self._watchers[:position]
