"""The command line: `python -m emulator RUN`."""

from __future__ import annotations

import contextlib
import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import psutil

from emulator import added
from emulator.budgets import check
from emulator.result import RESULTS, ROOT
from emulator.runs import fleet, hollow, settings, slopes
from emulator.runs.common import RunOptions, RunResult, report_progress, time_limit

ADDED = "added"
LONGEST, LONGEST_QUICK = 300, 60  # seconds that one run may take
RUNS: dict[str, Callable[[RunOptions], RunResult]] = {
    "slopes": slopes.run,
    "hollow": hollow.run,
    "fleet": fleet.run,
    "settings": settings.run,
}
OTHER_PROGRAM = ("settings",)  # runs that can measure the proxy of another tree


def options(command: Callable[..., Any]) -> Callable[..., Any]:
    """The options that every run has."""
    for option in (
        click.option("--quick", is_flag=True, help="A small edition."),
        click.option(
            "--out",
            type=click.Path(file_okay=False, path_type=Path),
            default=RESULTS,
            help="Folder for the result (default: results/ of this tree).",
        ),
        click.option(
            "--seed",
            type=click.IntRange(0, 2**32 - 1),
            default=1,
            show_default=True,
            help="For everything random.",
        ),
    ):
        command = option(command)
    return command


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Measure on one machine what the size costs."""


def _report(figures: dict[str, float]) -> int:
    """Print the verdict; the exit code."""
    verdict = check(figures)
    print(verdict.line(), flush=True)
    return 1 if verdict.broken else 0


def _bounded(run: Callable[[RunOptions], RunResult], given: RunOptions) -> RunResult:
    """One run, in the time that it has."""
    with time_limit(LONGEST_QUICK if given.quick else LONGEST):
        return run(given)


def _command(name: str, run: Callable[[RunOptions], RunResult]) -> click.Command:
    @click.command(name, help=(run.__doc__ or name).partition("\n")[0])
    @options
    def command(seed: int, out: Path, quick: bool, program: Path = ROOT) -> None:
        done = _bounded(run, RunOptions(seed, out, quick, program))
        report_progress(name, f"result in {done.path}")
        sys.exit(_report(done.figures))

    if name in OTHER_PROGRAM:
        click.option(
            "--program",
            default=ROOT,
            help="Tree of the proxy to measure (default: this tree).",
            type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
        )(command)
    return command


for _name, _run in RUNS.items():
    cli.add_command(_command(_name, _run))


@cli.command("all", help="All runs that feed the budgets, one after the other.")
@options
def run_all(seed: int, out: Path, quick: bool) -> None:
    """Every run; exits 1 where a budget that is said to be held is over."""
    given = RunOptions(seed, out, quick)
    figures: dict[str, float] = {}
    for name, run in RUNS.items():
        report_progress(name, "begins")
        figures |= _bounded(run, given).figures
    report_progress(ADDED, "begins")
    figures |= _added(given)
    sys.exit(_report(figures))


def _added(given: RunOptions) -> dict[str, float]:
    """The run of real processes under calls, by its command; the figures of its result.

    OSError where it wrote none, whatever an earlier one left.
    """
    words = ["--seed", str(given.seed), "--out", str(given.out), *(["--quick"] if given.quick else [])]
    path = given.out / f"{given.result_name(ADDED)}.json"
    path.unlink(missing_ok=True)
    with contextlib.suppress(SystemExit):  # what it says of itself shows in its result
        cli.commands[ADDED].main(words, ADDED, standalone_mode=False)
    return dict(json.loads(path.read_text(encoding="utf-8")).get("figures", {}))


cli.add_command(added.command, ADDED)


def main() -> int:
    """Run; bad arguments are one line on standard error and 2."""
    # So that what was started ends too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        cli.main(standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as fault:
        print(
            f"emulator: a command is needed: {', '.join(cli.list_commands(fault.ctx))}"
            if fault.ctx
            else "emulator: a command is needed",
            file=sys.stderr,
        )
        return 2
    except click.UsageError as fault:
        print(f"emulator: {' '.join(fault.format_message().split())}", file=sys.stderr)
        return 2
    except click.Abort:
        print("emulator: interrupted", file=sys.stderr)
        return 130
    except (OSError, RuntimeError, psutil.Error) as fault:
        print(f"emulator: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
