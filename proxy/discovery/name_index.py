"""The numbers that the names of zones and machine types have in this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_NAMES = 4096  # names of zones, or of machine types, that are distinguished
UNKNOWN_NAME = -1  # the number of all names beyond those

Places = tuple[int, ...] | None  # the zones or machine types that a class is bound to; None: any


class NameIndex:
    """The numbers of zones, or of machine types; a name keeps its number until the process ends.

    Placement therefore stays right when the settings change: endpoints that were read before still state
    where they are, and a number never comes to mean another zone or machine type.
    """

    def __init__(self, names: Mapping[str, int]) -> None:
        self._numbers = dict(names)

    def number_of(self, name: str) -> int:
        """Return the number of a name, a new one for a new name.

        Names beyond the first `MAX_NAMES` would fill the memory: all of them have the number `UNKNOWN_NAME`.
        """
        number = self._numbers.get(name)
        if number is not None:
            return number
        if len(self._numbers) >= MAX_NAMES:
            return UNKNOWN_NAME
        return self._numbers.setdefault(name, max(self._numbers.values(), default=-1) + 1)

    def translate(self, places: Places, names: Mapping[str, int]) -> Places:
        """Return the numbers that places of a configuration have in this process.

        Args:
            places: Positions in the configuration's list of names; None: any.
            names: The configuration's names, in the order of that list.
        """
        if places is None:
            return None
        listed = list(names)
        return tuple(sorted({self.number_of(listed[place]) for place in places}))
