"""Configuration files of real proxies, and the endpoint lists and settings that they hold."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from emulator.loopback import HOST
from emulator.topology import Entry

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


def endpoint_snapshot(rows: int, ports: Sequence[int]) -> dict[str, Any]:
    """Build an endpoint list in discovery's form; where it has more rows than ports, they take turns."""
    return {"index": 1, "snapshot": True, "endpoints": endpoint_entries(rows, ports)}


def endpoint_entries(rows: int, ports: Sequence[int]) -> list[Entry]:
    """Build the entries of such a list."""
    return [
        {
            "name": f"s-{n}",
            "address": f"{HOST}:{ports[n % len(ports)]}",
            "zone": "here",
            "type": "k",
            "group": 0,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }
        for n in range(rows)
    ]


def proxy_settings(fleet_size: int, ordinal: int) -> dict[str, Any]:
    """Build the settings of one proxy of a fleet, in the form of the configuration file."""
    return {
        "Instances": fleet_size,
        "Ordinal": ordinal,
        "Services": [{"Name": "read", "Aim": 5.0, "HardLimit": 5.0, "Repeat": "retryable", "LateWorth": 1.0}],
        "Orgs": [{"Name": "acme", "Share": 1.0}],
        "Bounds": {"Cancel": True, "MaxAttempts": 5, "ConnIdle": 60.0, "DialTimeout": 0.25},
        "Rules": {"DrainGrace": 0.5, "ColdFrom": 0.5, "Cold": 0.0, "FallMultiple": 3.0, "TipAfter": 3.0},
        "Tiers": ["one"],
        "Zones": ["here"],
        "HostTypes": ["k"],
    }


@dataclass(slots=True, frozen=True)
class ProxyConfig:
    """One proxy's configuration.

    Attributes:
        name: The proxy's name.
        port: Where it listens.
        discovery_port: Where its discovery listens.
        seed: Hexadecimal digits.
        known: The endpoint list that it starts with.
        settings: Its settings, in the form of the file.
        version: The label of the file's version; None where it has none.
    """

    name: str
    port: int
    discovery_port: int
    seed: str
    known: dict[str, Any]
    settings: dict[str, Any]
    version: str | None = None

    def write(self, path: Path) -> None:
        """Write the file in one step: a reader sees either the old file or the new one."""
        new = path.with_suffix(".new")
        new.write_bytes(orjson.dumps(self._as_dict()))
        new.replace(path)

    def _as_dict(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery_port}",
            "seed": self.seed,
            "limits": LIMITS,
            "known": self.known,
            **({"version": self.version} if self.version else {}),
            "settings": self.settings,
        }
