"""Fixtures that several test modules use."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest


@pytest.fixture
def config_path(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return the path that a proxy in this process reads its configuration from; there is no file yet."""
    for name in ("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"):
        monkeypatch.delenv(name, raising=False)
    path = tmp_path / "c.json"
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    return path


@pytest.fixture
def log_lines(capfd: pytest.CaptureFixture[str]) -> Callable[[], list[str]]:
    """Return a function that returns the lines which were logged since its last call."""
    return lambda: capfd.readouterr().err.splitlines()
