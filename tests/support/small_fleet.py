"""A small fleet and a running registry, for tests of the registry and its watches."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from emulator.fleet import topology
from testbed.discovery.entry import changed_entry
from testbed.discovery.registry import Registry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from testbed.discovery.entry import EndpointEntry, EndpointStatus

SEED, BACKENDS, SERVICES = 1, 20, 4
FLEET = topology.build(SEED, BACKENDS, SERVICES)
NAMES = [entry["name"] for entry in FLEET.entries]
ENDPOINT = "all"  # name of a registry endpoint that shows all backends


def changed_backend(position: int, status: EndpointStatus = "terminating") -> EndpointEntry:
    """Return the entry of a backend with a changed status."""
    return changed_entry(FLEET.entries[position], {"status": status})


@asynccontextmanager
async def running_registry() -> AsyncIterator[Registry]:
    """Run a registry of the small fleet; it is closed at the end of the context."""
    registry = Registry(FLEET.entries)
    try:
        yield registry
    finally:
        registry.close()
