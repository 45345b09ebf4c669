"""Checks of the settings in the configuration file that the balancer's own checks do not make.

The balancer sees positions and defaults; here are the names that the file states for them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.settings import Idempotency
from balancer.settings_reader import DEDUPLICATION_SCOPES, DISCOVERY_MODES, IDEMPOTENCIES
from proxy.json_values import InvalidEntryError, require_list, require_object

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from balancer.settings import Settings


def check_words(raw_settings: Mapping[str, object]) -> None:
    """Require at least one class and known words: a typing error must not select a default.

    Raises:
        EntryError: There is no class, or an entry is no known word.
    """
    _check_word("RegistryMode", raw_settings.get("RegistryMode"), DISCOVERY_MODES)
    rows = require_list("Services", raw_settings.get("Services") or [])
    if not rows:
        raise InvalidEntryError(key="Services", value=rows, expected="a list with at least one class")
    for index, value in enumerate(rows):
        row = require_object(f"Services[{index}]", value)
        idempotency = _check_word(f"Services[{index}].Repeat", row.get("Repeat"), IDEMPOTENCIES)
        if IDEMPOTENCIES.get(idempotency) is Idempotency.KEYED:  # other classes have no deduplication scope
            _check_word(f"Services[{index}].Group", row.get("Group"), DEDUPLICATION_SCOPES)


def _check_word(key: str, value: object, words: Collection[str]) -> str:
    """Return a word that may be absent; empty if it is."""
    if value is None:
        return ""
    if not isinstance(value, str) or value not in words:
        raise InvalidEntryError(key=key, value=value, expected=f"one of {', '.join(words)}")
    return value


def name_indices(key: str, names: object) -> dict[str, int]:
    """Return the position of each name in a list of names.

    The balancer keeps state by name, so the names have to differ.

    Raises:
        InvalidEntryError: It is no list of different names.
    """
    if isinstance(names, list) and all(isinstance(name, str) for name in names):
        indices = {name: index for index, name in enumerate(names)}
        if len(indices) == len(names):
            return indices
    raise InvalidEntryError(key=key, value=names, expected="a list of different names")


def check_placement(
    settings: Settings, zone_indices: Collection[str], machine_type_indices: Collection[str]
) -> None:
    """Require that classes are bound to zones and machine types that the settings list.

    Raises:
        InvalidEntryError: A class is bound to another one.
    """
    for index, request_class in enumerate(settings.classes):
        for key, allowed, names, list_key in (
            ("AllowedIn", request_class.allowed_zones, zone_indices, "Zones"),
            ("BoundTo", request_class.allowed_machine_types, machine_type_indices, "HostTypes"),
        ):
            positions = allowed or ()
            if any(position >= len(names) for position in positions):
                raise InvalidEntryError(
                    key=f"Services[{index}].{key}",
                    value=list(positions),
                    expected=f"a list of positions in {list_key}",
                )
