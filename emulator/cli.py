"""The command line of the emulator: its runs, their options, output and exit codes.

Each run is in a module of `emulator.runs`. The limits of the measured figures are in
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

TIME_LIMIT, QUICK_TIME_LIMIT = 300, 60  # seconds for one run
RUNS: dict[str, Run] = {
    "slopes": slopes.run,
    simulated_cost.NAME: simulated_cost.run,
    "fleet": fleet.run,
    settings_reload.NAME: settings_reload.run,
}
#: Deprecated names of runs; the help does not list them.
ALIASES = {"hollow": simulated_cost.NAME}
RUNS_WITH_PROGRAM_OPTION = (settings_reload.NAME,)  # runs that can measure the proxy of another source tree

EXIT_FAILURE, EXIT_USAGE, EXIT_INTERRUPTED, EXIT_TERMINATED = 1, 2, 130, 143


def run_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that every run has."""
    for option in (
        click.option("--quick", is_flag=True, help="Run a shorter version with fewer measurements."),
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
            help="Seed of the random generators.",
        ),
    ):
        command = option(command)
    return command


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Measure on one machine how the cost of proxies grows with the size of the fleet."""


def _report_verdict(figures: dict[str, float]) -> int:
    """Check the figures against the budgets, print the verdict, and return the exit code."""
    verdict = check_budgets(figures)
    print(verdict.line(), flush=True)
    return EXIT_FAILURE if verdict.violated else 0


def _run_within_limit(run: Run, options: RunOptions) -> RunResult:
    with time_limit(QUICK_TIME_LIMIT if options.quick else TIME_LIMIT):
        return run(options)


def _command(name: str, run: Run) -> click.Command:
    """Build the command of a run with a time limit and figures that are checked against the budgets."""

    @click.command(name, help=(run.__doc__ or name).partition("\n")[0])
    @run_options
    def command(*, seed: int, out: Path, quick: bool, program: Path = PROJECT_ROOT) -> None:
        """Do the run; exits with 1 if an enforced budget is violated."""
        result = _run_within_limit(run, RunOptions(seed, out, quick, program))
        report_progress(name, f"result in {result.path}")
        sys.exit(_report_verdict(result.figures))

    if name in RUNS_WITH_PROGRAM_OPTION:
        click.option(
            "--program",
            default=PROJECT_ROOT,
            help="Source tree of the proxy to measure, run by its deploy/balancer.toml (default: this tree).",
            type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
        )(command)
    return command


for _name, _run in RUNS.items():
    cli.add_command(_command(_name, _run))
for _alias, _name in ALIASES.items():
    _alias_command = _command(_name, RUNS[_name])
    _alias_command.hidden = True
    cli.add_command(_alias_command, _alias)


def _run_added_latency(options: RunOptions) -> RunResult:
    """Measure the added latency without a time limit; exits if a process fails."""
    try:
        options.out.mkdir(parents=True, exist_ok=True)  # fail before the run, not after it
    except OSError as error:
        raise click.BadParameter(str(error), param_hint="--out") from error
    try:
        result = added_latency.run(options)
    except (ProcessError, OSError) as error:
        click.echo(f"{added_latency.NAME}: {error}", err=True)
        sys.exit(EXIT_FAILURE)
    click.echo(f"{added_latency.NAME}: {result.path}")
    return result


@cli.command(added_latency.NAME, help=(added_latency.run.__doc__ or added_latency.NAME).partition("\n")[0])
@run_options
def added_command(*, seed: int, out: Path, quick: bool) -> None:
    """Measure the added latency; exits with 0 even if a budget is violated."""
    _run_added_latency(RunOptions(seed, out, quick))


@cli.command("all", help="Do all runs one after another, and check the figures against the budgets.")
@run_options
def all_command(*, seed: int, out: Path, quick: bool) -> None:
    """Do all runs; exits with 1 if an enforced budget is violated."""
    options = RunOptions(seed, out, quick)
    figures: dict[str, float] = {}
    for name, run in RUNS.items():
        report_progress(name, "started")
        figures |= _run_within_limit(run, options).figures
    report_progress(added_latency.NAME, "started")
    figures |= _run_added_latency(options).figures
    sys.exit(_report_verdict(figures))


def _usage_error(error: click.UsageError) -> str:
    """Describe invalid arguments in one line."""
    if isinstance(error, click.exceptions.NoArgsIsHelpError):
        names = (name for name, command in sorted(cli.commands.items()) if not command.hidden)
        return f"a command is required: {', '.join(names)}"
    return " ".join(error.format_message().split())


def _report_error(message: object, exit_code: int) -> int:
    print(f"emulator: {message}", file=sys.stderr)
    return exit_code


def main() -> int:
    """Run the command line and return the exit code; invalid arguments print one line to standard error."""
    # The exception SystemExit unwinds the context managers that end the started processes.
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
