"""Builds the error that describes why an entry of the endpoint list is invalid.

`EndpointReader` detects an invalid entry when it fails to read it, and only then calls this module. Valid
entries are therefore not checked here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from proxy.discovery.messages import STATUSES
from proxy.json_values import EntryError, InvalidEntryError, MissingEntryError

if TYPE_CHECKING:
    from collections.abc import Callable


def _is_text(value: object) -> bool:
    return isinstance(value, str)


def _is_status(value: object) -> bool:
    return isinstance(value, str) and value in STATUSES


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float))


class ValueCheck(NamedTuple):
    """The check of one value of an entry.

    Attributes:
        key: The value's key.
        is_valid: Returns whether a value is valid.
        expected: A description of the valid values, for the error.
    """

    key: str
    is_valid: Callable[[object], bool]
    expected: str


REQUIRED_KEYS = ("name", "status", "address")
#: Errors are reported in this order.
VALUE_CHECKS = (
    ValueCheck("name", _is_text, "a text"),
    ValueCheck("status", _is_status, f"one of {', '.join(STATUSES)}"),
    ValueCheck("since_ms", _is_number, "a number"),
    ValueCheck("zone", _is_text, "a text"),
    ValueCheck("type", _is_text, "a text"),
)


def entry_error(entry: object) -> EntryError:
    """Return the error that names the missing or invalid value of an entry that could not be read."""
    if not isinstance(entry, dict):
        return InvalidEntryError(key="entry", value=entry, expected="an object")
    for key in REQUIRED_KEYS:
        if key not in entry:
            return MissingEntryError(key)
    for check in VALUE_CHECKS:
        if check.key in entry and not check.is_valid(entry[check.key]):
            return InvalidEntryError(key=check.key, value=entry[check.key], expected=check.expected)
    return InvalidEntryError(key="entry", value=entry, expected="a valid entry")
