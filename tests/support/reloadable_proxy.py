"""A proxy in this process that reads its configuration again from a file, as SIGHUP makes it do."""

from __future__ import annotations

import json
import os
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

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
    from collections.abc import AsyncIterator
    from pathlib import Path


class ConfigFile:
    """The configuration file of a proxy.

    Attributes:
        path: Where the file is.
        content: What the file holds where `write` does not change it.
    """

    def __init__(self, path: Path, entries: list[dict[str, Any]], discovery: int = NO_DISCOVERY_PORT) -> None:
        self.path = path
        self.content = raw_config(
            discovery=f"{HOST}:{discovery}",
            known={"index": 7, "snapshot": True, "endpoints": entries},
        )
        self.write()

    def write(self, top_entries: dict[str, Any] | None = None, **settings: Any) -> None:
        """Write the file with other entries at its top, and with other settings."""
        content = self.content | {"settings": RAW_SETTINGS | settings} | (top_entries or {})
        self.path.write_text(json.dumps(content))


class ReloadableProxy(RunningProxy):
    """A proxy in this process, with its configuration file."""

    def __init__(self, proxy: Proxy, port: int, file: ConfigFile) -> None:
        super().__init__(proxy, port)
        self.file = file

    def reload(self, top_entries: dict[str, Any] | None = None, **settings: Any) -> None:
        """Change the file, and do what SIGHUP does."""
        self.file.write(top_entries, **settings)
        self.reload_file()

    def reload_file(self) -> None:
        """Do what SIGHUP does, with the file as it is."""
        self.proxy.reloader.reload(os.environ)

    async def health(self) -> tuple[int, list[bytes]]:
        """Return the status and the body's lines of a response to `/healthz`."""
        client = await self.connect()
        response = await client.request(HEALTH_REQUEST)
        body = response.partition(b"\r\n\r\n")[2]
        return status_of(response), body.splitlines()


@asynccontextmanager
async def reloadable_proxy(
    config_path: Path, entries: list[dict[str, Any]]
) -> AsyncIterator[ReloadableProxy]:
    """Run a proxy on a free port, from a file that knows these entries of the endpoint list."""
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
    """Run a backend, and a proxy that knows it as "a" from its file."""
    async with stub_backend(script) as backend:
        async with reloadable_proxy(config_path, [endpoint_entry("a", backend.address)]) as proxy:
            yield proxy, backend


def request_of_class(class_name: str, number: int, method: str = "GET") -> bytes:
    """Return a request of a class, with any method."""
    return get_request(number, X_Priority_Class=class_name).replace(b"GET", method.encode(), 1)
