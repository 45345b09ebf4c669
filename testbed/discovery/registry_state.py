"""The endpoint list of one registry: its entries, its version, and a log of its recent changes.

The module builds the messages for clients as JSON: a snapshot of the list, or a delta since the client's
version. `registry_endpoint` sends them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable

    from testbed.discovery.entry import EndpointEntry, EndpointUpdate

MAX_LOG_ENTRIES = 4096  # changed entries in the log; a watch that needs older ones receives a snapshot
View = frozenset[str] | None  # the names of the backends that a client sees; None for all


class StaleVersionError(ValueError):
    """A change has a version that is not newer than the version of the list."""

    def __init__(self, index: int, current: int) -> None:
        super().__init__(f"version {index} is not newer than {current}")
        self.index, self.current = index, current


@dataclass(slots=True, frozen=True)
class EncodedUpdate:
    """One message of the discovery protocol, ready to send.

    Attributes:
        line: The message as one line of JSON.
        is_snapshot: Whether it is a snapshot rather than a delta.
        has_entries: Whether it has any entries for its view.
    """

    line: bytes
    is_snapshot: bool
    has_entries: bool


class RegistryState:
    """The endpoint list, its version, and the log that deltas are built from.

    Attributes:
        index: The version of the list.
    """

    def __init__(self, entries: Iterable[EndpointEntry], index: int = 1) -> None:
        self.index = index
        self._entries = {entry["name"]: entry for entry in entries}
        self._log: deque[tuple[int, EndpointEntry]] = deque()
        self._oldest_index = index  # the log has every change after this version
        self._oldest_resumable = index  # a new watch from an older version receives a snapshot
        self._encoded: dict[tuple[View, int], EncodedUpdate | None] = {}

    def change(self, index: int, entries: list[EndpointEntry]) -> None:
        """Apply the changed entries of one version.

        Raises:
            StaleVersionError: The version is not newer than the current one.
        """
        if index <= self.index:
            raise StaleVersionError(index, self.index)
        for entry in entries:
            self._apply(entry)
            self._log.append((index, entry))
        while len(self._log) > MAX_LOG_ENTRIES:
            self._oldest_index = self._log.popleft()[0]
        self.index = index
        self._encoded.clear()

    def _apply(self, entry: EndpointEntry) -> None:
        if entry["status"] == "terminated":
            self._entries.pop(entry["name"], None)
        else:
            self._entries[entry["name"]] = entry

    def forget_log(self) -> None:
        """Discard the log, as a restart does.

        A new watch that resumes from the current version or an older one receives a snapshot.
        """
        self._log.clear()
        self._oldest_index, self._oldest_resumable = self.index, self.index + 1
        self._encoded.clear()

    def snapshot(self, view: View) -> EncodedUpdate:
        """Encode the complete list of the backends in a view."""
        entries = [entry for entry in self._entries.values() if view is None or entry["name"] in view]
        return EncodedUpdate(self._encode(entries, is_snapshot=True), is_snapshot=True, has_entries=True)

    def resume(self, index: int, view: View) -> EncodedUpdate:
        """Encode the first message for a new watch that resumes from a version."""
        if index < self._oldest_resumable:
            return self.snapshot(view)
        return self.since(index, view)

    def since(self, index: int, view: View) -> EncodedUpdate:
        """Encode the changes after a version; a snapshot if the log no longer has all of them."""
        if not self._oldest_index <= index <= self.index:
            return self.snapshot(view)
        latest: dict[str, EndpointEntry] = {}
        for changed_at, entry in reversed(self._log):
            if changed_at <= index:
                break
            if view is None or entry["name"] in view:
                latest.setdefault(entry["name"], entry)
        entries = list(latest.values())[::-1]
        line = self._encode(entries, is_snapshot=False)
        return EncodedUpdate(line, is_snapshot=False, has_entries=bool(entries))

    def pending_update(self, index: int, view: View) -> EncodedUpdate | None:
        """Return the changes after an open watch's version; None if none of them is in its view.

        The message is encoded once for all watches with the same view and version.
        """
        key = (view, index)
        if key not in self._encoded:
            update = self.since(index, view)
            self._encoded[key] = update if update.has_entries else None
        return self._encoded[key]

    def _encode(self, entries: list[EndpointEntry], *, is_snapshot: bool) -> bytes:
        message: EndpointUpdate = {"index": self.index, "snapshot": is_snapshot, "endpoints": entries}
        return orjson.dumps(message) + b"\n"
