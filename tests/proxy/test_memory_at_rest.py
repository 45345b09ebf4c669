"""Tests of the memory that a process uses itself, which is not available for its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from testbed.process_memory import mapped_files
from tests.support.client_burst import limited_proxy
from tests.support.loopback import in_event_loop, respond_ok

if TYPE_CHECKING:
    from pathlib import Path


@in_event_loop
async def test_process_does_not_load_openssl(config_path: Path) -> None:
    async with limited_proxy(config_path, respond_ok) as proxy:
        files = mapped_files(proxy.process.pid)
        assert any("httptools" in file for file in files)
        assert not any("libssl" in file or "libcrypto" in file for file in files)
