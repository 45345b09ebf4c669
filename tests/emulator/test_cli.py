"""The command line: exit code and message for invalid arguments, and the deprecated name of a run."""

from __future__ import annotations

import subprocess
import sys

import pytest
from click.testing import CliRunner

from emulator.cli import added_command, cli
from testbed.paths import PROJECT_ROOT


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["odd"],
        ["slopes", "--seed", "x"],
        ["fleet", "--odd"],
        ["simulated-cost", "--out", __file__],
        ["hollow", "--out", __file__],  # deprecated name of simulated-cost
        ["settings", "--program", __file__],
        ["slopes", "--program", "."],
    ],
)
def test_invalid_arguments_print_one_line_and_exit_with_2(arguments: list[str]) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "emulator", *arguments],
        cwd=PROJECT_ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 2
    assert result.stdout == ""
    assert result.stderr.count("\n") == 1
    assert result.stderr.startswith("emulator: ")


@pytest.mark.parametrize(
    "arguments", [["--seed", "x"], ["--seed", "-1"], ["--nothing"], ["--out", "/dev/null"]]
)
def test_invalid_arguments_of_added_exit_with_2(arguments: list[str]) -> None:
    assert CliRunner().invoke(added_command, arguments).exit_code == 2


def test_deprecated_name_of_a_run_is_accepted_but_hidden_in_the_help() -> None:
    help_text = CliRunner().invoke(cli, ["--help"]).output
    assert "simulated-cost" in help_text
    assert "hollow" not in help_text
    assert CliRunner().invoke(cli, ["hollow", "--help"]).exit_code == 0
