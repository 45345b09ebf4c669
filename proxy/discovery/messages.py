"""The JSON form of the endpoint list, which discovery sends and the configuration file contains."""

from __future__ import annotations

from typing import NotRequired, TypedDict

from balancer.endpoints import EndpointStatus

#: The status of an endpoint by its word in the JSON form.
STATUSES = {
    "in_service": EndpointStatus.UP,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.REMOVED,
}


class EndpointEntry(TypedDict):
    """One backend of the endpoint list.

    Attributes:
        name: Its name, which does not change when its process restarts.
        address: The address at which it listens, as `host:port`.
        status: `in_service`, `terminating` or `terminated`.
        zone: The name of its zone.
        type: The name of its machine type.
        group: The number of its deduplication cell.
        weight: Its capacity relative to other backends.
        since_ms: When its process started, in milliseconds since the epoch.
    """

    name: str
    address: str
    status: str
    zone: NotRequired[str]
    type: NotRequired[str]
    group: NotRequired[int]
    weight: NotRequired[float]
    since_ms: NotRequired[float]


class EndpointListMessage(TypedDict):
    """A complete endpoint list, or a change to it.

    Attributes:
        index: The version of the list after this message.
        endpoints: All backends, or only those that have changed.
        snapshot: Whether the list is complete. If absent, the message is a change.
    """

    index: int
    endpoints: list[EndpointEntry]
    snapshot: NotRequired[bool]


EMPTY_LIST: EndpointListMessage = {"index": 0, "endpoints": []}
