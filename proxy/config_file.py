"""Reads the configuration file of one proxy into a `Config`, and reports the errors of an invalid file.

It defines the form of the file except for `settings`, whose form `balancer.settings_reader` defines.
"""

from __future__ import annotations

import re
from hashlib import sha256
from typing import TYPE_CHECKING, NotRequired, TypedDict, cast

import orjson

from balancer.settings_reader import read_settings
from proxy.address import Address, read_address
from proxy.config import Config, ConfigFileError, ConfigPathNotSetError
from proxy.discovery.messages import EMPTY_LIST, EndpointListMessage
from proxy.json_values import InvalidEntryError, require_entry, require_number, require_object
from proxy.settings_check import check_placement_restrictions, check_words, name_indices

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_FILE_BYTES = 4 << 20  # the same as the limit on an endpoint list from discovery, which the file contains
MAX_NUMBER = 1e9  # for limits and for seconds; larger numbers are mistakes, and sums of them may overflow
MIN_IDLE_TIMEOUT = 0.001  # seconds; idle connections are checked several times per idle timeout
DIGEST_LENGTH = 12  # characters
VERSION_LABEL = re.compile(r"[!-~]{1,64}")  # printable ASCII characters without spaces
BYTES_PER_MB = 1 << 20
DEFAULT_MEMORY_MB = 192  # the largest amount of memory that the platform provides
DEFAULT_IDLE_TIMEOUT = 15.0  # seconds
DEFAULT_DIAL_TIMEOUT = 0.25  # seconds


class LimitsEntry(TypedDict):
    """The limits of the process.

    Attributes:
        sockets: The largest number of file descriptors.
        memory_mb: The largest amount of memory in mebibytes.
    """

    sockets: float
    memory_mb: NotRequired[float]


class ConfigFile(TypedDict):
    """The content of the configuration file.

    Attributes:
        name: The proxy's name.
        listen: The address at which it listens for clients, as `host:port`.
        discovery: The address at which discovery listens, as `host:port`.
        seed: The seed of random numbers, in hexadecimal digits.
        limits: The limits of the process.
        known: The endpoint list at the time when the file was written.
        version: The version label of the file.
        settings: The settings, in the form of `balancer.settings_reader`.
    """

    name: str
    listen: str
    discovery: str
    seed: str
    limits: LimitsEntry
    known: NotRequired[EndpointListMessage | None]
    version: NotRequired[str | float | None]
    settings: dict[str, object]


class FileTooLargeError(ValueError):
    """A file is larger than allowed."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"it is larger than {limit} bytes")


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration that the environment names.

    Args:
        environ: `RELAY_CONFIG` names the file; `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` override
            its entries.

    Raises:
        ConfigError: There is no file, or it is invalid; the error's text is one line.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigPathNotSetError
    try:
        return _read_config(environ, orjson.loads(_read_file(path)))
    # Reading a single entry raises a ValueError. The other exceptions come from settings of a wrong type,
    # which `read_settings` does not check.
    except (OSError, ValueError, KeyError, TypeError, AttributeError, ArithmeticError) as error:
        raise ConfigFileError(path, error) from error


def _read_file(path: str) -> bytes:
    """Read a file of limited size, because a very large file would fill the memory."""
    with open(path, "rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise FileTooLargeError(MAX_FILE_BYTES)
    return data


def _read_config(environ: Mapping[str, str], content: object) -> Config:
    file = cast("ConfigFile", require_object("the file", content))
    raw_settings = require_object("settings", require_entry(file, "settings"))
    check_words(raw_settings)
    settings = read_settings(raw_settings)
    settings.check()
    zone_indices = name_indices("Zones", raw_settings.get("Zones") or [])
    machine_type_indices = name_indices("HostTypes", raw_settings.get("HostTypes") or [])
    check_placement_restrictions(settings, zone_indices, machine_type_indices)
    limits = cast("LimitsEntry", require_object("limits", require_entry(file, "limits")))
    bounds = require_object("Bounds", raw_settings.get("Bounds") or {})
    return Config(
        # The type of the name is not checked: a reload only compares it.
        name=environ.get("RELAY_NAME") or cast("str", require_entry(file, "name")),
        listen=_read_address(environ, "RELAY_LISTEN", file, "listen"),
        discovery=_read_address(environ, "RELAY_DISCOVERY", file, "discovery"),
        seed=_read_seed(require_entry(file, "seed")),
        max_sockets=_read_limit("sockets", require_entry(limits, "sockets", "limits.")),
        memory_limit=_read_limit("memory_mb", limits.get("memory_mb", DEFAULT_MEMORY_MB)) * BYTES_PER_MB,
        cached_list=file.get("known") or EMPTY_LIST,
        settings=settings,
        class_indices=name_indices("Services", [each.name for each in settings.classes]),
        tenant_indices=name_indices("Orgs", [each.name for each in settings.tenants]),
        zone_indices=zone_indices,
        machine_type_indices=machine_type_indices,
        backend_idle_timeout=_read_seconds(bounds, "ConnIdle", DEFAULT_IDLE_TIMEOUT, MIN_IDLE_TIMEOUT),
        dial_timeout=_read_seconds(bounds, "DialTimeout", DEFAULT_DIAL_TIMEOUT, 0.0),
        version_label=_read_version_label(file.get("version")),
        settings_digest=_digest(raw_settings),
    )


def _read_address(environ: Mapping[str, str], variable: str, file: ConfigFile, key: str) -> Address:
    """Return the address in an environment variable, or in the file if the variable is not set."""
    if text := environ.get(variable):
        return read_address(variable, text)
    return read_address(key, require_entry(file, key))


def _read_seed(value: object) -> int:
    try:
        return int(cast("str", value), 16)
    except (TypeError, ValueError) as error:
        raise InvalidEntryError(key="seed", value=value, expected="a text of hexadecimal digits") from error


def _read_limit(key: str, value: object) -> int:
    return int(require_number(f"limits.{key}", value, 1, MAX_NUMBER))


def _read_seconds(bounds: dict[str, object], key: str, default: float, minimum: float) -> float:
    return float(require_number(f"Bounds.{key}", bounds.get(key, default), minimum, MAX_NUMBER))


def _read_version_label(value: object) -> str:
    if value is None:
        return ""
    text = str(value) if isinstance(value, (str, int, float)) and not isinstance(value, bool) else ""
    if not VERSION_LABEL.fullmatch(text):
        raise InvalidEntryError(
            key="version", value=value, expected="a number or a short text without blanks"
        )
    return text


def _digest(raw_settings: dict[str, object]) -> str:
    """Return a digest of settings; it does not depend on the order of their keys."""
    return sha256(orjson.dumps(raw_settings, option=orjson.OPT_SORT_KEYS)).hexdigest()[:DIGEST_LENGTH]
