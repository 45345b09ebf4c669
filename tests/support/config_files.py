"""The content of configuration files for tests: a valid file with changes, and files with one error each."""

from __future__ import annotations

import json

from tests.support.proxy_inputs import HOST, NO_DISCOVERY_PORT, RAW_SETTINGS

READ_CLASS, BOOK_CLASS, ONCE_CLASS = RAW_SETTINGS["Services"]


def raw_config(**entries: object) -> dict[str, object]:
    """Return the content of a valid file.

    Args:
        entries: Top-level entries that replace the default ones; an entry that is None is removed.
    """
    content: dict[str, object] = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:{NO_DISCOVERY_PORT}",
        "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 64},
        "known": {"index": 7, "endpoints": []},
        "settings": RAW_SETTINGS,
    } | entries
    return {name: value for name, value in content.items() if value is not None}


def config_with(**entries: object) -> bytes:
    """Return a valid file with changed top-level entries, as for `raw_config`."""
    return json.dumps(raw_config(**entries)).encode()


def config_with_settings(**settings: object) -> bytes:
    """Return a valid file with changed settings."""
    return config_with(settings=RAW_SETTINGS | settings)


def config_with_objective(number: bytes) -> bytes:
    """Return a file with a latency objective that `json.dumps` can't write.

    Args:
        number: The text of the objective in the file.
    """
    placeholder = 7
    file = config_with_settings(Services=[READ_CLASS | {"Aim": placeholder}])
    return file.replace(b'"Aim": %d' % placeholder, b'"Aim": ' + number)


#: Invalid files, each with one error, by a description of the error.
INVALID_FILES: dict[str, bytes] = {
    "empty": b"",
    "broken": b"{",
    "a list": b"[]",
    "a number": b"7",
    "null": b"null",
    "text": b'"x"',
    "no UTF-8": b'{"name":"\xff\xfe"}',
    "zero bytes": b"\0" * 64,
    "deeply nested": b"[" * 100_000,
    "larger than the limit": b" " * (4 << 20) + config_with(),
    "no settings": config_with(settings=None),
    "no limits": config_with(limits=None),
    "no discovery": config_with(discovery=None),
    "settings are a list": config_with(settings=[]),
    "settings are a text": config_with(settings="x"),
    "address without a port": config_with(discovery="nowhere"),
    "port over the largest": config_with(discovery=f"{HOST}:99999"),
    "address is a number": config_with(discovery=7),
    "seed is no hexadecimal number": config_with(seed="xyz"),
    "seed is a number": config_with(seed=7),
    "sockets are a text": config_with(limits={"sockets": "many"}),
    "sockets over the maximum": config_with(limits={"sockets": 1e308}),
    "no sockets": config_with(limits={"sockets": 0}),
    "memory over the maximum": config_with(limits={"sockets": 64, "memory_mb": 1e308}),
    "version with a blank": config_with(version="a b"),
    "version is true": config_with(version=True),
    "version is a list": config_with(version=[1]),
    "no classes": config_with_settings(Services=[]),
    "class is a number": config_with_settings(Services=[7]),
    "classes are a number": config_with_settings(Services=7),
    "two classes with one name": config_with_settings(Services=[READ_CLASS, READ_CLASS]),
    "class name is a number": config_with_settings(Services=[READ_CLASS | {"Name": 7}]),
    "latency objective is a text": config_with_settings(Services=[READ_CLASS | {"Aim": "soon"}]),
    "latency objective is 0": config_with_settings(Services=[READ_CLASS | {"Aim": 0}]),
    "latency objective over a float": config_with_objective(b"1e400"),
    "latency objective is an integer over a float": config_with_objective(b"1" + b"0" * 400),
    "deadline is not a number": config_with_settings(Services=[READ_CLASS | {"HardLimit": float("nan")}]),
    "negative priority weight": config_with_settings(Services=[READ_CLASS | {"Credit": -1}]),
    "deduplication window is true": config_with_settings(Services=[READ_CLASS | {"Window": True}]),
    "unknown idempotency": config_with_settings(Services=[READ_CLASS | {"Repeat": "maybe"}]),
    "idempotency is a list": config_with_settings(Services=[READ_CLASS | {"Repeat": []}]),
    "unknown deduplication scope": config_with_settings(Services=[ONCE_CLASS | {"Group": "rack"}]),
    "streaming is a text": config_with_settings(Services=[READ_CLASS | {"Streaming": "no"}]),
    "zone is not listed": config_with_settings(Services=[READ_CLASS | {"AllowedIn": [2]}]),
    "machine type is not listed": config_with_settings(Services=[READ_CLASS | {"BoundTo": [1]}]),
    "bound to a name": config_with_settings(Services=[READ_CLASS | {"BoundTo": ["k"]}]),
    "bound to a number": config_with_settings(Services=[READ_CLASS | {"BoundTo": 7}]),
    "two tenants with one name": config_with_settings(Orgs=[{"Name": "a"}, {"Name": "a"}]),
    "tenant share over 1": config_with_settings(Orgs=[{"Name": "a", "Share": 2}]),
    "negative tenant quota": config_with_settings(Orgs=[{"Name": "a", "AllowancePerS": -1}]),
    "tenants are a text": config_with_settings(Orgs="acme"),
    "zones are numbers": config_with_settings(Zones=[1, 2]),
    "two zones with one name": config_with_settings(Zones=["a", "a"]),
    "machine types are a text": config_with_settings(HostTypes="k"),
    "own zone is not listed": config_with_settings(Zone=2),
    "no attempts": config_with_settings(Bounds={"MaxAttempts": 0}),
    "cancel is a text": config_with_settings(Bounds={"Cancel": "yes"}),
    "idle timeout is 0": config_with_settings(Bounds={"ConnIdle": 0}),
    "idle timeout is a text": config_with_settings(Bounds={"ConnIdle": "nan"}),
    "negative dial timeout": config_with_settings(Bounds={"DialTimeout": -1}),
    "dial timeout over the maximum": config_with_settings(Bounds={"DialTimeout": 1e300}),
    "bounds are a list": config_with_settings(Bounds=[1]),
    "negative warmup duration": config_with_settings(Rules={"Cold": -1}),
    "rules are a list": config_with_settings(Rules=[7]),
    "warmup capacity over 1": config_with_settings(Rules={"ColdFrom": 2}),
    "empty fleet": config_with_settings(Instances=0),
    "ordinal outside of the fleet": config_with_settings(Ordinal=1),
    "fleet over the maximum": config_with_settings(Instances=1e300),
    "fleet size is true": config_with_settings(Instances=True),
    "unknown discovery mode": config_with_settings(RegistryMode="asked"),
    "over-share weight over the maximum": config_with_settings(OverShareWorth=7),
    "retry mark is a number": config_with_settings(ClientHabits={"MarksRetry": 1}),
}
