"""Signals that reach a process while it starts or has just finished, at points that the test forces.

The configuration file is a named pipe: the process blocks in reading it until the test writes it.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from proxy.process import TERMINATION_SIGNALS, ignore_signals
from testbed.deploy_file import run_command
from testbed.paths import PROJECT_ROOT
from testbed.processes import inherited_environment, survives_hangup
from tests.support.config_files import raw_config
from tests.support.loopback import Client, connect, free_port, in_event_loop, wait_until, with_timeout
from tests.support.proxy_inputs import HEALTH_REQUEST, HOST, MAX_WAIT, endpoint_entry
from tests.support.proxy_process import (
    killed_at_the_end,
    wait_until_ready,
)

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import AsyncIterator, Callable
    from pathlib import Path


def config_text(port: int, version: str) -> bytes:
    """Return a configuration with a version, for a proxy that listens at a port."""
    known = {"index": 3, "snapshot": True, "endpoints": [endpoint_entry("a", f"{HOST}:1")]}
    return json.dumps(raw_config(listen=f"{HOST}:{port}", version=version, known=known)).encode()


class ConfigPipe:
    """A configuration file whose readers block until a test writes it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        os.mkfifo(path)

    async def serve(self, *texts: bytes, meanwhile: Callable[[], None] = lambda: None) -> None:
        """Write one text for each of the next processes that open the file.

        Args:
            texts: The texts, in order.
            meanwhile: Called while a process reads, before its text is written.
        """
        for text in texts:
            descriptor = await self._wait_for_reader()
            # The next process to open the file gets a new pipe, and no bytes of this one.
            self.path.unlink()
            os.mkfifo(self.path)
            meanwhile()
            os.write(descriptor, text)
            os.close(descriptor)

    async def _wait_for_reader(self) -> int:
        """Return the pipe's writing end once a process has opened it for reading."""
        async with asyncio.timeout(MAX_WAIT):
            while True:
                try:
                    return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                except OSError as error:
                    if error.errno != errno.ENXIO:  # ENXIO: no process reads it yet
                        raise
                    await asyncio.sleep(0.001)


@asynccontextmanager
async def deployed_process(config_path: Path) -> AsyncIterator[Process]:
    """Run a proxy by the deploy file's command, with this interpreter; it is killed at the end."""
    process = await asyncio.create_subprocess_shell(
        run_command(), cwd=PROJECT_ROOT, env=inherited_environment() | {"RELAY_CONFIG": str(config_path)}
    )
    async with killed_at_the_end(process):
        yield process


async def version_of(port: int) -> bytes:
    """Return the line of a proxy's health response that names the version in force."""
    client: Client = await connect(port)
    response = await client.request(HEALTH_REQUEST)
    client.writer.close()
    return response.splitlines()[-1]


@pytest.mark.parametrize("moment", ["before the program runs", "while the configuration is read"])
@in_event_loop
async def test_reload_signal_during_the_start_is_carried_out_and_ends_no_process(
    moment: str, tmp_path: Path
) -> None:
    pipe, port = ConfigPipe(tmp_path / "c.json"), free_port()
    async with deployed_process(pipe.path) as process:

        def send_hangup() -> None:
            process.send_signal(signal.SIGHUP)

        if moment == "before the program runs":
            await wait_until(lambda: survives_hangup(process.pid))
            send_hangup()
            # The file is read after the signal, so its content is in force: a second read changes nothing.
            reads = asyncio.create_task(pipe.serve(config_text(port, "one"), config_text(port, "one")))
        else:
            # The file may have changed since it was read: it is read again.
            await pipe.serve(config_text(port, "one"), meanwhile=send_hangup)
            reads = asyncio.create_task(pipe.serve(config_text(port, "two")))
        await wait_until_ready(port)
        expected = b"one" if moment == "before the program runs" else b"two"
        assert (await version_of(port)).startswith(b"version %b-" % expected)
        reads.cancel()
        process.send_signal(signal.SIGTERM)
        assert await with_timeout(process.wait()) == 0


def test_signals_after_the_last_answer_do_not_end_the_process_by_themselves() -> None:
    numbers = (*TERMINATION_SIGNALS, signal.SIGHUP)
    before = {number: signal.getsignal(number) for number in numbers}

    async def end() -> None:
        for number in numbers:
            asyncio.get_running_loop().add_signal_handler(number, lambda: None)
        ignore_signals()

    try:
        asyncio.run(end())
        assert [signal.getsignal(number) for number in numbers] == [signal.SIG_IGN] * len(numbers)
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
