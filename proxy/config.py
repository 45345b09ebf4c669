"""What the platform tells a proxy, as typed values."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

import orjson

from balancer.settings import Idempotency, Settings
from balancer.settings_reader import DEDUPLICATION_SCOPES, DISCOVERY_MODES, IDEMPOTENCIES, read_settings

Address = tuple[str, int]
CONFIG_MOST = 4 << 20  # bytes of the file: as much as one list of discovery may take
NUMBER_MOST = 1e9  # of a limit, or seconds: larger ones say nothing, and sums of them may not hold
IDLE_LEAST = 0.001  # seconds: the look at idle connections comes round several times in it
FAULT_MOST = 300  # characters of a fault's text: one line
DIGEST_LENGTH = 12
LABEL = re.compile(r"[!-~]{1,64}")
MEMORY_MB = 192  # where the configuration states no limit: the most that the platform gives


class ConfigError(Exception):
    """The environment or the configuration file makes no sense."""


@dataclass(slots=True, frozen=True)
class Config:
    """One proxy's configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory: int  # bytes
    known: dict[str, Any]
    settings: Settings
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    types: dict[str, int]
    conn_idle: float  # seconds
    dial_timeout: float  # seconds
    label: str = ""  # the version that the file names
    digest: str = ""  # of the settings as they stand in the file

    def version(self, count: int) -> str:
        """What operators tell it by: its label, or else which one it is in this process, and the digest."""
        return f"{self.label or count}-{self.digest}"


def read_address(text: str) -> Address:
    """`host:port` as a pair."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ConfigError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


def _indices(at: str, names: list[str]) -> dict[str, int]:
    """The place of each name; state is kept by name, so two must not be the same."""
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ValueError(f"{at}: not a list of names")
    indices = {name: index for index, name in enumerate(names)}
    if len(indices) < len(names):
        raise ValueError(f"{at}: two have the same name")
    return indices


def _number(at: str, value: float, least: float, most: float) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value <= most:
        raise ValueError(f"{at}: {value!r} is not a number from {least} to {most}")
    return value


def _label(value: Any) -> str:
    if value is None:
        return ""
    text = str(value) if isinstance(value, (str, int, float)) and not isinstance(value, bool) else ""
    if not LABEL.fullmatch(text):
        raise ValueError(f"version: {value!r} is neither a number nor a short text without blanks")
    return text


def _check_stated(wire: dict[str, Any]) -> None:
    """Raise ValueError where there is no class, or a word means nothing: a slip must not become a default."""
    if not wire.get("Services"):
        raise ValueError("Services: at least one class is needed")
    stated: list[tuple[str, Any, Mapping[str, Any]]] = [
        ("RegistryMode", wire.get("RegistryMode"), DISCOVERY_MODES)
    ]
    for n, row in enumerate(wire.get("Services") or ()):
        stated.append((f"Services[{n}].Repeat", row.get("Repeat"), IDEMPOTENCIES))
        if IDEMPOTENCIES.get(row.get("Repeat")) is Idempotency.KEYED:  # it says nothing of others
            stated.append((f"Services[{n}].Group", row.get("Group"), DEDUPLICATION_SCOPES))
    for at, word, words in stated:
        if word is not None and word not in words:
            raise ValueError(f"{at}: {word!r} is not one of {', '.join(words)}")


def _check_places(settings: Settings, zones: dict[str, int], types: dict[str, int]) -> None:
    """Raise ValueError where a class is bound to a zone or type that is not listed."""
    for row in settings.classes:
        for places, names in ((row.allowed_zones, zones), (row.allowed_machine_types, types)):
            if any(place >= len(names) for place in places or ()):
                raise ValueError(f"class {row.name}: bound to a zone or type that is not listed")


def _read(environ: Mapping[str, str], raw: dict[str, Any]) -> Config:
    wire = raw["settings"]
    bounds = wire.get("Bounds") or {}
    limits = raw["limits"]
    _check_stated(wire)
    settings = read_settings(wire)
    settings.check()
    zones = _indices("Zones", wire.get("Zones") or [])
    types = _indices("HostTypes", wire.get("HostTypes") or [])
    _check_places(settings, zones, types)
    return Config(
        name=environ.get("RELAY_NAME") or raw["name"],
        listen=read_address(environ.get("RELAY_LISTEN") or raw["listen"]),
        discovery=read_address(environ.get("RELAY_DISCOVERY") or raw["discovery"]),
        seed=int(raw["seed"], 16),
        sockets=int(_number("limits.sockets", limits["sockets"], 1, NUMBER_MOST)),
        memory=int(_number("limits.memory_mb", limits.get("memory_mb", MEMORY_MB), 1, NUMBER_MOST)) << 20,
        known=raw.get("known") or {"index": 0, "endpoints": []},
        settings=settings,
        classes=_indices("Services", [row.name for row in settings.classes]),
        tenants=_indices("Orgs", [row.name for row in settings.tenants]),
        zones=zones,
        types=types,
        conn_idle=float(_number("Bounds.ConnIdle", bounds.get("ConnIdle", 15.0), IDLE_LEAST, NUMBER_MOST)),
        dial_timeout=float(_number("Bounds.DialTimeout", bounds.get("DialTimeout", 0.25), 0.0, NUMBER_MOST)),
        label=_label(raw.get("version")),
        digest=sha256(orjson.dumps(wire, option=orjson.OPT_SORT_KEYS)).hexdigest()[:DIGEST_LENGTH],
    )


def load(environ: Mapping[str, str]) -> Config:
    """The configuration that the environment names; every fault is a ConfigError of one line."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            data = file.read(CONFIG_MOST + 1)
        if len(data) > CONFIG_MOST:
            raise ValueError(f"it is larger than {CONFIG_MOST} bytes")
        return _read(environ, orjson.loads(data))
    except KeyError as fault:
        raise ConfigError(f"{path}: {fault} is missing") from fault
    except (OSError, ValueError, TypeError, AttributeError, ArithmeticError) as fault:
        raise ConfigError(f"{path}: {' '.join(str(fault).split())[:FAULT_MOST]}") from fault
