"""Checks the settings in the configuration file for errors that the balancer can't detect.

`read_settings` replaces an unknown word by a default, and the balancer does not know the names of zones and
machine types: classes refer to them by their positions in lists.
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
    """Require at least one class, and only known words, so that a misspelled word does not select a default.

    Raises:
        EntryError: There is no class, or an entry is not a known word.
    """
    _check_word("RegistryMode", raw_settings.get("RegistryMode"), DISCOVERY_MODES)
    raw_classes = require_list("Services", raw_settings.get("Services") or [])
    if not raw_classes:
        raise InvalidEntryError(key="Services", value=raw_classes, expected="a list with at least one class")
    for index, value in enumerate(raw_classes):
        raw_class = require_object(f"Services[{index}]", value)
        idempotency = _check_word(f"Services[{index}].Repeat", raw_class.get("Repeat"), IDEMPOTENCIES)
        if IDEMPOTENCIES.get(idempotency) is Idempotency.KEYED:  # other classes have no deduplication scope
            _check_word(f"Services[{index}].Group", raw_class.get("Group"), DEDUPLICATION_SCOPES)


def _check_word(key: str, value: object, words: Collection[str]) -> str:
    """Require a known word or no value; return the word, or an empty string if there is no value."""
    if value is None:
        return ""
    if not isinstance(value, str) or value not in words:
        raise InvalidEntryError(key=key, value=value, expected=f"one of {', '.join(words)}")
    return value


def name_indices(key: str, names: object) -> dict[str, int]:
    """Return the position of each name in a list of names.

    The names must be unique, because the balancer stores state by name.

    Raises:
        InvalidEntryError: It is not a list of unique names.
    """
    if isinstance(names, list) and all(isinstance(name, str) for name in names):
        indices = {name: index for index, name in enumerate(names)}
        if len(indices) == len(names):
            return indices
    raise InvalidEntryError(key=key, value=names, expected="a list of different names")


def check_placement_restrictions(
    settings: Settings, zone_indices: Collection[str], machine_type_indices: Collection[str]
) -> None:
    """Require that classes are restricted to zones and machine types that the settings list.

    Raises:
        InvalidEntryError: A class allows a position that is not in the list.
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
