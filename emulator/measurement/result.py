"""Writes the result file of a run: the measurements, and the seed, machine and versions behind them."""

from __future__ import annotations

import json
import os
import platform
import subprocess
from datetime import UTC, datetime
from importlib import metadata
from pathlib import Path
from typing import TYPE_CHECKING

from testbed.paths import PROJECT_ROOT

if TYPE_CHECKING:
    from emulator.measurement.json_values import JsonObject

DEFAULT_RESULTS_FOLDER = PROJECT_ROOT / "results"
GIT_TIMEOUT = 10  # seconds
CPU_INFO = Path("/proc/cpuinfo")
LIBRARIES = ("httptools", "orjson", "click", "hdrhistogram", "numpy", "psutil")


def describe_machine() -> JsonObject:
    """Describe this machine: number and model of its processors, Python and kernel."""
    return {
        "cpus": os.cpu_count(),
        "model": _processor_model(),
        "python": platform.python_version(),
        "implementation": platform.python_implementation(),
        "kernel": platform.release(),
    }


def _processor_model() -> str:
    try:
        lines = CPU_INFO.read_text(encoding="utf-8").splitlines()
        names = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    except OSError:
        names = []
    return names[0] if names else platform.machine()


def collect_versions() -> dict[str, str]:
    """Return the commit of this tree (see `tree_commit`) and the versions of the libraries."""
    versions = {"commit": tree_commit()}
    for name in LIBRARIES:
        try:
            versions[name] = metadata.version(name)
        except metadata.PackageNotFoundError:
            versions[name] = "none"
    return versions


def _run_git(root: Path, *arguments: str) -> str:
    completed = subprocess.run(
        ["git", *arguments], cwd=root, capture_output=True, text=True, timeout=GIT_TIMEOUT, check=True
    )
    return completed.stdout.strip()


def tree_commit(root: Path = PROJECT_ROOT) -> str:
    """Return the checked-out commit of a tree, followed by "+" if tracked files have uncommitted changes.

    Returns:
        "unknown" if `root` is not the top folder of a Git working tree.
    """
    try:
        if _run_git(root, "rev-parse", "--show-prefix"):
            return "unknown"
        changed_files = _run_git(
            root, "status", "--porcelain", "--untracked-files=no", "--", ".", ":!results"
        )
        return _run_git(root, "rev-parse", "HEAD") + ("+" if changed_files else "")
    except (OSError, subprocess.SubprocessError):
        return "unknown"


def write_result(name: str, seed: int, body: JsonObject, out: Path) -> Path:
    """Write the file `out`/`name`.json and return its path.

    Args:
        name: Name of the result (`RunOptions.result_name`).
        seed: Seed of the run.
        body: The measurements. The key `figures`, if present, maps the figure names of the budgets
            (`emulator.measurement.budgets`) to measured values.
        out: The folder; it is created if it does not exist.

    Raises:
        OSError: The file can't be written.
    """
    out.mkdir(parents=True, exist_ok=True)
    path = out / f"{name}.json"
    result = {
        "run": name,
        "seed": seed,
        "written": datetime.now(UTC).isoformat(timespec="seconds"),
        "machine": describe_machine(),
        "versions": collect_versions(),
        **body,
    }
    path.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    return path
