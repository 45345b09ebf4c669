"""The command line: which runs there are, their options, and what they print and exit with.

What a run measures is in its module of `emulator.runs`, and the limits of its figures are in
`emulator.measurement.budgets`.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import psutil

from emulator.measurement.budgets import check_budgets
from emulator.measurement.result import DEFAULT_RESULTS_FOLDER
from emulator.runs import added_latency, fleet, settings_reload, simulated_cost, slopes
from emulator.runs.common import RunOptions, RunResult, report_progress, time_limit
from testbed.paths import PROJECT_ROOT
from testbed.processes import ProcessError

Run = Callable[[RunOptions], RunResult]

ADDED = added_latency.NAME
TIME_LIMIT, TIME_LIMIT_QUICK = 300, 60  # seconds that one run may take
RUNS: dict[str, Run] = {
    "slopes": slopes.run,
    simulated_cost.NAME: simulated_cost.run,
    "fleet": fleet.run,
    settings_reload.NAME: settings_reload.run,
}
#: Former names of runs, which the command line still takes and no longer shows.
ALIASES = {"hollow": simulated_cost.NAME}
RUNS_OF_ANY_PROGRAM = (settings_reload.NAME,)  # those that can measure the proxy of another tree

EXIT_FAILURE, EXIT_USAGE, EXIT_INTERRUPTED, EXIT_TERMINATED = 1, 2, 130, 143


def run_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that every run has."""
    for option in (
        click.option("--quick", is_flag=True, help="A small edition."),
        click.option(
            "--out",
            type=click.Path(file_okay=False, path_type=Path),
            default=DEFAULT_RESULTS_FOLDER,
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
    """Measure on one machine what the size of a fleet costs."""


def _report_verdict(figures: dict[str, float]) -> int:
    """Check the figures against the budgets, print the verdict, and return the exit code."""
    verdict = check_budgets(figures)
    print(verdict.line(), flush=True)
    return EXIT_FAILURE if verdict.violated else 0


def _run_within_limit(run: Run, options: RunOptions) -> RunResult:
    with time_limit(TIME_LIMIT_QUICK if options.quick else TIME_LIMIT):
        return run(options)


def _command(name: str, run: Run) -> click.Command:
    """Build the command of a run that has a time limit and whose figures are compared with the budgets."""

    @click.command(name, help=(run.__doc__ or name).partition("\n")[0])
    @run_options
    def command(*, seed: int, out: Path, quick: bool, program: Path = PROJECT_ROOT) -> None:
        """Do the run; exits 1 where an enforced budget is violated."""
        result = _run_within_limit(run, RunOptions(seed, out, quick, program))
        report_progress(name, f"result in {result.path}")
        sys.exit(_report_verdict(result.figures))

    if name in RUNS_OF_ANY_PROGRAM:
        click.option(
            "--program",
            default=PROJECT_ROOT,
            help="Tree of the proxy to measure, run by its deploy/balancer.toml (default: this tree).",
            type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
        )(command)
    return command


for _name, _run in RUNS.items():
    cli.add_command(_command(_name, _run))
for _alias, _name in ALIASES.items():
    _hidden = _command(_name, RUNS[_name])
    _hidden.hidden = True
    cli.add_command(_hidden, _alias)


def _run_added(options: RunOptions) -> RunResult:
    """Measure the added latency, without a time limit; exit where a process fails."""
    try:
        options.out.mkdir(parents=True, exist_ok=True)  # fail now rather than after the run
    except OSError as error:
        raise click.BadParameter(str(error), param_hint="--out") from error
    try:
        result = added_latency.run(options)
    except (ProcessError, OSError) as error:
        click.echo(f"{ADDED}: {error}", err=True)
        sys.exit(EXIT_FAILURE)
    click.echo(f"{ADDED}: {result.path}")
    return result


@cli.command(ADDED, help=(added_latency.run.__doc__ or ADDED).partition("\n")[0])
@run_options
def added_command(*, seed: int, out: Path, quick: bool) -> None:
    """Measure the added latency; exits 0 even where a budget is violated."""
    _run_added(RunOptions(seed, out, quick))


@cli.command("all", help="All runs that feed the budgets, one after the other.")
@run_options
def all_command(*, seed: int, out: Path, quick: bool) -> None:
    """Do every run; exits 1 where an enforced budget is violated."""
    options = RunOptions(seed, out, quick)
    figures: dict[str, float] = {}
    for name, run in RUNS.items():
        report_progress(name, "begins")
        figures |= _run_within_limit(run, options).figures
    report_progress(ADDED, "begins")
    figures |= _run_added(options).figures
    sys.exit(_report_verdict(figures))


def _usage_error(error: click.UsageError) -> str:
    """Return one line on bad arguments."""
    if isinstance(error, click.exceptions.NoArgsIsHelpError):
        names = (name for name, command in sorted(cli.commands.items()) if not command.hidden)
        return f"a command is needed: {', '.join(names)}"
    return " ".join(error.format_message().split())


def _report_error(text: object, code: int) -> int:
    print(f"emulator: {text}", file=sys.stderr)
    return code


def main() -> int:
    """Run the command line; bad arguments are one line on standard error and 2."""
    # Exiting by an exception ends the processes that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    try:
        cli.main(standalone_mode=False)
    except click.UsageError as error:
        return _report_error(_usage_error(error), EXIT_USAGE)
    except click.Abort:
        return _report_error("interrupted", EXIT_INTERRUPTED)
    except (OSError, RuntimeError, psutil.Error) as error:
        return _report_error(error, EXIT_FAILURE)
    return 0
