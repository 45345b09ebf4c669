"""The judge of the soak test: each rule is broken by one recording, and kept by one that comes close."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from soak.judge import Judge, Rule
from soak.records import (
    Arrival,
    BadClient,
    Drain,
    Ending,
    ProxyLife,
    Ran,
    Recording,
    Request,
    Safety,
    Span,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SENT_AT = 100.0
FOREVER = float("inf")


def answered(safety: Safety = Safety.NON_IDEMPOTENT, status: int = 200, ended_at: float = 100.5) -> Request:
    """Return a request that was answered."""
    return Request(
        "r1", safety, 0, 1.0, SENT_AT, SENT_AT, True, False, 0.0, ended_at, Ending.ANSWERED, status
    )


def ended(ending: Ending, at: float) -> Request:
    """Return a request without an answer."""
    return replace(answered(), ending=ending, ended_at=at, status=0)


def arrival(at: float = 100.1, timeout: float = 0.9, ran: Ran = Ran.YES, backend: str = "a") -> Arrival:
    """Return the arrival of that request at a backend."""
    return Arrival("r1", 0, backend, at, at, timeout, ran, completed=True)


def life(**changed: object) -> ProxyLife:
    """Return a process that was there all the time."""
    return replace(ProxyLife(0, 50.0, 51.0), **changed)  # type: ignore[arg-type]


def recording(
    requests: list[Request] | None = None,
    arrivals: list[Arrival] | None = None,
    drains: list[Drain] | None = None,
    lives: list[ProxyLife] | None = None,
    bad_clients: list[BadClient] | None = None,
    lags: list[tuple[float, float]] | None = None,
) -> Recording:
    """Return a recording of one good request, with other parts in the place of its own."""
    return Recording(
        [answered()] if requests is None else requests,
        [arrival()] if arrivals is None else arrivals,
        drains or [],
        lives or [life()],
        bad_clients or [],
        lags or [],
        deduplication_window=0.5,
    )


def keyed() -> list[Request]:
    """Return a request with an idempotency key."""
    return [answered(Safety.KEYED)]


def lengthless(status: int) -> Recording:
    """Return a whole answer without a length, and what its client got."""
    return recording([answered(status=status)], [replace(arrival(), has_length=False)])


#: For each rule: a recording that breaks it, and one that does not.
CASES: dict[str, tuple[Rule, Callable[[], Recording], Callable[[], Recording]]] = {
    "no answer": (
        Rule.LOST,
        lambda: recording([ended(Ending.NONE, 101.7)]),
        lambda: recording(
            [ended(Ending.NONE, 101.7)], lives=[life(killed_at=101.0, ended_at=101.0, exit_code=-9)]
        ),
    ),
    "closed": (
        Rule.LOST,
        lambda: recording([ended(Ending.CLOSED, 100.3)]),
        lambda: recording([replace(ended(Ending.CLOSED, 100.3), new_connection=False)], arrivals=[]),
    ),
    "closed after it was read": (
        Rule.LOST,
        lambda: recording([replace(ended(Ending.CLOSED, 100.3), new_connection=False)]),
        lambda: recording(
            [replace(ended(Ending.CLOSED, 100.3), new_connection=False)], [arrival(100.4, timeout=0.5)]
        ),
    ),
    "killed though it was told to end": (
        Rule.LOST,
        lambda: recording(
            [ended(Ending.NONE, 101.7)],
            lives=[life(terminated_at=99.0, killed_at=101.0, ended_at=101.0, exit_code=-9)],
        ),
        lambda: recording(
            [ended(Ending.NONE, 101.7)],
            lives=[life(terminated_at=99.5, killed_at=101.0, ended_at=101.0, exit_code=-9)],
        ),
    ),
    "late": (
        Rule.LATE,
        lambda: recording([answered(ended_at=101.6)]),
        lambda: recording([answered(ended_at=101.6)], lags=[(101.5, 0.1)]),
    ),
    "late, but in its turn": (
        Rule.LATE,
        lambda: recording([replace(answered(ended_at=101.9), turn_by=101.2)]),
        lambda: recording([replace(answered(ended_at=101.9), turn_by=101.5)]),
    ),
    "forged": (
        Rule.FORGED,
        lambda: recording([replace(answered(), body_is_genuine=False)]),
        lambda: recording([replace(answered(status=502), body_is_genuine=False)]),
    ),
    "rejected after it ran": (
        Rule.REJECTED_AFTER_RUN,
        lambda: recording([answered(status=503)]),
        lambda: recording([answered(status=503)], [arrival(ran=Ran.NEVER)]),
    ),
    "run twice": (
        Rule.REPEATED,
        lambda: recording(arrivals=[arrival(), arrival(100.2)]),
        lambda: recording(arrivals=[arrival(ran=Ran.NEVER), arrival(100.2)]),
    ),
    "repeated after the window": (
        Rule.REPEATED,
        lambda: recording(keyed(), [arrival(), arrival(100.75)]),
        lambda: recording(keyed(), [arrival(), arrival(100.55, timeout=0.4)]),
    ),
    "drain": (
        Rule.DRAIN,
        lambda: recording(drains=[Drain("a", {0: 99.7})]),
        lambda: recording(
            drains=[Drain("a", {0: 99.8}), Drain("a", {0: 99.0}, 100.0), Drain("b", {0: 99.0})]
        ),
    ),
    "client gone": (
        Rule.CLIENT_GONE,
        lambda: recording([ended(Ending.LEFT, 100.1)], [arrival(100.3, timeout=0.7)]),
        lambda: recording(
            [ended(Ending.LEFT, 100.1)],
            [arrival(100.3, timeout=0.7)],
            lives=[life(held_up=[Span(100.1, 100.24)])],
        ),
    ),
    "timeout too long": (
        Rule.TIMEOUT_TOO_LONG,
        lambda: recording(arrivals=[arrival(100.5, timeout=0.8)]),
        lambda: recording(arrivals=[arrival(100.5, timeout=0.6)]),
    ),
    "crash": (
        Rule.CRASH,
        lambda: recording(lives=[life(ended_at=120.0, exit_code=0)]),
        lambda: recording(lives=[life(terminated_at=119.0, ended_at=120.0, exit_code=0)]),
    ),
    "end by an error": (
        Rule.CRASH,
        lambda: recording(lives=[life(terminated_at=119.0, ended_at=120.0, exit_code=1)]),
        lambda: recording(lives=[life(killed_at=119.0, ended_at=120.0, exit_code=-9)]),
    ),
    "not ready": (
        Rule.NOT_READY,
        lambda: recording(lives=[life(ready_at=61.0), life(ready_at=FOREVER)]),
        lambda: recording(lives=[life(ready_at=FOREVER, killed_at=55.0, ended_at=55.0, exit_code=-9)]),
    ),
    "bad client": (
        Rule.BAD_CLIENT,
        lambda: recording(bad_clients=[BadClient(0, 100.0, 103.2)]),
        lambda: recording(bad_clients=[BadClient(0, 100.0, 103.0)]),
    ),
    "logged": (
        Rule.LOGGED,
        lambda: recording(lives=[life(log=["Traceback (most recent call last):"])]),
        lambda: recording(lives=[life(log=["proxy: reload: version 2 is in force"])]),
    ),
    "answer without a length": (Rule.LENGTHLESS, lambda: lengthless(502), lambda: lengthless(200)),
}


@pytest.mark.parametrize("name", CASES)
def test_rule_is_broken_by_one_recording_and_kept_by_another(name: str) -> None:
    rule, broken, kept = CASES[name]
    assert rule in {violation.rule for violation in Judge(broken()).violations()}
    assert Judge(kept()).violations() == []


def test_every_rule_has_a_case() -> None:
    assert {rule for rule, _, _ in CASES.values()} == set(Rule)
