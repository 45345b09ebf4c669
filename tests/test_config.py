"""The configuration file: what can not be taken is told in one plain line."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import pytest
from proxy_inputs import HOST, RAW_SETTINGS

from proxy.__main__ import main
from proxy.config import ConfigError, load

READ, BOOK, ONCE = RAW_SETTINGS["Services"]


@pytest.fixture
def path(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Where the file of a proxy in this process is."""
    for name in ("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"):
        monkeypatch.delenv(name, raising=False)
    monkeypatch.setenv("RELAY_CONFIG", str(tmp_path / "c.json"))
    return tmp_path / "c.json"


def lines(capfd: pytest.CaptureFixture[str]) -> list[str]:
    """What was logged since the last look."""
    return capfd.readouterr().err.splitlines()


def bad(**settings: Any) -> bytes:
    """A file with settings that can not be taken."""
    return json.dumps(
        {
            "name": "n0",
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:9",
            "seed": "1",
            "limits": {"sockets": 1024, "memory_mb": 64},
            "known": {"index": 7, "endpoints": []},
            "settings": RAW_SETTINGS | settings,
        }
    ).encode()


def top(**entries: Any) -> bytes:
    """A file with other entries at its top; None leaves one out."""
    whole = json.loads(bad()) | entries
    return json.dumps({name: value for name, value in whole.items() if value is not None}).encode()


BAD: dict[str, bytes] = {
    "empty": b"",
    "broken": b"{",
    "no object": b"[]",
    "a number": b"7",
    "null": b"null",
    "text": b'"x"',
    "no utf-8": b'{"name":"\xff\xfe"}',
    "nul": b"\0" * 64,
    "deep": b"[" * 100_000,
    "huge": b" " * (4 << 20) + bad(),
    "no settings": top(settings=None),
    "no limits": top(limits=None),
    "no discovery": top(discovery=None),
    "settings are a list": top(settings=[]),
    "settings are a text": top(settings="x"),
    "address": top(discovery="nowhere"),
    "port": top(discovery=f"{HOST}:99999"),
    "address 7": top(discovery=7),
    "seed": top(seed="xyz"),
    "seed 7": top(seed=7),
    "sockets": top(limits={"sockets": "many"}),
    "sockets over all": top(limits={"sockets": 1e308}),
    "no sockets": top(limits={"sockets": 0}),
    "memory over all": top(limits={"sockets": 64, "memory_mb": 1e308}),
    "version": top(version="a b"),
    "version true": top(version=True),
    "version list": top(version=[1]),
    "no classes": bad(Services=[]),
    "a class is a number": bad(Services=[7]),
    "classes 7": bad(Services=7),
    "two classes alike": bad(Services=[READ, READ]),
    "class name": bad(Services=[READ | {"Name": 7}]),
    "aim": bad(Services=[READ | {"Aim": "soon"}]),
    "aim 0": bad(Services=[READ | {"Aim": 0}]),
    "aim over a float": bad(Services=[READ | {"Aim": 7}]).replace(b'"Aim": 7', b'"Aim": 1e400'),
    "whole aim over a float": bad(Services=[READ | {"Aim": 7}]).replace(
        b'"Aim": 7', b'"Aim": 1' + b"0" * 400
    ),
    "deadline nan": bad(Services=[READ | {"HardLimit": float("nan")}]),
    "worth": bad(Services=[READ | {"Credit": -1}]),
    "window": bad(Services=[READ | {"Window": True}]),
    "repeat": bad(Services=[READ | {"Repeat": "maybe"}]),
    "repeat list": bad(Services=[READ | {"Repeat": []}]),
    "group": bad(Services=[ONCE | {"Group": "rack"}]),
    "streaming": bad(Services=[READ | {"Streaming": "no"}]),
    "zone not listed": bad(Services=[READ | {"AllowedIn": [2]}]),
    "type not listed": bad(Services=[READ | {"BoundTo": [1]}]),
    "bound to a name": bad(Services=[READ | {"BoundTo": ["k"]}]),
    "bound 7": bad(Services=[READ | {"BoundTo": 7}]),
    "two tenants alike": bad(Orgs=[{"Name": "a"}, {"Name": "a"}]),
    "share": bad(Orgs=[{"Name": "a", "Share": 2}]),
    "quota": bad(Orgs=[{"Name": "a", "AllowancePerS": -1}]),
    "tenants": bad(Orgs="acme"),
    "zones": bad(Zones=[1, 2]),
    "zones alike": bad(Zones=["a", "a"]),
    "types": bad(HostTypes="k"),
    "zone": bad(Zone=2),
    "attempts": bad(Bounds={"MaxAttempts": 0}),
    "cancel": bad(Bounds={"Cancel": "yes"}),
    "idle": bad(Bounds={"ConnIdle": 0}),
    "idle nan": bad(Bounds={"ConnIdle": "nan"}),
    "dial": bad(Bounds={"DialTimeout": -1}),
    "dial over all": bad(Bounds={"DialTimeout": 1e300}),
    "bounds": bad(Bounds=[1]),
    "rule": bad(Rules={"Cold": -1}),
    "rules": bad(Rules=[7]),
    "share of cold": bad(Rules={"ColdFrom": 2}),
    "fleet": bad(Instances=0),
    "place": bad(Ordinal=1),
    "fleet over all": bad(Instances=1e300),
    "fleet true": bad(Instances=True),
    "mode": bad(RegistryMode="asked"),
    "over share": bad(OverShareWorth=7),
    "marks": bad(ClientHabits={"MarksRetry": 1}),
}


@pytest.mark.parametrize("data", BAD.values(), ids=BAD)
def test_no_process_starts_from_a_bad_file(
    path: Path, data: bytes, capfd: pytest.CaptureFixture[str]
) -> None:
    path.write_bytes(data)
    with pytest.raises(ConfigError):
        load(os.environ)
    assert main() == 2
    [line] = lines(capfd)
    assert line.startswith(f"proxy: {path}: " if "is not an address" not in line else "proxy: ")


def test_a_configuration_tells_its_version_and_what_its_settings_are(path: Path) -> None:
    seen = set()
    for data in (
        bad(),
        top(known=None, discovery=f"{HOST}:10"),
        json.dumps(dict(reversed(json.loads(bad()).items()))).encode(),
    ):
        path.write_bytes(data)
        seen.add(load(os.environ).version(1))
    assert len(seen) == 1
    assert seen.pop().startswith("1-")
    path.write_bytes(bad(Instances=2))
    other = load(os.environ)
    path.write_bytes(top(version="2026-12-02T03:00+01:00"))
    named = load(os.environ)
    assert named.digest != other.digest
    assert named.version(5) == f"2026-12-02T03:00+01:00-{named.digest}"
