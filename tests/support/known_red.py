"""The known failures: the tests that `KNOWN-RED.txt` at the root lists, each with its cause and issue.

The file has one line for each test, of the form `file::test | cause | issue`; a name without parameters
includes all of them. Such a test has to fail: once it passes, the run fails until the line is removed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from testbed.paths import PROJECT_ROOT

if TYPE_CHECKING:
    from pathlib import Path

MAX_ENTRIES = 3
FIELD_COUNT = 3
SEPARATOR = "|"
KNOWN_RED_FILE = PROJECT_ROOT / "KNOWN-RED.txt"


class MalformedLineError(ValueError):
    """A line does not name a test, a cause and an issue."""

    def __init__(self, line: str) -> None:
        super().__init__(f"not of the form test | cause | issue: {line}")


class TooManyEntriesError(ValueError):
    """The file lists more failures than may be known at once."""

    def __init__(self, count: int) -> None:
        super().__init__(f"{count} known failures, and at most {MAX_ENTRIES} may be listed")


@dataclass(slots=True, frozen=True)
class KnownRed:
    """A test that fails because of a fault that is not fixed yet."""

    test: str
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Return whether this entry names a test, or one of its parameters, by pytest's id of it."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")


def parse(text: str) -> list[KnownRed]:
    """Read the entries of the file.

    Raises:
        MalformedLineError: A line does not have the form above.
        TooManyEntriesError: There are more than `MAX_ENTRIES`.
    """
    entries = []
    for line in filter(None, map(str.strip, text.splitlines())):
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise MalformedLineError(line)
        entries.append(KnownRed(*fields))
    if len(entries) > MAX_ENTRIES:
        raise TooManyEntriesError(len(entries))
    return entries


def load(path: Path = KNOWN_RED_FILE) -> list[KnownRed]:
    """Read the file; without one, no test is known to fail."""
    return parse(path.read_text()) if path.exists() else []


def unmatched(entries: list[KnownRed], node_ids: list[str]) -> list[KnownRed]:
    """Return the entries that name no test at all."""
    return [entry for entry in entries if not any(entry.names(node_id) for node_id in node_ids)]
