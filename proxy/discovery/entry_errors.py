"""What an entry of the endpoint list has to be, and the error that names what is wrong with one that is not.

Readable entries are not checked here: reading them fails where it has to, and this module explains why.
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
    """What one value of an entry has to be.

    Attributes:
        key: The value's key.
        is_valid: Returns whether a value is valid.
        expected: What is valid, for the error.
    """

    key: str
    is_valid: Callable[[object], bool]
    expected: str


REQUIRED_KEYS = ("name", "status", "address")
#: In the order in which errors are reported.
VALUE_CHECKS = (
    ValueCheck("name", _is_text, "a text"),
    ValueCheck("status", _is_status, f"one of {', '.join(STATUSES)}"),
    ValueCheck("since_ms", _is_number, "a number"),
    ValueCheck("zone", _is_text, "a text"),
    ValueCheck("type", _is_text, "a text"),
)


def entry_error(entry: object) -> EntryError:
    """Return the error that names what makes an entry unreadable."""
    if not isinstance(entry, dict):
        return InvalidEntryError(key="entry", value=entry, expected="an object")
    for key in REQUIRED_KEYS:
        if key not in entry:
            return MissingEntryError(key)
    for check in VALUE_CHECKS:
        if check.key in entry and not check.is_valid(entry[check.key]):
            return InvalidEntryError(key=check.key, value=entry[check.key], expected=check.expected)
    return InvalidEntryError(key="entry", value=entry, expected="a valid entry")
