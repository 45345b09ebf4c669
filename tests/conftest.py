"""Fixtures for several test modules, and the handling of tests that are known to fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.support import known_red

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

KNOWN_RED = known_red.load()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the known failures as expected failures.

    A run of all tests also checks that each entry of the list names a test.
    """
    for item in items:
        for entry in KNOWN_RED:
            if entry.names(item.nodeid):
                item.add_marker(pytest.mark.xfail(strict=True, reason=f"{entry.seen} ({entry.issue})"))
    is_complete_run = config.args == config.getini("testpaths")
    missing = known_red.unmatched(KNOWN_RED, [item.nodeid for item in items]) if is_complete_run else []
    if missing:
        names = ", ".join(entry.test for entry in missing)
        message = f"KNOWN-RED.txt names no test: {names}"
        raise pytest.UsageError(message)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures."""
    for entry in KNOWN_RED:
        terminalreporter.write_line(f"KNOWN RED: {entry.test}: {entry.seen} ({entry.issue}); {entry.command}")


@pytest.fixture
def config_path(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return the path of the configuration file for a proxy in this process; the file does not exist yet."""
    for name in ("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"):
        monkeypatch.delenv(name, raising=False)
    path = tmp_path / "c.json"
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    return path


@pytest.fixture
def log_lines(capfd: pytest.CaptureFixture[str]) -> Callable[[], list[str]]:
    """Return a function that returns the lines logged to standard error since its last call."""
    return lambda: capfd.readouterr().err.splitlines()
