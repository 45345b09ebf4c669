"""The JSON objects of the discovery protocol: entries of the endpoint list, and update messages."""

from __future__ import annotations

from typing import Literal, TypedDict

EndpointStatus = Literal["in_service", "terminating", "terminated"]


class EndpointEntry(TypedDict):
    """One backend in the endpoint list.

    Attributes:
        name: The backend's name; every proxy uses the same name.
        address: The address that it listens on, as `host:port`.
        zone: The name of its zone.
        type: The name of its host type.
        group: The number of its group.
        status: In service, draining (`terminating`) or removed (`terminated`, only in a delta).
        weight: Its capacity relative to that of the other backends.
        since_ms: Its last start as Unix time in milliseconds; 0 if it started long ago.
    """

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: EndpointStatus
    weight: float
    since_ms: int


class EndpointChange(TypedDict, total=False):
    """The fields of an entry that a change replaces.

    Attributes:
        address: The new address.
        status: The new status.
        weight: The new weight.
        since_ms: The new start time.
    """

    address: str
    status: EndpointStatus
    weight: float
    since_ms: int


class EndpointUpdate(TypedDict):
    """One discovery message: a snapshot of the endpoint list, or a delta with the changed entries.

    Attributes:
        index: The version of the list.
        snapshot: Whether the message is a snapshot.
        endpoints: The entries.
    """

    index: int
    snapshot: bool
    endpoints: list[EndpointEntry]


def changed_entry(entry: EndpointEntry, change: EndpointChange) -> EndpointEntry:
    """Return a copy of an entry with some fields replaced."""
    return {**entry, **change}
