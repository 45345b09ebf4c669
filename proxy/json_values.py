"""Reading values out of parsed JSON, with errors that name the key, the value and what is expected."""

from __future__ import annotations

import reprlib
from typing import TYPE_CHECKING

from balancer.errors import RowandealError

if TYPE_CHECKING:
    from collections.abc import Mapping


class EntryError(RowandealError, ValueError):
    """An entry of a JSON object is missing or invalid.

    Attributes:
        key: The entry's key, with the path to it, as in `limits.sockets`.
        problem: What is wrong, to be read after the key.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}{problem}")
        self.key = key
        self.problem = problem

    def within(self, path: str) -> EntryError:
        """Return the same error of an entry whose object has a path of its own."""
        return EntryError(f"{path}.{self.key}", self.problem)


class MissingEntryError(EntryError):
    """A required entry is missing."""

    def __init__(self, key: str) -> None:
        super().__init__(key, " is missing")


class InvalidEntryError(EntryError):
    """An entry has a value that is not allowed.

    Attributes:
        value: The value.
        expected: What is allowed.
    """

    def __init__(self, *, key: str, value: object, expected: str) -> None:
        super().__init__(key, f": {reprlib.repr(value)} is not {expected}")
        self.value = value
        self.expected = expected


def require_object(key: str, value: object) -> dict[str, object]:
    """Return a value that has to be a JSON object.

    Raises:
        InvalidEntryError: It is something else.
    """
    if not isinstance(value, dict):
        raise InvalidEntryError(key=key, value=value, expected="an object")
    return value


def require_list(key: str, value: object) -> list[object]:
    """Return a value that has to be a JSON array.

    Raises:
        InvalidEntryError: It is something else.
    """
    if not isinstance(value, list):
        raise InvalidEntryError(key=key, value=value, expected="a list")
    return value


def require_entry(entries: Mapping[str, object], key: str, path: str = "") -> object:
    """Return the value of a required entry of a JSON object.

    Args:
        entries: The object.
        key: The entry's key.
        path: The path to the object, with a final dot; empty at the top.

    Raises:
        MissingEntryError: There is no such entry.
    """
    if key not in entries:
        raise MissingEntryError(path + key)
    return entries[key]


def require_number(key: str, value: object, low: float, high: float) -> float:
    """Return a value that has to be a finite number from `low` to `high`.

    Raises:
        InvalidEntryError: It is something else; booleans are no numbers.
    """
    # Integers are compared as they are: float() would overflow for those that no float can hold.
    if isinstance(value, (int, float)) and not isinstance(value, bool) and low <= value <= high:
        return value
    raise InvalidEntryError(key=key, value=value, expected=f"a number from {low:g} to {high:g}")
