"""Another tree speaks for itself: how its proxy is run, and which commit it has."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from emulator.proxy_program import DEPLOY_FILE, ProgramError, ProxyProgram
from emulator.result import ROOT, commit

DEPLOY = 'build = "make venv"\nrun = "exec .venv/bin/python -m former"\n'


def test_another_tree_is_run_by_its_own_deploy_file_and_has_no_commit_but_its_own(tmp_path: Path) -> None:
    assert commit(tmp_path) == "unknown"
    assert commit(ROOT / "tests") == "unknown"  # not that of the tree around it

    deploy = tmp_path / DEPLOY_FILE
    with pytest.raises(ProgramError, match=r"balancer\.toml can't be read"):
        ProxyProgram.of_tree(tmp_path)
    deploy.parent.mkdir()
    deploy.write_text('run = ""\n', encoding="utf-8")
    with pytest.raises(ProgramError, match="has no run"):
        ProxyProgram.of_tree(tmp_path)
    deploy.write_text(DEPLOY, encoding="utf-8")
    with pytest.raises(ProgramError, match=r"has no \.venv/bin/python: build it .* by make venv"):
        ProxyProgram.of_tree(tmp_path)
    interpreter = tmp_path / ".venv" / "bin" / "python"
    interpreter.parent.mkdir(parents=True)
    interpreter.touch()
    assert ProxyProgram.of_tree(tmp_path).command == ("/bin/sh", "-c", "exec .venv/bin/python -m former")
    assert ProxyProgram.of_tree(ROOT).command == (sys.executable, "-m", "proxy")
