"""Fixtures of the proxy's tests."""

from __future__ import annotations

import logging

import pytest

from proxy.log import configure_logging


@pytest.fixture(autouse=True)
def logging_of_a_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Log in this process as a proxy's process does, until the test ends."""
    monkeypatch.setattr(logging.root, "handlers", [])  # the test runner's own stay open, and come back
    configure_logging()
