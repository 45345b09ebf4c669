"""The settings of a proxy of the simulated fleet, in the format of the configuration file.

`testbed.proxy_config` writes the file. Proxies in front of the stub backend have other settings, which are
in `emulator.fleet.stub_fleet`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from emulator.fleet.topology import HOST_TYPES, ZONES, Topology

if TYPE_CHECKING:
    from balancer.settings_reader import RawClass, RawLimits, RawRules, RawSettings

CLASSES: list[RawClass] = [
    {"Name": "read", "Aim": 0.5, "HardLimit": 2.0, "Repeat": "retryable", "LateWorth": 0.5},
    {"Name": "book", "Aim": 1.0, "HardLimit": 3.0, "Repeat": "fragile", "LateWorth": 0.5},
]
LIMITS: RawLimits = {"Cancel": True, "MaxAttempts": 3, "ConnIdle": 15.0, "DialTimeout": 0.25}
RULES: RawRules = {
    "DrainGrace": 0.25,
    "ColdFrom": 0.1,
    "Cold": 30.0,
    "FallMultiple": 2.0,
    "TipAfter": 1.0,
    "ExtraFree": 5.0,
    "ExtraPerRequest": 0.2,
    "RatioSpan": 10.0,
}


def proxy_settings(topology: Topology, position: int, fleet_size: int | None = None) -> RawSettings:
    """Build the settings of the proxy of one backend.

    Args:
        topology: The fleet.
        position: Position of the backend in the topology.
        fleet_size: Number of proxies; None: one for each backend.
    """
    entry = topology.entries[position % len(topology.entries)]
    fleet_size = fleet_size or len(topology.entries)
    return {
        "Instances": fleet_size,
        "Ordinal": position % fleet_size,
        "RegistryMode": "pushed",
        "Services": CLASSES,
        "Orgs": [{"Name": "acme", "Share": 1.0}],
        "Tiers": ["front", "rest"],
        "Tier": 1,
        "Zones": list(ZONES),
        "Zone": ZONES.index(entry["zone"]),
        "HostTypes": list(HOST_TYPES),
        "Bounds": LIMITS,
        "Rules": RULES,
    }
