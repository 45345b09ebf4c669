"""Tests of the commands that start a proxy, from this source tree or by the deploy file of another tree."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import pytest

from testbed.deploy_file import (
    DEPLOY_FILE,
    DEPLOYED_PROGRAM,
    MissingDeployKeyError,
    UnreadableDeployFileError,
    deploy_text,
    read_deploy_file,
    run_command,
)
from testbed.paths import PROJECT_ROOT
from testbed.proxy_program import ProxyProgram, TreeNotBuiltError

if TYPE_CHECKING:
    from pathlib import Path

RUN = 'run = "exec .venv/bin/python -m former"\n'


def write_deploy_file(tree: Path, text: str) -> None:
    """Write the deploy file of a source tree."""
    path = tree / DEPLOY_FILE
    path.parent.mkdir()
    path.write_text(text, encoding="utf-8")


def test_tree_without_a_deploy_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(UnreadableDeployFileError, match=r"balancer\.toml can't be read"):
        ProxyProgram.of_tree(tmp_path)


def test_deploy_file_without_a_run_command_is_rejected(tmp_path: Path) -> None:
    write_deploy_file(tmp_path, 'run = ""\n')
    with pytest.raises(MissingDeployKeyError, match="has no run"):
        ProxyProgram.of_tree(tmp_path)


@pytest.mark.parametrize("run", [RUN, RUN.replace("exec", "trap '' HUP; exec")])
def test_tree_that_is_not_built_is_rejected_with_its_build_command(run: str, tmp_path: Path) -> None:
    write_deploy_file(tmp_path, 'build = "make venv"\n' + run)
    with pytest.raises(TreeNotBuiltError, match=r"has no \.venv/bin/python: build it .* by make venv"):
        ProxyProgram.of_tree(tmp_path)


def test_other_tree_is_started_by_its_own_deploy_file(tmp_path: Path) -> None:
    write_deploy_file(tmp_path, RUN)
    interpreter = tmp_path / ".venv" / "bin" / "python"
    interpreter.parent.mkdir(parents=True)
    interpreter.touch()
    assert ProxyProgram.of_tree(tmp_path).command == ("/bin/sh", "-c", "exec .venv/bin/python -m former")


def test_this_tree_is_started_by_the_interpreter_of_this_process() -> None:
    assert ProxyProgram.of_tree(PROJECT_ROOT).command == (sys.executable, "-m", "proxy")


def test_run_command_replaces_the_interpreter_and_the_module_of_the_deploy_file() -> None:
    run = deploy_text(read_deploy_file(PROJECT_ROOT), "run", PROJECT_ROOT)
    assert run.endswith(DEPLOYED_PROGRAM)
    assert run_command("soak.shim") == run.removesuffix(DEPLOYED_PROGRAM) + f"{sys.executable} -m soak.shim"
