"""Fixtures of the proxy's tests."""

from __future__ import annotations

import logging

import pytest

from proxy.log import configure_logging


@pytest.fixture(autouse=True)
def process_logging(monkeypatch: pytest.MonkeyPatch) -> None:
    """Configure logging as a proxy's process does, until the test ends."""
    monkeypatch.setattr(logging.root, "handlers", [])  # pytest's handlers are restored afterwards
    configure_logging()
