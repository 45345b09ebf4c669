"""The sequence of settings changes of the run `settings`: the settings of a proxy after each change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from emulator.fleet.stub_fleet import stub_proxy_settings

if TYPE_CHECKING:
    from balancer.settings_reader import RawSettings

#: The kinds of changes in turn, by their names in results: latency objective, tenant quota, fleet size, and
#: an additional request class, which the next change of this kind removes.
KINDS = ("aim", "share", "size", "class")

OBJECTIVE_STEPS, QUOTA_STEPS, SIZE_STEPS = 50, 10, 10  # number of different values of each setting


def settings_after(change_count: int, fleet_size: int, ordinal: int) -> RawSettings:
    """Build the settings of a proxy after `change_count` changes, each of the next kind.

    The settings before and after a change are never equal.
    """
    kind_count = len(KINDS)
    objective_changes, quota_changes, size_changes, class_changes = (
        (change_count + kind_count - 1 - index) // kind_count for index in range(kind_count)
    )
    settings = stub_proxy_settings(fleet_size, ordinal)
    read_class = settings["Services"][0]
    read_class["Aim"] = 4.0 + 0.01 * (objective_changes % OBJECTIVE_STEPS)
    read_class["HardLimit"] = 5.0 + 0.01 * (objective_changes % OBJECTIVE_STEPS)
    settings["Orgs"] = [
        {"Name": "acme", "Share": 0.8 - 0.01 * (quota_changes % QUOTA_STEPS)},
        {"Name": "other", "Share": 0.1},
    ]
    settings["Instances"] = fleet_size + size_changes % SIZE_STEPS
    if class_changes % 2:
        settings["Services"].append(read_class | {"Name": "extra"})
    return settings


def kind_of(change_number: int) -> str:
    """Return the kind of a change by its number, counted from 1."""
    return KINDS[(change_number - 1) % len(KINDS)]
