"""What a proxy's health check reports of its configuration."""

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
        (HEAD + b"ok\n", None),  # a program without the line
        (HEAD + b"ok", None),
        (HEAD + b"ok\nother 7\n", None),
        (HEAD + b"version 7-ab\n", None),  # not the second line
        (HEAD + b"ok\nversion \n", None),
        (b"ok\nversion 7-ab\n", None),
        (b"", None),
    ],
)
def test_the_version_is_the_second_line_of_the_body(response: bytes, version: str | None) -> None:
    assert configuration_version(response) == version


def test_a_label_is_not_confused_with_one_that_begins_like_it() -> None:
    assert has_label("change-1-0123456789ab", "change-1")
    assert not has_label("change-12-0123456789ab", "change-1")
    assert not has_label("change-1-0123456789ab", "change-12")
    assert not has_label(None, "change-1")


def test_configurations_are_counted_by_the_process_where_it_reports_them() -> None:
    versions = ("12-ab", "change-1-ab", None)
    assert [configurations_applied(version) for version in versions] == [12, None, None]
    assert applied_between("1-ab", "19-cd") == 18
    assert applied_between("3-ab", "3-ab") == 0
    assert applied_between("1-ab", None) is None
    assert applied_between(None, None) is None
