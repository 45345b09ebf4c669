"""Reads values from parsed JSON; its errors state the key, the value and the expected values."""

from __future__ import annotations

import reprlib
from typing import TYPE_CHECKING

from balancer.errors import RowandealError

if TYPE_CHECKING:
    from collections.abc import Mapping


class EntryError(RowandealError, ValueError):
    """An entry of a JSON object is missing or invalid.

    Attributes:
        key: The entry's key with the path to it, such as `limits.sockets`.
        problem: The description of the error, which follows the key in the message.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}{problem}")
        self.key = key
        self.problem = problem

    def with_path(self, path: str) -> EntryError:
        """Return the same error with the path of the object in front of the key."""
        return EntryError(f"{path}.{self.key}", self.problem)


class MissingEntryError(EntryError):
    """A required entry is missing."""

    def __init__(self, key: str) -> None:
        super().__init__(key, " is missing")


class InvalidEntryError(EntryError):
    """An entry has a value that is not allowed.

    Attributes:
        value: The value.
        expected: A description of the allowed values.
    """

    def __init__(self, *, key: str, value: object, expected: str) -> None:
        super().__init__(key, f": {reprlib.repr(value)} is not {expected}")
        self.value = value
        self.expected = expected


def require_object(key: str, value: object) -> dict[str, object]:
    """Return a value that must be a JSON object.

    Raises:
        InvalidEntryError: It is not an object.
    """
    if not isinstance(value, dict):
        raise InvalidEntryError(key=key, value=value, expected="an object")
    return value


def require_list(key: str, value: object) -> list[object]:
    """Return a value that must be a JSON array.

    Raises:
        InvalidEntryError: It is not an array.
    """
    if not isinstance(value, list):
        raise InvalidEntryError(key=key, value=value, expected="a list")
    return value


def require_entry(entries: Mapping[str, object], key: str, path: str = "") -> object:
    """Return the value of a required entry of a JSON object.

    Args:
        entries: The object.
        key: The entry's key.
        path: The path to the object, with a final dot; empty for the top object.

    Raises:
        MissingEntryError: There is no such entry.
    """
    if key not in entries:
        raise MissingEntryError(path + key)
    return entries[key]


def require_number(key: str, value: object, low: float, high: float) -> float:
    """Return a value that must be a finite number from `low` to `high`.

    Raises:
        InvalidEntryError: It is not such a number; booleans do not count as numbers.
    """
    # Integers are not converted: float() raises OverflowError for integers beyond the range of a float.
    if isinstance(value, (int, float)) and not isinstance(value, bool) and low <= value <= high:
        return value
    raise InvalidEntryError(key=key, value=value, expected=f"a number from {low:g} to {high:g}")
