"""Writes the configuration file of a proxy, atomically, because the proxy can read it at any time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from testbed.discovery.entry import EndpointUpdate

DEFAULT_MEMORY_MB = 192
SOCKETS = 1024


@dataclass(slots=True, frozen=True)
class ProxyConfig:
    """One proxy's configuration.

    Attributes:
        name: The proxy's name.
        port: The port that it listens on.
        discovery_port: The port of the registry that it watches.
        seed: The seed of its random generator, as hexadecimal digits.
        known: The endpoint list that it starts with.
        settings: The `settings` object of the file.
        version: The version label of the file; None for no label.
        memory_mb: The limit on the proxy's memory in MB.
    """

    name: str
    port: int
    discovery_port: int
    seed: str
    known: EndpointUpdate
    settings: Mapping[str, object]
    version: str | None = None
    memory_mb: int = DEFAULT_MEMORY_MB

    def write(self, path: Path) -> None:
        """Write the file atomically: a reader sees either the old file or the new one."""
        temporary_path = path.with_suffix(".new")
        temporary_path.write_bytes(orjson.dumps(self._as_dict()))
        temporary_path.replace(path)

    def _as_dict(self) -> dict[str, object]:
        return {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery_port}",
            "seed": self.seed,
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": SOCKETS},
            "known": self.known,
            **({"version": self.version} if self.version else {}),
            "settings": self.settings,
        }
