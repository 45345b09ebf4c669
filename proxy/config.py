"""Reads the configuration file of one proxy into typed values, and says what is wrong with a faulty one.

Owns the file's form outside of `settings`, which `balancer.settings_reader` reads. Does not own which
configuration is in force: `proxy.reload` takes over a new one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

from balancer.errors import InvalidValueError, RowandealError
from balancer.settings import Idempotency, Settings
from balancer.settings_reader import DEDUPLICATION_SCOPES, DISCOVERY_MODES, IDEMPOTENCIES, read_settings
from balancer.validation import check_number

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_FILE_BYTES = 4 << 20  # as much as one list of discovery may take
MAX_NUMBER = 1e9  # of a limit, or seconds: larger ones say nothing, and their sums may overflow
MIN_IDLE_TIMEOUT = 0.001  # seconds: idle connections are looked at several times in it
MAX_PROBLEM_LENGTH = 300  # characters of an error's text: one line of the log
MAX_PORT = 65535
DIGEST_LENGTH = 12  # characters
VERSION_LABEL = re.compile(r"[!-~]{1,64}")
BYTES_PER_MB = 1 << 20
DEFAULT_MEMORY_MB = 192  # the most that the platform gives
DEFAULT_IDLE_TIMEOUT = 15.0  # seconds
DEFAULT_DIAL_TIMEOUT = 0.25  # seconds


class Address(NamedTuple):
    """Where a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form in which addresses stand in the configuration."""
        return f"{self.host}:{self.port}"


class ConfigError(RowandealError):
    """The environment or the configuration file makes no sense.

    Attributes:
        problem: What is wrong.
        where: The file or the like that is at fault; empty where the problem says it.
    """

    def __init__(self, problem: str, where: str = "") -> None:
        super().__init__(f"{where}: {problem}" if where else problem)
        self.problem = problem
        self.where = where


@dataclass(slots=True, frozen=True)
class Config:
    """One proxy's configuration.

    Attributes:
        name: The proxy's name.
        listen: Where it listens for clients.
        discovery: Where discovery listens.
        seed: The seed of the decisions' random numbers.
        max_sockets: The descriptors that the proxy may use.
        memory_limit: The memory that it may use, in bytes.
        cached_list: The endpoint list known when the file was written, in discovery's form.
        settings: What the decisions go by.
        class_indices: The position of each class in the settings, by its name.
        tenant_indices: The position of each tenant in the settings, by its name.
        zone_indices: The number that the settings have for each zone, by its name.
        machine_type_indices: The number that the settings have for each machine type, by its name.
        backend_idle_timeout: Seconds after which backends close idle connections.
        dial_timeout: Seconds after which a dial to a backend is given up.
        label: The version that the file names; empty where it names none.
        digest: A digest of the settings as they stand in the file.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    memory_limit: int
    cached_list: dict[str, Any]
    settings: Settings
    class_indices: dict[str, int]
    tenant_indices: dict[str, int]
    zone_indices: dict[str, int]
    machine_type_indices: dict[str, int]
    backend_idle_timeout: float
    dial_timeout: float
    label: str = ""
    digest: str = ""

    @property
    def longest_deadline(self) -> float:
        """Seconds: no client waits for an answer longer than that."""
        return max(request_class.deadline for request_class in self.settings.classes)

    def version(self, count: int) -> str:
        """Return the version that operators see: the label, or else a count, and the digest.

        Args:
            count: Which one it is of the configurations that this process has taken over.
        """
        return f"{self.label or count}-{self.digest}"


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration that the environment names.

    Args:
        environ: Names the file in `RELAY_CONFIG`. `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` override
            what stands in it.

    Raises:
        ConfigError: There is no file, or it makes no sense; the error's text is one line.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        return _read_config(environ, orjson.loads(_read_file(path)))
    except KeyError as error:
        raise ConfigError(f"{error} is missing", path) from error
    # A value of the wrong type fails wherever it is used first, and not always with an error of ours.
    except (OSError, ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise ConfigError(" ".join(str(error).split())[:MAX_PROBLEM_LENGTH], path) from error


def read_address(text: str) -> Address:
    """Read `host:port`; raises ConfigError where it is something else."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ConfigError(f"{text!r} is not an address of the form host:port")
    return Address(host, int(port))


def _read_file(path: str) -> bytes:
    """Read a file of limited size: a large one would fill the memory."""
    with open(path, "rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise ValueError(f"it is larger than {MAX_FILE_BYTES} bytes")
    return data


def _read_config(environ: Mapping[str, str], raw: dict[str, Any]) -> Config:
    raw_settings = raw["settings"]
    bounds = raw_settings.get("Bounds") or {}
    limits = raw["limits"]
    _check_raw_settings(raw_settings)
    settings = read_settings(raw_settings)
    settings.check()
    zone_indices = _index_names("Zones", raw_settings.get("Zones") or [])
    machine_type_indices = _index_names("HostTypes", raw_settings.get("HostTypes") or [])
    _check_placement(settings, zone_indices, machine_type_indices)
    return Config(
        name=environ.get("RELAY_NAME") or raw["name"],
        listen=read_address(environ.get("RELAY_LISTEN") or raw["listen"]),
        discovery=read_address(environ.get("RELAY_DISCOVERY") or raw["discovery"]),
        seed=int(raw["seed"], 16),
        max_sockets=int(_number("limits.sockets", limits["sockets"], 1)),
        memory_limit=int(_number("limits.memory_mb", limits.get("memory_mb", DEFAULT_MEMORY_MB), 1))
        * BYTES_PER_MB,
        cached_list=raw.get("known") or {"index": 0, "endpoints": []},
        settings=settings,
        class_indices=_index_names("Services", [row.name for row in settings.classes]),
        tenant_indices=_index_names("Orgs", [row.name for row in settings.tenants]),
        zone_indices=zone_indices,
        machine_type_indices=machine_type_indices,
        backend_idle_timeout=_seconds(bounds, "ConnIdle", DEFAULT_IDLE_TIMEOUT, MIN_IDLE_TIMEOUT),
        dial_timeout=_seconds(bounds, "DialTimeout", DEFAULT_DIAL_TIMEOUT, 0.0),
        label=_read_label(raw.get("version")),
        digest=_digest(raw_settings),
    )


def _index_names(field: str, names: list[str]) -> dict[str, int]:
    """Return the position of each name; the decisions keep state by name, so no two may be the same."""
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidValueError(field, "not a list of names")
    indices = {name: index for index, name in enumerate(names)}
    if len(indices) < len(names):
        raise InvalidValueError(field, "two have the same name")
    return indices


def _number(field: str, value: float, low: float) -> float:
    """Return a number of the file, from `low` to `MAX_NUMBER`."""
    check_number(field, value, low, MAX_NUMBER)
    return value


def _seconds(bounds: dict[str, Any], name: str, default: float, low: float) -> float:
    return float(_number(f"Bounds.{name}", bounds.get(name, default), low))


def _read_label(value: Any) -> str:
    if value is None:
        return ""
    text = str(value) if isinstance(value, (str, int, float)) and not isinstance(value, bool) else ""
    if not VERSION_LABEL.fullmatch(text):
        raise InvalidValueError("version", f"{value!r} is neither a number nor a short text without blanks")
    return text


def _digest(raw_settings: dict[str, Any]) -> str:
    """Return a digest that does not go by the order of keys."""
    return sha256(orjson.dumps(raw_settings, option=orjson.OPT_SORT_KEYS)).hexdigest()[:DIGEST_LENGTH]


def _check_raw_settings(raw: dict[str, Any]) -> None:
    """Require at least one class, and words that mean something: a slip must not become a default."""
    if not raw.get("Services"):
        raise InvalidValueError("Services", "at least one class is needed")
    stated: list[tuple[str, Any, Mapping[str, Any]]] = [
        ("RegistryMode", raw.get("RegistryMode"), DISCOVERY_MODES)
    ]
    for index, row in enumerate(raw.get("Services") or ()):
        stated.append((f"Services[{index}].Repeat", row.get("Repeat"), IDEMPOTENCIES))
        if IDEMPOTENCIES.get(row.get("Repeat")) is Idempotency.KEYED:  # it says nothing of other classes
            stated.append((f"Services[{index}].Group", row.get("Group"), DEDUPLICATION_SCOPES))
    for field, word, words in stated:
        if word is not None and word not in words:
            raise InvalidValueError(field, f"{word!r} is not one of {', '.join(words)}")


def _check_placement(
    settings: Settings, zone_indices: dict[str, int], machine_type_indices: dict[str, int]
) -> None:
    """Require that classes are bound to zones and machine types that the settings list."""
    for row in settings.classes:
        for places, names in (
            (row.allowed_zones, zone_indices),
            (row.allowed_machine_types, machine_type_indices),
        ):
            if any(place >= len(names) for place in places or ()):
                raise InvalidValueError(f"class {row.name}", "bound to a zone or type that is not listed")
