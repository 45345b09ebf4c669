"""The options and the result of a run, its time limit and its progress output."""

from __future__ import annotations

import signal
import sys
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from emulator.errors import RunTimeoutError
from testbed.paths import PROJECT_ROOT

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

#: Rate of endpoint and settings changes in the target deployment.
CHANGES_PER_DAY, SECONDS_PER_DAY = 2900, 86400.0


@dataclass(slots=True, frozen=True)
class RunOptions:
    """The options of one run, as given on the command line.

    Attributes:
        seed: Seed of the random generators.
        out: Folder of the result file.
        quick: Whether to run a shorter version with fewer measurements.
        program: Root of the source tree whose proxy is measured, for runs that can measure another tree.
    """

    seed: int
    out: Path
    quick: bool
    program: Path = PROJECT_ROOT

    def result_name(self, run: str) -> str:
        """Return the name of the result file; a quick run does not overwrite the result of a full run."""
        return f"{run}-quick" if self.quick else run


@dataclass(slots=True, frozen=True)
class RunResult:
    """The figures of a run that have a budget, by their names, and the path of the result file."""

    figures: dict[str, float]
    path: Path


@contextmanager
def time_limit(seconds: int) -> Iterator[None]:
    """Raise RunTimeoutError in the block after `seconds`. Limitation: works only in the main thread."""

    def expire(*_: object) -> None:
        """Interrupt the block."""
        raise RunTimeoutError(seconds)

    previous_handler = signal.signal(signal.SIGALRM, expire)
    signal.alarm(seconds)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, previous_handler)


def report_progress(run: str, text: str) -> None:
    """Print one line of progress to standard error."""
    print(f"{run}: {text}", file=sys.stderr, flush=True)
