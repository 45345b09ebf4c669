"""The ids of requests that may have run although their clients left before the response.

A client that comes back may send the same id again, and the effect would happen twice. The ids are remembered
for a limited time, and in a limited number: clients may send ever new ones.
"""

from __future__ import annotations

import asyncio
from itertools import islice

RETENTION = 60.0  # seconds; a client that comes back does so much earlier
BYTES_PER_ID = 256  # memory of one remembered id
MEMORY_FRACTION = 1 / 64  # of the memory limit, for these ids

MAX_REMOVED = 2  # ids removed when one is added, so that the set shrinks again after many were added


def max_abandoned_ids(memory_limit: int) -> int:
    """Return how many ids may be remembered by a process with this memory limit in bytes."""
    return int(MEMORY_FRACTION * memory_limit / BYTES_PER_ID)


class AbandonedIds:
    """A bounded set of request ids, from which the oldest are removed first."""

    def __init__(self, max_ids: int) -> None:
        self._max_ids = max_ids
        self._loop = asyncio.get_running_loop()
        self._expiry: dict[bytes, float] = {}  # the event loop's time until which each id is remembered

    def __len__(self) -> int:
        """Return the number of remembered ids, expired ones included."""
        return len(self._expiry)

    def __contains__(self, request_id: bytes) -> bool:
        """Return whether an id is remembered."""
        return self._expiry.get(request_id, 0.0) > self._loop.time()

    def add(self, request_id: bytes) -> None:
        """Remember an id, in place of expired ones and of the oldest one beyond the limit."""
        now = self._loop.time()
        self._expiry.pop(request_id, None)
        self._expiry[request_id] = now + RETENTION
        for oldest, expiry in tuple(islice(self._expiry.items(), MAX_REMOVED)):
            if expiry <= now or len(self._expiry) > self._max_ids:
                del self._expiry[oldest]
