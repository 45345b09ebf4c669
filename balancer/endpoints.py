"""The endpoint list as the balancer takes it: one entry for each endpoint of the next tier."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = int


class EndpointStatus(Enum):
    """Whether an endpoint may get new requests.

    UP endpoints may. DRAINING ones finish the requests that they have. REMOVED ones are out of service; they
    appear in changes to a list, and a complete list leaves them out.
    """

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class UpdateKind(Enum):
    """What an update of the endpoint list is.

    CACHED is the list that a process was started with, which may be out of date. SNAPSHOT is the complete
    list: an endpoint that it does not name has been removed. DELTA holds only the entries that changed.
    FAILED is no update: a poll failed.
    """

    CACHED = "cached"
    SNAPSHOT = "snapshot"
    DELTA = "delta"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        id: Its id, the same for as long as it is listed.
        status: Whether it may get new requests.
        zone: Its zone, as an index that the settings' zones share.
        cell: The group of endpoints that discard each other's repeats of a keyed request.
        size: Its capacity relative to the others.
        started: When its process was started, in seconds on the caller's clock; 0: long ago. A recently
            started process is warming up.
        machine_type: Its machine type, as an index that the settings' machine types share.
    """

    id: EndpointId
    status: EndpointStatus = EndpointStatus.UP
    zone: int = 0
    cell: int = 0
    size: float = 1.0
    started: float = 0.0
    machine_type: int = 0
