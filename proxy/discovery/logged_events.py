"""The events of the event log that concern discovery and the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from proxy.event_names import Event


@dataclass(slots=True, kw_only=True)
class EndpointsUpdated:
    """An update of the endpoint list is about to be applied.

    Attributes:
        kind: The name of the `balancer.endpoints.UpdateKind`.
        endpoints: The name of the `balancer.endpoints.EndpointStatus` by the endpoint's address.
    """

    event: ClassVar = Event.ENDPOINTS_UPDATED
    kind: str
    endpoints: dict[str, str]


@dataclass(slots=True, kw_only=True)
class WatchOpened:
    """A watch on discovery is about to connect.

    Attributes:
        address: Discovery's address, as `host:port`.
        index: The version of the endpoint list after which it requests changes.
    """

    event: ClassVar = Event.WATCH_OPENED
    address: str
    index: int


@dataclass(slots=True, kw_only=True)
class WatchResponded:
    """The first complete line of a watch on discovery has arrived.

    Attributes:
        address: Discovery's address, as `host:port`.
        waited: The seconds since the watch was opened.
    """

    event: ClassVar = Event.WATCH_RESPONDED
    address: str
    waited: float


@dataclass(slots=True, kw_only=True)
class WatchClosed:
    """A watch on discovery ended.

    Attributes:
        address: Discovery's address, as `host:port`.
        responded: Whether discovery responded on it.
        listed: Whether an endpoint list was received on it.
        failed_here: Whether it ended because a system call of this process failed.
        reason: The `proxy.discovery.watch_connection.WatchEnd`.
    """

    event: ClassVar = Event.WATCH_CLOSED
    address: str
    responded: bool
    listed: bool
    failed_here: bool
    reason: str
