"""A run's result file: what was measured, with the seed, machine and versions it was measured with.

What a run measures, and its own part of the file, is in the run's modules.
"""

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

RESULTS = PROJECT_ROOT / "results"  # where results go by default
GIT_TIMEOUT = 10  # seconds
CPU_INFO = Path("/proc/cpuinfo")
LIBRARIES = ("httptools", "orjson", "click", "hdrhistogram", "numpy", "psutil")


def machine() -> JsonObject:
    """Describe this machine: its processors (count, model), Python and kernel."""
    return {
        "cpus": os.cpu_count(),
        "model": _processor(),
        "python": platform.python_version(),
        "implementation": platform.python_implementation(),
        "kernel": platform.release(),
    }


def _processor() -> str:
    try:
        lines = CPU_INFO.read_text(encoding="utf-8").splitlines()
        names = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    except OSError:
        names = []
    return names[0] if names else platform.machine()


def versions() -> dict[str, str]:
    """Return the commit of this tree, as `commit` has it, and the versions of the libraries."""
    found = {"commit": commit()}
    for name in LIBRARIES:
        try:
            found[name] = metadata.version(name)
        except metadata.PackageNotFoundError:
            found[name] = "none"
    return found


def _git(root: Path, *arguments: str) -> str:
    completed = subprocess.run(
        ["git", *arguments], cwd=root, capture_output=True, text=True, timeout=GIT_TIMEOUT, check=True
    )
    return completed.stdout.strip()


def commit(root: Path = PROJECT_ROOT) -> str:
    """Return the commit of a tree, followed by "+" where tracked files have uncommitted changes.

    It is "unknown" where there is no history; a folder within a tree has none of its own.
    """
    try:
        if _git(root, "rev-parse", "--show-prefix"):
            return "unknown"
        changed = _git(root, "status", "--porcelain", "--untracked-files=no", "--", ".", ":!results")
        return _git(root, "rev-parse", "HEAD") + ("+" if changed else "")
    except (OSError, subprocess.SubprocessError):
        return "unknown"


def write_result(name: str, seed: int, body: JsonObject, out: Path) -> Path:
    """Write `out`/`name`.json and return its path.

    Args:
        name: The run's name, as `RunOptions.result_name` has it.
        seed: The run's seed.
        body: What the run measured: plain values, lists and dicts. Its key `figures`, if any, maps the names
            of budgets (`emulator.measurement.budgets`) to the figures measured.
        out: The folder, which is created where it is missing.

    Raises:
        OSError: The file can't be written.
    """
    out.mkdir(parents=True, exist_ok=True)
    path = out / f"{name}.json"
    result = {
        "run": name,
        "seed": seed,
        "written": datetime.now(UTC).isoformat(timespec="seconds"),
        "machine": machine(),
        "versions": versions(),
        **body,
    }
    path.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    return path
