"""The endpoint list's JSON objects, as discovery's protocol describes them (PROTOCOL, Discovery)."""

from __future__ import annotations

from typing import Literal, TypedDict

EndpointStatus = Literal["in_service", "terminating", "terminated"]


class EndpointEntry(TypedDict):
    """One backend in the endpoint list.

    Attributes:
        name: The backend's name, the same at every proxy.
        address: Where it listens, as `host:port`.
        zone: The name of its zone.
        type: The name of its host type.
        group: The number of its group.
        status: Whether it is in service, draining (`terminating`) or gone (`terminated`, only among changes).
        weight: Its capacity in relation to the others'.
        since_ms: Its last start as Unix time in milliseconds; 0 for long ago.
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
    """Fields of an entry that change.

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
    """One message of discovery: the complete endpoint list, or what changed in it.

    Attributes:
        index: The version of the list.
        snapshot: Whether the message holds the complete list.
        endpoints: The entries.
    """

    index: int
    snapshot: bool
    endpoints: list[EndpointEntry]


def changed_entry(entry: EndpointEntry, change: EndpointChange) -> EndpointEntry:
    """Return an entry with some fields changed."""
    return {**entry, **change}
