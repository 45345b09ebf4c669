"""A fleet from a seed: backends in services, zones and regions, as entries of discovery's form."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

BACKENDS, SERVICES = 910, 78
ZONES = ("a", "b", "c", "d", "e")
REGION_OF = {"a": 0, "b": 0, "c": 0, "d": 1, "e": 1}  # the region of each zone
TYPES = ("m1", "m2", "m4")
WEIGHTS = {"m1": 0.5, "m2": 1.0, "m4": 2.0}
GROUP_SIZE = 12  # backends that share a group, about
CALLED_MOST = 6  # services that one service calls
ROWS_LEAST, ROWS_MOST = 12, 100  # rows that the backends of the services called amount to, about
Entry = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Topology:
    """Backends by their place (0 up): `entries[i]` is a backend of service `service_of[i]`.

    `calls[s]` holds the services that service s calls.
    """

    seed: int
    entries: tuple[Entry, ...]
    service_of: tuple[int, ...]
    calls: tuple[tuple[int, ...], ...]

    def zone(self, name: str) -> list[int]:
        """The places of the backends in a zone."""
        return [place for place, entry in enumerate(self.entries) if entry["zone"] == name]

    def region(self, number: int) -> list[int]:
        """The places of the backends in a region."""
        return [place for place, entry in enumerate(self.entries) if REGION_OF[entry["zone"]] == number]

    def next_rows(self, service: int) -> list[int]:
        """The places of the backends of the services that this one calls."""
        called = set(self.calls[service])
        return [place for place, of in enumerate(self.service_of) if of in called]


def build(seed: int, backends: int = BACKENDS, services: int | None = None) -> Topology:
    """A fleet of so many backends; services in the target's proportion unless their number is given.

    Every service has a backend at least, sizes are log-normal, and each service is spread evenly over the
    zones. ValueError where there are fewer backends than services, or no service.
    """
    if services is None:
        services = max(1, round(backends * SERVICES / BACKENDS))
    if not 1 <= services <= backends:
        raise ValueError(f"{services} services do not fit {backends} backends")
    rng = np.random.default_rng(seed)
    shares = rng.lognormal(0.0, 0.8, services)
    sizes = 1 + rng.multinomial(backends - services, shares / shares.sum())
    service_of = tuple(int(s) for s in np.repeat(np.arange(services), sizes))
    groups = max(1, backends // GROUP_SIZE)
    entries = tuple(
        _entry(place, service, str(rng.choice(TYPES)), int(rng.integers(groups)))
        for place, service in enumerate(service_of)
    )
    calls = tuple(_called(rng, [int(s) for s in sizes], service) for service in range(services))
    return Topology(seed, entries, service_of, calls)


def _entry(place: int, service: int, kind: str, group: int) -> Entry:
    return {
        "name": f"s{service:02d}-{place:05d}",
        "address": f"10.{1 + place // 65536}.{place // 256 % 256}.{place % 256}:8080",
        "zone": ZONES[place % len(ZONES)],
        "type": kind,
        "group": group,
        "status": "in_service",
        "weight": WEIGHTS[kind],
        "since_ms": 0,
    }


def _called(rng: np.random.Generator, sizes: list[int], service: int) -> tuple[int, ...]:
    """The services that one calls: some others, with no more backends in all than a proxy may see."""
    others = [int(s) for s in rng.permutation(len(sizes)) if s != service]
    want, rows = int(rng.integers(1, CALLED_MOST + 1)), 0
    found: list[int] = []
    for other in others:
        if len(found) >= want and rows >= ROWS_LEAST:
            break
        if rows + sizes[other] <= ROWS_MOST:
            found.append(other)
            rows += sizes[other]
    return tuple(found)


def settings(topology: Topology, place: int, fleet: int | None = None) -> dict[str, Any]:
    """The settings of one backend's proxy, in the form of DEPLOY (`settings`); `fleet` proxies in all."""
    entry = topology.entries[place % len(topology.entries)]
    fleet = fleet or len(topology.entries)
    return {
        "Instances": fleet,
        "Ordinal": place % fleet,
        "RegistryMode": "pushed",
        "Services": [
            {"Name": "read", "Aim": 0.5, "HardLimit": 2.0, "Repeat": "retryable", "LateWorth": 0.5},
            {"Name": "book", "Aim": 1.0, "HardLimit": 3.0, "Repeat": "fragile", "LateWorth": 0.5},
        ],
        "Orgs": [{"Name": "acme", "Share": 1.0}],
        "Tiers": ["front", "rest"],
        "Tier": 1,
        "Zones": list(ZONES),
        "Zone": ZONES.index(entry["zone"]),
        "HostTypes": list(TYPES),
        "Bounds": {"Cancel": True, "MaxAttempts": 3, "ConnIdle": 15.0, "DialTimeout": 0.25},
        "Rules": {
            "DrainGrace": 0.25,
            "ColdFrom": 0.1,
            "Cold": 30.0,
            "FallMultiple": 2.0,
            "TipAfter": 1.0,
            "ExtraFree": 5.0,
            "ExtraPerRequest": 0.2,
            "RatioSpan": 10.0,
        },
    }
