"""The types of the endpoint list that the balancer gets: one entry for each endpoint of the next tier."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = int


class EndpointStatus(Enum):
    """Whether an endpoint may get new requests.

    UP endpoints may. DRAINING endpoints finish the requests that they already have. REMOVED endpoints are out
    of service; only changes to a list contain them, a complete list does not.
    """

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class UpdateKind(Enum):
    """What an update of the endpoint list contains.

    CACHED is the list that a process was started with, which may be out of date. SNAPSHOT is the complete
    list: endpoints that it does not contain have been removed. DELTA contains only the entries that changed.
    FAILED reports that a poll failed, and contains no entries.
    """

    CACHED = "cached"
    SNAPSHOT = "snapshot"
    DELTA = "delta"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        id: Its id, which does not change while it is listed.
        status: Whether it may get new requests.
        zone: The index of its zone; the settings use the same indices.
        cell: The index of its cell. The endpoints of a cell discard each other's duplicates of a keyed
            request.
        size: Its capacity relative to other endpoints; 0: not known.
        started: When its process was started, in seconds on the caller's clock; 0: long ago. A recently
            started process is warming up.
        machine_type: The index of its machine type; the settings use the same indices.
    """

    id: EndpointId
    status: EndpointStatus = EndpointStatus.UP
    zone: int = 0
    cell: int = 0
    size: float = 1.0
    started: float = 0.0
    machine_type: int = 0
