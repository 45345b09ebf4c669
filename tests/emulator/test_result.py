"""Result files contain the seed, machine and versions of the run."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from emulator.measurement.result import tree_commit, write_result
from testbed.paths import PROJECT_ROOT

if TYPE_CHECKING:
    from pathlib import Path


def test_result_file_contains_the_seed_machine_and_versions(tmp_path: Path) -> None:
    path = write_result("trial", 7, {"points": [[1, 2.0]]}, tmp_path / "deep" / "out")
    result = json.loads(path.read_text())
    assert path.name == "trial.json"
    assert (result["run"], result["seed"], result["points"]) == ("trial", 7, [[1, 2.0]])
    assert result["machine"]["cpus"] >= 1
    assert {"cpus", "model", "python"} <= result["machine"].keys()
    assert {"commit", "numpy", "orjson"} <= result["versions"].keys()


def test_folder_that_is_not_the_root_of_a_working_tree_has_no_commit(tmp_path: Path) -> None:
    assert tree_commit(tmp_path) == "unknown"
    assert tree_commit(PROJECT_ROOT / "tests") == "unknown"  # not the commit of the surrounding tree
