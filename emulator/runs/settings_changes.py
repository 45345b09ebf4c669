"""The changes of settings that the run makes: a proxy's settings after so many of them.

No file is written and no proxy is notified here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from emulator.fleet.stub_fleet import stub_proxy_settings

if TYPE_CHECKING:
    from balancer.settings_reader import RawSettings

#: What changes, one after the other; results name each kind so: latency objective, tenant quota, fleet size,
#: and a request class more or less.
KINDS = ("aim", "share", "size", "class")

OBJECTIVE_STEPS, QUOTA_STEPS, SIZE_STEPS = 50, 10, 10  # how many values each of them has in turn


def settings_after(changes: int, fleet_size: int, ordinal: int) -> RawSettings:
    """Build a proxy's settings after so many changes, each of the next kind; no two in a row are equal."""
    kinds = len(KINDS)
    objective, quota, size, request_class = ((changes + kinds - 1 - index) // kinds for index in range(kinds))
    settings = stub_proxy_settings(fleet_size, ordinal)
    read = settings["Services"][0]
    read["Aim"] = 4.0 + 0.01 * (objective % OBJECTIVE_STEPS)
    read["HardLimit"] = 5.0 + 0.01 * (objective % OBJECTIVE_STEPS)
    settings["Orgs"] = [
        {"Name": "acme", "Share": 0.8 - 0.01 * (quota % QUOTA_STEPS)},
        {"Name": "other", "Share": 0.1},
    ]
    settings["Instances"] = fleet_size + size % SIZE_STEPS
    if request_class % 2:
        settings["Services"].append(read | {"Name": "extra"})
    return settings


def kind_of(number: int) -> str:
    """Return the kind of a change by its number, counted from 1."""
    return KINDS[(number - 1) % len(KINDS)]
