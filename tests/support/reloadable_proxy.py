"""A proxy in this process that can reload its configuration from a file, as after SIGHUP."""

from __future__ import annotations

import json
import os
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from proxy.config_file import load
from proxy.proxy import Proxy
from tests.support.config_files import raw_config
from tests.support.loopback import RunningProxy, Script, StubBackend, stub_backend
from tests.support.proxy_inputs import (
    HEALTH_REQUEST,
    HOST,
    NO_DISCOVERY_PORT,
    RAW_SETTINGS,
    endpoint_entry,
    get_request,
    status_of,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence
    from pathlib import Path


class ConfigFile:
    """The configuration file of a proxy.

    Attributes:
        path: The path of the file.
        content: The base content for each `write`. A change of it affects all later writes.
    """

    def __init__(
        self, path: Path, entries: Sequence[Mapping[str, object]], discovery: int = NO_DISCOVERY_PORT
    ) -> None:
        """Write the file.

        Args:
            path: The path of the file.
            entries: The entries of its cached endpoint list, in their JSON form.
            discovery: The port of discovery; no process listens on the default port.
        """
        self.path = path
        self.content = raw_config(
            discovery=f"{HOST}:{discovery}",
            known={"index": 7, "snapshot": True, "endpoints": list(entries)},
        )
        self.write()

    def write(self, top_entries: Mapping[str, object] | None = None, /, **settings: object) -> None:
        """Write the file with changes, which do not affect later calls.

        Args:
            top_entries: Top-level entries that replace those of `content`.
            settings: Settings that replace those of `RAW_SETTINGS`.
        """
        content = self.content | {"settings": RAW_SETTINGS | settings} | dict(top_entries or {})
        self.path.write_text(json.dumps(content))


@dataclass(slots=True, frozen=True)
class HealthResponse:
    """A response from `/healthz`.

    Attributes:
        status: Its status code.
        lines: The lines of its body.
    """

    status: int
    lines: list[bytes]


class ReloadableProxy(RunningProxy):
    """A proxy in this process, with its configuration file.

    Attributes:
        file: The configuration file.
    """

    def __init__(self, proxy: Proxy, port: int, file: ConfigFile) -> None:
        super().__init__(proxy, port)
        self.file = file

    def reload(self, top_entries: Mapping[str, object] | None = None, /, **settings: object) -> None:
        """Write the file with changes, as `ConfigFile.write` does, and reload it."""
        self.file.write(top_entries, **settings)
        self.reload_file()

    def reload_file(self) -> None:
        """Reload the file as it is, as after SIGHUP."""
        self.proxy.reloader.reload(os.environ)

    async def health(self) -> HealthResponse:
        """Request `/healthz`."""
        client = await self.connect()
        response = await client.request(HEALTH_REQUEST)
        body = response.partition(b"\r\n\r\n")[2]
        return HealthResponse(status_of(response), body.splitlines())


@asynccontextmanager
async def reloadable_proxy(
    config_path: Path, entries: Sequence[Mapping[str, object]]
) -> AsyncIterator[ReloadableProxy]:
    """Run a proxy on a free port.

    Args:
        config_path: The path of its configuration file, which `RELAY_CONFIG` must name.
        entries: The entries of the file's cached endpoint list.
    """
    file = ConfigFile(config_path, entries)
    proxy = Proxy(load(os.environ))
    sock = await proxy.listener.listen()
    try:
        yield ReloadableProxy(proxy, sock.getsockname()[1], file)
    finally:
        await proxy.listener.stop_listening(sock)
        proxy.listener.stop_keepalive()


@asynccontextmanager
async def reloadable_proxy_with_backend(
    config_path: Path, script: Script
) -> AsyncIterator[tuple[ReloadableProxy, StubBackend]]:
    """Run a backend with a script, and a proxy whose cached list contains it under the name "a"."""
    async with stub_backend(script) as backend:
        async with reloadable_proxy(config_path, [endpoint_entry("a", backend.address)]) as proxy:
            yield proxy, backend


def request_of_class(class_name: str, number: int, method: str = "GET") -> bytes:
    """Return a request of a class with the id `id<number>`."""
    return get_request(number, X_Priority_Class=class_name).replace(b"GET", method.encode(), 1)
