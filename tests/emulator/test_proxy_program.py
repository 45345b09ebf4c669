"""The program of a proxy: another tree is run by its own deploy file."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import pytest

from testbed.paths import PROJECT_ROOT
from testbed.proxy_program import DEPLOY_FILE, ProgramError, ProxyProgram

if TYPE_CHECKING:
    from pathlib import Path

RUN = 'run = "exec .venv/bin/python -m former"\n'


def write_deploy_file(tree: Path, text: str) -> None:
    """Give a tree a deploy file."""
    path = tree / DEPLOY_FILE
    path.parent.mkdir()
    path.write_text(text, encoding="utf-8")


def test_a_tree_needs_a_deploy_file(tmp_path: Path) -> None:
    with pytest.raises(ProgramError, match=r"balancer\.toml can't be read"):
        ProxyProgram.of_tree(tmp_path)


def test_a_deploy_file_needs_a_run(tmp_path: Path) -> None:
    write_deploy_file(tmp_path, 'run = ""\n')
    with pytest.raises(ProgramError, match="has no run"):
        ProxyProgram.of_tree(tmp_path)


@pytest.mark.parametrize("run", [RUN, RUN.replace("exec", "trap '' HUP; exec")])
def test_a_tree_that_is_not_built_is_refused_by_the_name_of_its_build(run: str, tmp_path: Path) -> None:
    write_deploy_file(tmp_path, 'build = "make venv"\n' + run)
    with pytest.raises(ProgramError, match=r"has no \.venv/bin/python: build it .* by make venv"):
        ProxyProgram.of_tree(tmp_path)


def test_another_tree_is_run_by_its_own_deploy_file(tmp_path: Path) -> None:
    write_deploy_file(tmp_path, RUN)
    interpreter = tmp_path / ".venv" / "bin" / "python"
    interpreter.parent.mkdir(parents=True)
    interpreter.touch()
    assert ProxyProgram.of_tree(tmp_path).command == ("/bin/sh", "-c", "exec .venv/bin/python -m former")


def test_this_tree_is_run_by_the_present_interpreter() -> None:
    assert ProxyProgram.of_tree(PROJECT_ROOT).command == (sys.executable, "-m", "proxy")
