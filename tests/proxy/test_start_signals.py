"""Signals that arrive while a process starts or after it has shut down, at moments chosen by the test.

The configuration file is a named pipe, so that the process blocks in reading it until the test writes to it.
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
    killing_on_exit,
    wait_until_ready,
)

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import AsyncIterator, Callable
    from pathlib import Path


def config_text(port: int, version: str) -> bytes:
    """Return a configuration file with a version, for a proxy that listens on a port."""
    known = {"index": 3, "snapshot": True, "endpoints": [endpoint_entry("a", f"{HOST}:1")]}
    return json.dumps(raw_config(listen=f"{HOST}:{port}", version=version, known=known)).encode()


class ConfigPipe:
    """A configuration file whose readers block until the test writes it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        os.mkfifo(path)

    async def serve(self, *texts: bytes, before_write: Callable[[], None] = lambda: None) -> None:
        """Write one text for each of the next processes that open the file.

        Args:
            texts: The texts, in order.
            before_write: Called while a process is blocked in reading, before its text is written.
        """
        for text in texts:
            descriptor = await self._wait_for_reader()
            # The next process that opens the file gets a new pipe, without bytes from this one.
            self.path.unlink()
            os.mkfifo(self.path)
            before_write()
            os.write(descriptor, text)
            os.close(descriptor)

    async def _wait_for_reader(self) -> int:
        """Wait until a process has opened the pipe for reading, and return the write end."""
        async with asyncio.timeout(MAX_WAIT):
            while True:
                try:
                    return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                except OSError as error:
                    if error.errno != errno.ENXIO:  # ENXIO: no process has opened it for reading yet
                        raise
                    await asyncio.sleep(0.001)


@asynccontextmanager
async def deployed_process(config_path: Path) -> AsyncIterator[Process]:
    """Run a proxy with the deploy file's command and this interpreter; it is killed on exit."""
    process = await asyncio.create_subprocess_shell(
        run_command(), cwd=PROJECT_ROOT, env=inherited_environment() | {"RELAY_CONFIG": str(config_path)}
    )
    async with killing_on_exit(process):
        yield process


async def version_of(port: int) -> bytes:
    """Return the line of a proxy's health response that states the version in force."""
    client: Client = await connect(port)
    response = await client.request(HEALTH_REQUEST)
    client.writer.close()
    return response.splitlines()[-1]


@pytest.mark.parametrize("moment", ["before the program runs", "while the configuration is read"])
@in_event_loop
async def test_sighup_during_the_start_reloads_the_file_and_does_not_end_the_process(
    moment: str, tmp_path: Path
) -> None:
    pipe, port = ConfigPipe(tmp_path / "c.json"), free_port()
    async with deployed_process(pipe.path) as process:

        def send_hangup() -> None:
            process.send_signal(signal.SIGHUP)

        if moment == "before the program runs":
            await wait_until(lambda: survives_hangup(process.pid))
            send_hangup()
            # The file is read after the signal, so that the reload reads the same content and changes
            # nothing.
            reads = asyncio.create_task(pipe.serve(config_text(port, "one"), config_text(port, "one")))
        else:
            # The file may have changed after it was read, so that it has to be read again.
            await pipe.serve(config_text(port, "one"), before_write=send_hangup)
            reads = asyncio.create_task(pipe.serve(config_text(port, "two")))
        await wait_until_ready(port)
        expected = b"one" if moment == "before the program runs" else b"two"
        assert (await version_of(port)).startswith(b"version %b-" % expected)
        reads.cancel()
        process.send_signal(signal.SIGTERM)
        assert await with_timeout(process.wait()) == 0


def test_signals_after_the_last_response_do_not_end_the_process() -> None:
    numbers = (*TERMINATION_SIGNALS, signal.SIGHUP)
    previous_handlers = {number: signal.getsignal(number) for number in numbers}

    async def shut_down() -> None:
        for number in numbers:
            asyncio.get_running_loop().add_signal_handler(number, lambda: None)
        ignore_signals()

    try:
        asyncio.run(shut_down())
        assert [signal.getsignal(number) for number in numbers] == [signal.SIG_IGN] * len(numbers)
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
