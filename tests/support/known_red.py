"""The tests that are known to fail: those that `KNOWN-RED.txt` at the root lists, with cause and issue.

The file has one line for each test, of the form `file::test | cause | issue`; a name stands for all
parameters of its test. Such a test has to fail: once it passes, the run fails until its line is gone.
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


@dataclass(slots=True, frozen=True)
class KnownRed:
    """A test that fails for a fault that is not mended yet."""

    test: str
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Return whether this entry names a test, or one of its parameters, by pytest's id of it."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")


def parse(text: str) -> list[KnownRed]:
    """Read the entries of the file; raises ValueError for a malformed line or too many of them."""
    entries = []
    for line in filter(None, map(str.strip, text.splitlines())):
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(f"not of the form test | cause | issue: {line}")
        entries.append(KnownRed(*fields))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{len(entries)} known failures, and at most {MAX_ENTRIES} may be listed")
    return entries


def load(path: Path = KNOWN_RED_FILE) -> list[KnownRed]:
    """Read the file; none means that no test is known to fail."""
    return parse(path.read_text()) if path.exists() else []


def unmatched(entries: list[KnownRed], node_ids: list[str]) -> list[KnownRed]:
    """Return the entries that name no test at all."""
    return [entry for entry in entries if not any(entry.names(node_id) for node_id in node_ids)]
