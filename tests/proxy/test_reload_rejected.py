"""Reloads that are rejected or only partly applied, and a reload while the log is not read."""

from __future__ import annotations

import asyncio
import os
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

import pytest

from tests.support.config_files import INVALID_FILES, config_with_settings
from tests.support.loopback import (
    in_event_loop,
    respond_ok,
)
from tests.support.proxy_inputs import (
    HOST,
    MAX_WAIT,
    get_request,
    status_of,
)
from tests.support.reloadable_proxy import (
    reloadable_proxy_with_backend,
)

if TYPE_CHECKING:
    from pathlib import Path

MAX_LOG_LINE = 600  # characters

LogLines = Callable[[], list[str]]


@in_event_loop
async def test_reload_does_not_change_fields_that_require_a_restart(
    config_path: Path, log_lines: LogLines
) -> None:
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, _backend):
        changed_fields = {
            "name": "n1",
            "listen": f"{HOST}:1",
            "seed": "2",
            "limits": {"sockets": 1, "memory_mb": 1},
            "known": {"index": 9, "endpoints": []},
        }
        proxy.reload(changed_fields)
        logged_fields = [line.split()[2] for line in log_lines()]
        assert logged_fields == ["name", "listen", "seed", "sockets", "memory", "known"]
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        assert proxy.listener.config.name == "n0"
        assert proxy.listener.config.max_sockets == 1024
        proxy.reload(changed_fields, Instances=2)  # the settings in the same file are applied
        assert "in force" in log_lines()[-1]


#: Files with which a proxy can start, but whose settings a running proxy can't apply without a restart.
RESTART_FILES: dict[str, bytes] = {
    "another tier": config_with_settings(Tier=1, Tiers=["one", "two"]),
    "another discovery mode": config_with_settings(RegistryMode="on_request"),
}


def replace_file(path: Path, content: bytes | None) -> None:
    """Replace the content of a file; None removes the file."""
    if content is None:
        path.unlink()
    else:
        path.write_bytes(content)


@pytest.mark.parametrize(
    "content",
    [*INVALID_FILES.values(), *RESTART_FILES.values(), None],
    ids=[*INVALID_FILES, *RESTART_FILES, "no file"],
)
@in_event_loop
async def test_invalid_file_changes_nothing_and_is_reported_in_one_line(
    config_path: Path, content: bytes | None, log_lines: LogLines
) -> None:
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, _backend):
        proxy.reload(Instances=3)
        version = proxy.listener.version
        assert len(log_lines()) == 1
        config_before = proxy.listener.config
        settings_before = proxy.balancer.settings
        replace_file(config_path, content)
        proxy.reload_file()
        [line] = log_lines()
        assert line.startswith(f"proxy: reload: refused, version {version} stays: ")
        assert "Traceback" not in line
        assert len(line) < MAX_LOG_LINE
        assert line.isprintable()
        assert proxy.listener.config is config_before
        assert proxy.balancer.settings is settings_before
        client = await proxy.connect()
        assert status_of(await client.request(get_request(1))) == 200
        proxy.reload()
        assert "in force" in log_lines()[0]


@contextmanager
def full_pipe() -> Iterator[tuple[int, int]]:
    """Open a full pipe and yield its read and write ends; a write blocks until the pipe is read.

    The caller must close the write end.
    """
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with suppress(BlockingIOError):
        while True:
            os.write(write_end, bytes(4096))
    os.set_blocking(write_end, True)
    try:
        yield read_end, write_end
    finally:
        os.close(read_end)


@in_event_loop
async def test_reload_does_not_block_while_the_log_is_not_read(
    config_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = asyncio.get_running_loop()
    async with reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, _backend):
        with full_pipe() as (read_end, write_end):
            with os.fdopen(write_end, "w") as log:
                monkeypatch.setattr(sys, "stderr", log)
                proxy.file.write(Instances=2)
                reload_done = threading.Event()
                # Reads the pipe after `MAX_WAIT` at the latest, so that a blocked reload can continue.
                reader = threading.Thread(
                    target=lambda: reload_done.wait(MAX_WAIT) or os.read(read_end, 1 << 20)
                )
                reader.start()
                began_at = loop.time()
                proxy.reload_file()
                duration = loop.time() - began_at
                reload_done.set()
                reader.join()
                monkeypatch.undo()
        assert duration < MAX_WAIT / 2.0
        assert proxy.listener.version.startswith("2-")
