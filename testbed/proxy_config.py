"""The configuration file of a real proxy: its form, and writing it while a proxy may read it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from testbed.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from testbed.discovery.entry import EndpointUpdate

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


@dataclass(slots=True, frozen=True)
class ProxyConfig:
    """One proxy's configuration.

    Attributes:
        name: The proxy's name.
        port: Where it listens.
        discovery_port: Where its discovery listens.
        seed: Hexadecimal digits.
        known: The endpoint list that it starts with.
        settings: Its settings, in the form of the file.
        version: The label of the file's version; None where it has none.
    """

    name: str
    port: int
    discovery_port: int
    seed: str
    known: EndpointUpdate
    settings: Mapping[str, object]
    version: str | None = None

    def write(self, path: Path) -> None:
        """Write the file in one step: a reader sees either the old file or the new one."""
        new = path.with_suffix(".new")
        new.write_bytes(orjson.dumps(self._as_dict()))
        new.replace(path)

    def _as_dict(self) -> dict[str, object]:
        return {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery_port}",
            "seed": self.seed,
            "limits": LIMITS,
            "known": self.known,
            **({"version": self.version} if self.version else {}),
            "settings": self.settings,
        }
