"""Tests of the endpoint list of a registry: deltas and snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from testbed.discovery.registry_state import RegistryState
from tests.support.small_fleet import FLEET, changed_backend

if TYPE_CHECKING:
    import pytest


def test_watch_receives_a_snapshot_if_the_log_lacks_changes_after_its_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("testbed.discovery.registry_state.MAX_LOG_ENTRIES", 3)
    state = RegistryState(FLEET.entries)
    for index in range(2, 8):
        state.change(index, [changed_backend(index)])
    are_snapshots = [state.since(index, None).is_snapshot for index in (3, 4, 7, 8)]
    assert are_snapshots == [True, False, False, True]
    assert len(orjson.loads(state.since(4, None).line)["endpoints"]) == 3
