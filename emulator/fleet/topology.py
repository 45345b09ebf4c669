"""The simulated fleet: backends in services, zones and regions, drawn from a seed.

It owns who exists, where, and which service calls which. What a proxy of the fleet is configured with is in
`emulator.fleet.settings`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from emulator.errors import TopologySizeError

if TYPE_CHECKING:
    from testbed.discovery.entry import EndpointEntry

BACKENDS, SERVICES = 910, 78
ZONES = ("a", "b", "c", "d", "e")
REGION_OF = {"a": 0, "b": 0, "c": 0, "d": 1, "e": 1}  # the region of each zone
TYPES = ("m1", "m2", "m4")
WEIGHTS = {"m1": 0.5, "m2": 1.0, "m4": 2.0}
GROUP_SIZE = 12  # backends that share a group, about
MAX_CALLED_SERVICES = 6  # by one service
MIN_CALLED_BACKENDS, MAX_CALLED_BACKENDS = 12, 100  # of all services that one calls, about


@dataclass(slots=True, frozen=True)
class Topology:
    """A fleet, in which a backend is identified by its position in `entries`, a service by its number.

    Attributes:
        seed: What the fleet was drawn from.
        entries: The backends.
        service_of: The service of each backend, by its position.
        calls: The services that each service calls, by its number.
    """

    seed: int
    entries: tuple[EndpointEntry, ...]
    service_of: tuple[int, ...]
    calls: tuple[tuple[int, ...], ...]

    def backends_in_zone(self, name: str) -> list[int]:
        """Return the positions of the backends in a zone."""
        return [position for position, entry in enumerate(self.entries) if entry["zone"] == name]

    def backends_in_region(self, number: int) -> list[int]:
        """Return the positions of the backends in a region."""
        return [position for position, entry in enumerate(self.entries) if REGION_OF[entry["zone"]] == number]

    def called_backends(self, service: int) -> list[int]:
        """Return the positions of the backends of the services that this one calls."""
        called = set(self.calls[service])
        return [position for position, owner in enumerate(self.service_of) if owner in called]


def build(seed: int, backends: int = BACKENDS, services: int | None = None) -> Topology:
    """Draw a fleet.

    Every service has at least one backend, sizes are log-normal, and each service is spread evenly over the
    zones.

    Args:
        seed: Equal seeds give equal fleets.
        backends: How many backends there are.
        services: How many services there are; None: in the target's proportion to the backends.

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
    groups = max(1, backends // GROUP_SIZE)
    entries = tuple(
        _entry(position, service, str(rng.choice(TYPES)), int(rng.integers(groups)))
        for position, service in enumerate(service_of)
    )
    calls = tuple(
        _called_services(rng, [int(size) for size in sizes], service) for service in range(services)
    )
    return Topology(seed, entries, service_of, calls)


def _entry(position: int, service: int, host_type: str, group: int) -> EndpointEntry:
    return {
        "name": f"s{service:02d}-{position:05d}",
        "address": f"10.{1 + position // 65536}.{position // 256 % 256}.{position % 256}:8080",
        "zone": ZONES[position % len(ZONES)],
        "type": host_type,
        "group": group,
        "status": "in_service",
        "weight": WEIGHTS[host_type],
        "since_ms": 0,
    }


def _called_services(rng: np.random.Generator, sizes: list[int], service: int) -> tuple[int, ...]:
    """Draw the services that one calls, with no more backends together than a proxy may see."""
    others = [int(other) for other in rng.permutation(len(sizes)) if other != service]
    wanted, backends = int(rng.integers(1, MAX_CALLED_SERVICES + 1)), 0
    called: list[int] = []
    for other in others:
        if len(called) >= wanted and backends >= MIN_CALLED_BACKENDS:
            break
        if backends + sizes[other] <= MAX_CALLED_BACKENDS:
            called.append(other)
            backends += sizes[other]
    return tuple(called)
