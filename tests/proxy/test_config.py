"""The configuration file: the version of a valid file, and the error line for an invalid file."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING

import pytest

from proxy.config import ConfigError
from proxy.config_file import load
from proxy.process import run
from tests.support.config_files import (
    INVALID_FILES,
    READ_CLASS,
    config_with,
    config_with_settings,
    raw_config,
)
from tests.support.proxy_inputs import HOST, endpoint_entry

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path


@pytest.mark.parametrize("content", INVALID_FILES.values(), ids=INVALID_FILES)
def test_proxy_with_an_invalid_file_exits_with_one_line(
    config_path: Path, content: bytes, log_lines: Callable[[], list[str]]
) -> None:
    config_path.write_bytes(content)
    with pytest.raises(ConfigError):
        load(os.environ)
    assert run() == 2
    [line] = log_lines()
    assert line.startswith(f"proxy: {config_path}: " if "is not an address" not in line else "proxy: ")


@pytest.mark.parametrize(
    ("content", "problem"),
    [
        (b"[]", "the file: [] is not an object"),
        (config_with(settings=None), "settings is missing"),
        (config_with(limits={}), "limits.sockets is missing"),
        (config_with(limits={"sockets": "many"}), "limits.sockets: 'many' is not a number from 1 to 1e+09"),
        (config_with(seed="xyz"), "seed: 'xyz' is not a text of hexadecimal digits"),
        (config_with(discovery="nowhere"), "discovery: 'nowhere' is not an address of the form host:port"),
        (config_with_settings(Services=[7]), "Services[0]: 7 is not an object"),
        (config_with_settings(Zones=["a", "a"]), "Zones: ['a', 'a'] is not a list of different names"),
        (
            config_with_settings(Services=[READ_CLASS | {"AllowedIn": [2]}]),
            "Services[0].AllowedIn: [2] is not a list of positions in Zones",
        ),
        (
            config_with_settings(RegistryMode="asked"),
            "RegistryMode: 'asked' is not one of pushed, on_request",
        ),
    ],
)
def test_error_states_the_key_the_value_and_the_expected_values(
    config_path: Path, content: bytes, problem: str
) -> None:
    config_path.write_bytes(content)
    with pytest.raises(ConfigError) as caught:
        load(os.environ)
    assert str(caught.value) == f"{config_path}: {problem}"


def test_error_in_an_environment_variable_states_its_name(
    config_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    config_path.write_bytes(config_with())
    monkeypatch.setenv("RELAY_LISTEN", "nowhere")
    with pytest.raises(ConfigError, match="RELAY_LISTEN: 'nowhere' is not an address"):
        load(os.environ)


def test_proxy_with_an_invalid_cached_list_exits_with_one_line(
    config_path: Path, log_lines: Callable[[], list[str]]
) -> None:
    entry = endpoint_entry("a", f"{HOST}:1", status="asleep")
    config_path.write_bytes(config_with(known={"index": 7, "endpoints": [entry]}))
    assert run() == 2
    [line] = log_lines()
    assert line.startswith("proxy: the known list can't be read: endpoints[0].status: 'asleep' is not one of")


def test_digest_depends_only_on_the_settings_and_not_on_their_order(config_path: Path) -> None:
    reversed_file = json.dumps(dict(reversed(raw_config().items()))).encode()
    versions = set()
    for content in (config_with(), config_with(known=None, discovery=f"{HOST}:10"), reversed_file):
        config_path.write_bytes(content)
        versions.add(load(os.environ).version(1))
    assert len(versions) == 1
    assert versions.pop().startswith("1-")
    config_path.write_bytes(config_with_settings(Instances=2))
    other = load(os.environ)
    config_path.write_bytes(config_with(version="2026-12-02T03:00+01:00"))
    labelled = load(os.environ)
    assert labelled.settings_digest != other.settings_digest
    assert labelled.version(5) == f"2026-12-02T03:00+01:00-{labelled.settings_digest}"
