"""What every run needs: its options, its result, a time limit and progress lines.

It owns nothing that is measured: pacing is in `emulator.runs.pacing`, the changes of an endpoint list in
`emulator.runs.endpoint_changes`.
"""

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

#: The target's rate of configuration changes.
CHANGES_PER_DAY, SECONDS_PER_DAY = 2900, 86400.0


@dataclass(slots=True, frozen=True)
class RunOptions:
    """The options of one run, as given on the command line.

    Attributes:
        seed: For everything random.
        out: Folder that the result is written to.
        quick: Whether the small edition is run.
        program: Root of the tree whose proxy is measured, for runs that can measure another one.
    """

    seed: int
    out: Path
    quick: bool
    program: Path = PROJECT_ROOT

    def result_name(self, run: str) -> str:
        """Name a run's result so that a small edition does not overwrite a full one."""
        return f"{run}-quick" if self.quick else run


@dataclass(slots=True, frozen=True)
class RunResult:
    """A run's figures for the budgets, by their names, and the file that holds its full result."""

    figures: dict[str, float]
    path: Path


@contextmanager
def time_limit(seconds: int) -> Iterator[None]:
    """Raise RunTimeoutError inside the block after so many seconds; works in the main thread only."""

    def expire(*_: object) -> None:
        """Interrupt the block."""
        raise RunTimeoutError(seconds)

    former = signal.signal(signal.SIGALRM, expire)
    signal.alarm(seconds)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, former)


def report_progress(run: str, text: str) -> None:
    """Print one line of progress on standard error."""
    print(f"{run}: {text}", file=sys.stderr, flush=True)
