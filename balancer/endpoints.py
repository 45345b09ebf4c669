"""The endpoint list as the decisions see it: one entry for each server of the next tier."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = int


class EndpointStatus(Enum):
    """Whether an endpoint may get new requests."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(Enum):
    """What a message about the endpoint list is.

    CACHED is the list that a process was started with, which may be out of date. SNAPSHOT is the complete
    list: what it does not name is gone. DELTA holds changed entries only. FAILED says that a poll failed.
    """

    CACHED = "cached"
    SNAPSHOT = "snapshot"
    DELTA = "delta"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    `size` is the capacity relative to the others. `started` is the start time in seconds on the caller's
    clock, 0 for a distant past; a process that started lately is warming up.
    """

    id: EndpointId
    status: EndpointStatus = EndpointStatus.UP
    zone: int = 0
    cell: int = 0
    size: float = 1.0
    started: float = 0.0
    machine_type: int = 0
