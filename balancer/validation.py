"""Checks of single values; each raises InvalidValueError with the field, the value and what is expected."""

from __future__ import annotations

import sys

from balancer.errors import InvalidValueError


def check_number(field: str, value: float, low: float = 0.0, high: float = sys.float_info.max) -> None:
    """Require a number from `low` to `high`; reject booleans, NaN and infinity."""
    # The comparison also rejects integers that are too large for a float, where float() would overflow.
    if not isinstance(value, (int, float)) or isinstance(value, bool) or not low <= value <= high:
        raise InvalidValueError(field, f"{value!r} is not a number from {low} to {high}")


def check_bool(field: str, value: object) -> None:
    """Require a boolean."""
    if not isinstance(value, bool):
        raise InvalidValueError(field, f"{value!r} is not a boolean")


def check_string(field: str, value: object) -> None:
    """Require a string."""
    if not isinstance(value, str):
        raise InvalidValueError(field, f"{value!r} is not a string")


def check_index(field: str, value: int, count: int) -> None:
    """Require an index into a sequence of `count` items."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < count:
        raise InvalidValueError(field, f"{value!r} is not an integer from 0 to {count - 1}")
