"""Proxies in front of the stub backend: their endpoint list and their settings.

The proxies of a simulated fleet, with services and zones, are configured in `emulator.fleet.settings`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balancer.settings_reader import RawSettings
    from testbed.discovery.entry import EndpointEntry, EndpointUpdate


def endpoint_snapshot(rows: int, ports: Sequence[int]) -> EndpointUpdate:
    """Build an endpoint list in discovery's form; where it has more rows than ports, they take turns."""
    return {"index": 1, "snapshot": True, "endpoints": endpoint_entries(rows, ports)}


def endpoint_entries(rows: int, ports: Sequence[int]) -> list[EndpointEntry]:
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


def stub_proxy_settings(fleet_size: int, ordinal: int) -> RawSettings:
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
