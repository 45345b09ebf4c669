"""Results carry what they were measured with."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from emulator.measurement.result import tree_commit, write_result
from testbed.paths import PROJECT_ROOT

if TYPE_CHECKING:
    from pathlib import Path


def test_a_result_names_its_seed_machine_and_versions(tmp_path: Path) -> None:
    path = write_result("trial", 7, {"points": [[1, 2.0]]}, tmp_path / "deep" / "out")
    read = json.loads(path.read_text())
    assert path.name == "trial.json"
    assert (read["run"], read["seed"], read["points"]) == ("trial", 7, [[1, 2.0]])
    assert read["machine"]["cpus"] >= 1
    assert {"cpus", "model", "python"} <= read["machine"].keys()
    assert {"commit", "numpy", "orjson"} <= read["versions"].keys()


def test_a_tree_without_a_history_of_its_own_has_no_commit(tmp_path: Path) -> None:
    assert tree_commit(tmp_path) == "unknown"
    assert tree_commit(PROJECT_ROOT / "tests") == "unknown"  # not that of the tree around it
