"""The proxy can read the configuration files that the emulator writes."""

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
def config_path(tmp_path: Path) -> Path:
    return tmp_path / "n.json"


def load_config(config_path: Path) -> Config:
    """Load a configuration file as the proxy does."""
    return load({"RELAY_CONFIG": str(config_path)})


def test_proxy_loads_the_settings_and_endpoint_list_of_a_written_configuration(config_path: Path) -> None:
    snapshot = endpoint_snapshot(ALL_ENDPOINTS, [8001, 8002])
    ProxyConfig("n0", 1, 2, "7", snapshot, stub_proxy_settings(24, 3)).write(config_path)
    config = load_config(config_path)
    assert config.settings.fleet_size == 24
    assert config.settings.ordinal == 3
    assert config.class_indices == {"read": 0}
    entries = snapshot["endpoints"]
    assert len({entry["name"] for entry in entries}) == 910
    assert {entry["address"] for entry in entries} == {"127.0.0.1:8001", "127.0.0.1:8002"}


def test_proxy_loads_every_settings_change_and_reports_its_version_label(config_path: Path) -> None:
    config = ProxyConfig("n", 1, 2, "1", endpoint_snapshot(3, [9]), settings_after(0, 4, 3))
    for number in range(60):
        replace(config, version=f"change-{number}", settings=settings_after(number, 4, 3)).write(config_path)
        assert has_label(load_config(config_path).version(1), f"change-{number}")
    assert [file.name for file in config_path.parent.iterdir()] == ["n.json"]
