"""Tests of reading the configuration version from a proxy's health check."""

from __future__ import annotations

import pytest

from testbed.health_check import (
    applied_between,
    configuration_version,
    configurations_applied,
    has_label,
)

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"


@pytest.mark.parametrize(
    ("response", "version"),
    [
        (HEAD + b"ok\nversion change-7-0123456789ab\n", "change-7-0123456789ab"),
        (HEAD.replace(b"200 OK", b"503 Service Unavailable") + b"not ready\nversion 2-ab\n", "2-ab"),
        (HEAD + b"ok\n", None),  # a proxy that reports no version
        (HEAD + b"ok", None),
        (HEAD + b"ok\nother 7\n", None),
        (HEAD + b"version 7-ab\n", None),  # the version is not in the second line
        (HEAD + b"ok\nversion \n", None),
        (b"ok\nversion 7-ab\n", None),
        (b"", None),
    ],
)
def test_version_is_read_only_from_the_second_line_of_the_body(response: bytes, version: str | None) -> None:
    assert configuration_version(response) == version


def test_label_does_not_match_a_label_with_the_same_prefix() -> None:
    assert has_label("change-1-0123456789ab", "change-1")
    assert not has_label("change-12-0123456789ab", "change-1")
    assert not has_label("change-1-0123456789ab", "change-12")
    assert not has_label(None, "change-1")


def test_number_of_applied_configurations_is_unknown_for_a_version_without_a_count() -> None:
    versions = ("12-ab", "change-1-ab", None)
    assert [configurations_applied(version) for version in versions] == [12, None, None]
    assert applied_between("1-ab", "19-cd") == 18
    assert applied_between("3-ab", "3-ab") == 0
    assert applied_between("1-ab", None) is None
    assert applied_between(None, None) is None
