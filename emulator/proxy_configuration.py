"""What a proxy of the simulated fleet is configured with, in the form of DEPLOY.

It owns the settings that all runs over a `topology.Topology` share.
"""

from __future__ import annotations

from typing import Any

from emulator.control_endpoint import HOST
from emulator.topology import TYPES, ZONES, Topology

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # of one real proxy


def proxy_settings(topology: Topology, position: int, fleet_size: int | None = None) -> dict[str, Any]:
    """The settings of one backend's proxy (DEPLOY, `settings`).

    Args:
        topology: The fleet.
        position: The backend.
        fleet_size: How many proxies there are; None: one for each backend.
    """
    entry = topology.entries[position % len(topology.entries)]
    fleet_size = fleet_size or len(topology.entries)
    return {
        "Instances": fleet_size,
        "Ordinal": position % fleet_size,
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


def proxy_configuration(
    topology: Topology, position: int, listen_port: int, discovery_port: int
) -> dict[str, Any]:
    """The configuration file of one real proxy, which knows no endpoint at its start."""
    return {
        "name": topology.entries[position]["name"],
        "listen": f"{HOST}:{listen_port}",
        "discovery": f"{HOST}:{discovery_port}",
        "seed": f"{topology.seed + position:016x}",
        "limits": LIMITS,
        "known": {"index": 0, "snapshot": True, "endpoints": []},
        "settings": proxy_settings(topology, position),
    }
