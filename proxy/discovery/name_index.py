"""Assigns numbers to the names of zones and machine types, for the lifetime of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_NAMES = 4096  # names of zones, or of machine types, that have a number of their own
UNKNOWN_NAME = -1  # the number of all names beyond the first `MAX_NAMES`

#: The numbers of the zones, or of the machine types, that are allowed for a class; None: all.
AllowedNumbers = tuple[int, ...] | None


class NameIndex:
    """Maps the names of zones, or of machine types, to numbers. The number of a name never changes.

    Therefore a change of the settings does not affect endpoints that were read before: their numbers still
    mean the same zones and machine types.
    """

    def __init__(self, names: Mapping[str, int]) -> None:
        self._numbers = dict(names)

    def number_of(self, name: str) -> int:
        """Return the number of a name; a new name gets a new number.

        Names beyond the first `MAX_NAMES` are not stored, because they could fill the memory. They all have
        the number `UNKNOWN_NAME`.
        """
        number = self._numbers.get(name)
        if number is not None:
            return number
        if len(self._numbers) >= MAX_NAMES:
            return UNKNOWN_NAME
        return self._numbers.setdefault(name, max(self._numbers.values(), default=-1) + 1)

    def translate(self, positions: AllowedNumbers, names: Mapping[str, int]) -> AllowedNumbers:
        """Convert positions in a configuration's list of names into the numbers of these names.

        Args:
            positions: The positions in the list; None if all names are allowed.
            names: The configuration's names, in the order of the list.
        """
        if positions is None:
            return None
        listed_names = list(names)
        return tuple(sorted({self.number_of(listed_names[position]) for position in positions}))
