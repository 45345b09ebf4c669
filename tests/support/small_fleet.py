"""A small fleet and a running registry, which the tests of discovery's stand-in and its watches share."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from emulator.fleet import topology
from testbed.discovery.entry import changed_entry
from testbed.discovery.registry import Registry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from testbed.discovery.entry import EndpointEntry, EndpointStatus

SEED, BACKENDS, SERVICES = 1, 20, 4  # of the fleet
FLEET = topology.build(SEED, BACKENDS, SERVICES)
NAMES = [entry["name"] for entry in FLEET.entries]
ENDPOINT = "all"  # the name of an endpoint that shows every backend


def changed(position: int, status: EndpointStatus = "terminating") -> EndpointEntry:
    """Return a backend's entry with another status."""
    return changed_entry(FLEET.entries[position], {"status": status})


@asynccontextmanager
async def running_registry() -> AsyncIterator[Registry]:
    """Run a registry of the small fleet; its endpoints are closed at the end of the context."""
    registry = Registry(FLEET.entries)
    try:
        yield registry
    finally:
        registry.close()
