"""Topology of the simulated fleet: its backends, their services, zones and regions, drawn from a seed.

The settings of the fleet's proxies are in `emulator.fleet.settings`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from emulator.errors import TopologySizeError

if TYPE_CHECKING:
    from testbed.discovery.entry import EndpointEntry

BACKENDS, SERVICES = 910, 78  # of the target deployment
ZONES = ("a", "b", "c", "d", "e")
REGION_BY_ZONE = {"a": 0, "b": 0, "c": 0, "d": 1, "e": 1}
HOST_TYPES = ("m1", "m2", "m4")
WEIGHT_BY_HOST_TYPE = {"m1": 0.5, "m2": 1.0, "m4": 2.0}
GROUP_SIZE = 12  # backends in a group, on average
MAX_CALLED_SERVICES = 6  # services that one service calls
MIN_CALLED_BACKENDS, MAX_CALLED_BACKENDS = 12, 100  # approximate number of backends that one service calls


@dataclass(slots=True, frozen=True)
class Topology:
    """A fleet; a backend is identified by its position in `entries`, and a service by its number.

    Attributes:
        seed: The seed that the fleet was drawn from.
        entries: The discovery entries of the backends.
        service_of: The service of each backend, by position.
        called_services: The services that each service calls, by service number.
    """

    seed: int
    entries: tuple[EndpointEntry, ...]
    service_of: tuple[int, ...]
    called_services: tuple[tuple[int, ...], ...]

    def backends_in_zone(self, zone: str) -> list[int]:
        """Return the positions of the backends in a zone."""
        return [position for position, entry in enumerate(self.entries) if entry["zone"] == zone]

    def backends_in_region(self, region: int) -> list[int]:
        """Return the positions of the backends in a region."""
        return [
            position for position, entry in enumerate(self.entries) if REGION_BY_ZONE[entry["zone"]] == region
        ]

    def called_backends(self, service: int) -> list[int]:
        """Return the positions of the backends of all services that `service` calls."""
        called_services = set(self.called_services[service])
        return [position for position, owner in enumerate(self.service_of) if owner in called_services]


def build(seed: int, backends: int = BACKENDS, services: int | None = None) -> Topology:
    """Draw a fleet from a seed.

    Every service has at least one backend. Service sizes are log-normal, and the backends of each service are
    spread evenly over the zones.

    Args:
        seed: Equal seeds give equal fleets.
        backends: Number of backends.
        services: Number of services; None: the same ratio to the backends as in the target deployment.

    Raises:
        TopologySizeError: There are fewer backends than services, or no service.
    """
    if services is None:
        services = max(1, round(backends * SERVICES / BACKENDS))
    if not 1 <= services <= backends:
        raise TopologySizeError(services, backends)
    rng = np.random.default_rng(seed)
    shares = rng.lognormal(0.0, 0.8, services)
    sizes = 1 + rng.multinomial(backends - services, shares / shares.sum())
    service_of = tuple(int(service) for service in np.repeat(np.arange(services), sizes))
    group_count = max(1, backends // GROUP_SIZE)
    entries = tuple(
        _entry(position, service, str(rng.choice(HOST_TYPES)), int(rng.integers(group_count)))
        for position, service in enumerate(service_of)
    )
    called_services = tuple(
        _draw_called_services(rng, [int(size) for size in sizes], service) for service in range(services)
    )
    return Topology(seed, entries, service_of, called_services)


def _entry(position: int, service: int, host_type: str, group: int) -> EndpointEntry:
    return {
        "name": f"s{service:02d}-{position:05d}",
        "address": f"10.{1 + position // 65536}.{position // 256 % 256}.{position % 256}:8080",
        "zone": ZONES[position % len(ZONES)],
        "type": host_type,
        "group": group,
        "status": "in_service",
        "weight": WEIGHT_BY_HOST_TYPE[host_type],
        "since_ms": 0,
    }


def _draw_called_services(rng: np.random.Generator, sizes: list[int], service: int) -> tuple[int, ...]:
    """Draw the services that `service` calls; together they have at most `MAX_CALLED_BACKENDS` backends."""
    candidates = [int(candidate) for candidate in rng.permutation(len(sizes)) if candidate != service]
    min_services, backends = int(rng.integers(1, MAX_CALLED_SERVICES + 1)), 0
    called_services: list[int] = []
    for candidate in candidates:
        if len(called_services) >= min_services and backends >= MIN_CALLED_BACKENDS:
            break
        if backends + sizes[candidate] <= MAX_CALLED_BACKENDS:
            called_services.append(candidate)
            backends += sizes[candidate]
    return tuple(called_services)
