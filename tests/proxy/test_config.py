"""The configuration file: the version of a good one, and the one plain line that reports a bad one."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING

import pytest

from proxy.config import ConfigError, load
from proxy.process import run
from tests.support.config_files import BAD_FILES, file_with, file_with_settings, raw_config
from tests.support.proxy_inputs import HOST

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path


@pytest.mark.parametrize("content", BAD_FILES.values(), ids=BAD_FILES)
def test_proxy_does_not_start_from_a_bad_file(
    config_path: Path, content: bytes, log_lines: Callable[[], list[str]]
) -> None:
    config_path.write_bytes(content)
    with pytest.raises(ConfigError):
        load(os.environ)
    assert run() == 2
    [line] = log_lines()
    assert line.startswith(f"proxy: {config_path}: " if "is not an address" not in line else "proxy: ")


def test_digest_goes_by_the_settings_alone_and_not_by_the_order_of_the_file(config_path: Path) -> None:
    reversed_file = json.dumps(dict(reversed(raw_config().items()))).encode()
    versions = set()
    for content in (file_with(), file_with(known=None, discovery=f"{HOST}:10"), reversed_file):
        config_path.write_bytes(content)
        versions.add(load(os.environ).version(1))
    assert len(versions) == 1
    assert versions.pop().startswith("1-")
    config_path.write_bytes(file_with_settings(Instances=2))
    other = load(os.environ)
    config_path.write_bytes(file_with(version="2026-12-02T03:00+01:00"))
    labelled = load(os.environ)
    assert labelled.digest != other.digest
    assert labelled.version(5) == f"2026-12-02T03:00+01:00-{labelled.digest}"
