"""The command line: bad arguments end it with 2."""

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
        ["hollow", "--out", __file__],  # the former name
        ["settings", "--program", __file__],
        ["slopes", "--program", "."],
    ],
)
def test_bad_arguments_are_one_line_and_2(arguments: list[str]) -> None:
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
def test_bad_arguments_of_added_exit_with_2(arguments: list[str]) -> None:
    assert CliRunner().invoke(added_command, arguments).exit_code == 2


def test_the_former_name_of_a_run_is_accepted_and_not_shown() -> None:
    shown = CliRunner().invoke(cli, ["--help"]).output
    assert "simulated-cost" in shown
    assert "hollow" not in shown
    assert CliRunner().invoke(cli, ["hollow", "--help"]).exit_code == 0
