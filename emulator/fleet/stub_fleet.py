"""The endpoint list and the settings of proxies in front of the stub backend.

The settings of a simulated fleet, with services and zones, are in `emulator.fleet.settings`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balancer.settings_reader import RawSettings
    from testbed.discovery.entry import EndpointEntry, EndpointUpdate


def endpoint_snapshot(endpoint_count: int, ports: Sequence[int]) -> EndpointUpdate:
    """Build a snapshot in the format of discovery; the entries use the ports round-robin."""
    return {"index": 1, "snapshot": True, "endpoints": endpoint_entries(endpoint_count, ports)}


def endpoint_entries(endpoint_count: int, ports: Sequence[int]) -> list[EndpointEntry]:
    """Build the entries of an endpoint list; the entries use the ports round-robin."""
    return [
        {
            "name": f"s-{number}",
            "address": f"{HOST}:{ports[number % len(ports)]}",
            "zone": "here",
            "type": "k",
            "group": 0,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }
        for number in range(endpoint_count)
    ]


def stub_proxy_settings(fleet_size: int, ordinal: int) -> RawSettings:
    """Build the settings of one proxy of a fleet, in the format of the configuration file."""
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
