"""The command line of the soak test: `python -m soak`.

The exit code is 0 if no rule was violated, 1 if a rule was violated, and 2 for invalid arguments.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from soak.run import RunOptions, RunReport, run
from soak.scenarios import SCENARIOS
from soak.violations import Rule
from testbed.meter import MB

MAX_PRINTED_VIOLATIONS = 20  # for each run

SCENARIO_HELP = "\b\n" + "\n".join(f"{name}: {SCENARIOS[name].help}" for name in sorted(SCENARIOS))


@click.command(context_settings={"help_option_names": ["-h", "--help"]}, epilog=SCENARIO_HELP)
@click.argument("names", nargs=-1, type=click.Choice(sorted(SCENARIOS)), metavar="[SCENARIO]...")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=click.IntRange(1, 1000), default=1, show_default=True, help="How many.")
@click.option("--seconds", type=click.FloatRange(1.0, 600.0), default=12.0, show_default=True)
@click.option("--proxies", type=click.IntRange(2, 60), default=24, show_default=True)
@click.option(
    "--known",
    multiple=True,
    type=click.Choice([str(rule) for rule in Rule]),
    help="A rule with a known fault, listed in KNOWN-RED.txt: its violations are printed and do not count.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the proxies' files and event logs.",
)
def command(
    names: tuple[str, ...],
    *,
    seed: int,
    seeds: int,
    seconds: float,
    proxies: int,
    known: tuple[str, ...],
    keep: Path | None,
) -> None:
    """Run scenarios with real processes and check every request. The default is all scenarios.

    Nothing else should run on the machine at the same time.
    """
    failed_runs = 0
    for name in names or sorted(SCENARIOS):
        for number in range(seed, seed + seeds):
            folder = keep / f"{name}-{number}" if keep is not None else None
            report = asyncio.run(run(SCENARIOS[name], RunOptions(number, seconds, proxies, folder)))
            print_report(f"{name} {number}", report)
            failed_runs += any(violation.rule not in known for violation in report.violations)
    click.echo(f"{failed_runs} runs violated a rule")
    sys.exit(1 if failed_runs else 0)


def print_report(title: str, report: RunReport) -> None:
    """Print the results of a run."""
    outcomes = ", ".join(f"{outcome}: {count}" for outcome, count in sorted(report.outcomes.items()))
    faults = ", ".join(f"{kind} {count}" for kind, count in sorted(report.faults.items()))
    click.echo(f"{title}: {len(report.violations)} violations; {outcomes}")
    click.echo(f"  faults: {faults}")
    memory = f"{report.max_resident / MB:.0f} MB"
    click.echo(f"  own scheduling delay at most {report.max_scheduling_delay:.3f} s, memory {memory}")
    for violation in report.violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"  {violation.at:.3f} {violation.rule}: {violation.detail}")
