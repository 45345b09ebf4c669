"""Random and chosen changes of an endpoint list; the runs publish the changed entries at a registry."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from testbed.discovery.entry import changed_entry

if TYPE_CHECKING:
    from collections.abc import Sequence

    import numpy as np

    from testbed.discovery.entry import EndpointChange, EndpointEntry


class EndpointChanges:
    """An endpoint list; each method changes one entry and returns the changed entry.

    An endpoint is identified by its index in the list.

    Attributes:
        entries: The current entries in the format of discovery.
    """

    def __init__(self, entries: Sequence[EndpointEntry], rng: np.random.Generator) -> None:
        self.entries = list(entries)
        self._rng = rng

    def _set(self, index: int, change: EndpointChange) -> EndpointEntry:
        self.entries[index] = changed_entry(self.entries[index], change)
        return self.entries[index]

    def change_random(self) -> EndpointEntry:
        """Drain a random endpoint, or restart it if it is draining or removed."""
        index = int(self._rng.integers(len(self.entries)))
        if self.entries[index]["status"] == "in_service":
            return self._set(index, {"status": "terminating"})
        return self.restart(index)

    def terminate(self, index: int) -> EndpointEntry:
        """Remove an endpoint from service."""
        return self._set(index, {"status": "terminated"})

    def restart(self, index: int) -> EndpointEntry:
        """Bring an endpoint into service as a new process that has not warmed up."""
        return self._set(index, {"status": "in_service", "since_ms": int(time.time() * 1000)})

    def replace(self, index: int) -> EndpointEntry:
        """Bring an endpoint into service at another address, as a new process that has not warmed up."""
        host, _, port = self.entries[index]["address"].partition(":")
        self._set(index, {"address": f"{host}:{int(port) + 1}"})
        return self.restart(index)
