"""A run's result: what was measured, with the seed, machine and versions it was measured with, as JSON."""

from __future__ import annotations

import json
import os
import platform
import subprocess
from datetime import UTC, datetime
from importlib import metadata
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "results"  # where results go unless told otherwise
LIBRARIES = ("httptools", "orjson", "click", "hdrhistogram", "numpy", "psutil")


def machine() -> dict[str, Any]:
    """Processors (count, model), Python and kernel of this machine."""
    return {
        "cpus": os.cpu_count(),
        "model": _processor(),
        "python": platform.python_version(),
        "implementation": platform.python_implementation(),
        "kernel": platform.release(),
    }


def _processor() -> str:
    try:
        with open("/proc/cpuinfo", encoding="utf-8") as file:
            names = [line.partition(":")[2].strip() for line in file if line.startswith("model name")]
    except OSError:
        names = []
    return names[0] if names else platform.machine()


def versions() -> dict[str, str]:
    """The commit of this tree ("+" behind it: with changes beside it) and the libraries' versions."""
    found = {"commit": commit()}
    for name in LIBRARIES:
        try:
            found[name] = metadata.version(name)
        except metadata.PackageNotFoundError:
            found[name] = "none"
    return found


def _git(root: Path, *words: str) -> str:
    done = subprocess.run(["git", *words], cwd=root, capture_output=True, text=True, timeout=10, check=True)
    return done.stdout.strip()


def commit(root: Path = ROOT) -> str:
    """The commit of a tree, "+" behind it where there are changes beside it; "unknown" without a history.

    A folder within a tree has none of its own.
    """
    try:
        if _git(root, "rev-parse", "--show-prefix"):
            return "unknown"
        changed = _git(root, "status", "--porcelain", "--untracked-files=no", "--", ".", ":!results")
        return _git(root, "rev-parse", "HEAD") + ("+" if changed else "")
    except (OSError, subprocess.SubprocessError):
        return "unknown"


def write_result(name: str, seed: int, body: dict[str, Any], out: Path) -> Path:
    """Write `out`/`name`.json and return its path; OSError where that can't be written.

    `body` holds what the run measured: plain values, lists and dicts. Its key `figures`, if any, maps the
    names of budgets (emulator/budgets.py) to the figures measured.
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
