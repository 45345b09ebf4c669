"""The proxy can read every configuration that the emulator writes for it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from emulator.fleet.stub_fleet import endpoint_snapshot, stub_proxy_settings
from emulator.runs.latency_scenarios import ALL_ENDPOINTS
from emulator.runs.settings_changes import settings_after
from proxy.config_file import load
from testbed.health_check import has_label
from testbed.proxy_config import ProxyConfig

if TYPE_CHECKING:
    from pathlib import Path

    from proxy.config import Config


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "n.json"


def read_back(path: Path) -> Config:
    return load({"RELAY_CONFIG": str(path)})


def test_a_proxy_can_read_its_configuration(path: Path) -> None:
    snapshot = endpoint_snapshot(ALL_ENDPOINTS, [8001, 8002])
    ProxyConfig("n0", 1, 2, "7", snapshot, stub_proxy_settings(24, 3)).write(path)
    config = read_back(path)
    assert config.settings.fleet_size == 24
    assert config.settings.ordinal == 3
    assert config.class_indices == {"read": 0}
    rows = snapshot["endpoints"]
    assert len({row["name"] for row in rows}) == 910
    assert {row["address"] for row in rows} == {"127.0.0.1:8001", "127.0.0.1:8002"}


def test_the_proxy_takes_every_file_and_names_its_label(path: Path) -> None:
    config = ProxyConfig("n", 1, 2, "1", endpoint_snapshot(3, [9]), settings_after(0, 4, 3))
    for number in range(60):
        replace(config, version=f"change-{number}", settings=settings_after(number, 4, 3)).write(path)
        assert has_label(read_back(path).version(1), f"change-{number}")
    assert [each.name for each in path.parent.iterdir()] == ["n.json"]
