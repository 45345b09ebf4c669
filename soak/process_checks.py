"""Checks of the proxy processes: exits, readiness, logged errors, and handling of stalled clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.history import NEVER
from soak.violations import Rule, Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.history import ProxyIncarnation, StalledClient
    from soak.indexed_history import IndexedHistory

READY_TIME = 10.0  # seconds in which `MIN_READY_FRACTION` of the started processes have to be ready
MIN_READY_FRACTION = 0.9
STALLED_CLIENT_TIME = 3.0  # seconds in which a stalled client has to receive an error or a close
MAX_SHOWN_LINES = 30  # lines of a log that a violation shows, from the line with the error
ERROR_MARKS = ("violation", "Traceback", "exception was never retrieved", "Fatal error")
LAST_LOG_LINES = 3  # lines that a violation shows of a process that exited unexpectedly


def check_incarnation(incarnation: ProxyIncarnation) -> Iterator[Violation]:
    """Check that a process ended only by a signal of the run and without an error, and logged no error."""
    was_killed = incarnation.killed_at < NEVER
    was_stopped = incarnation.terminated_at < NEVER or was_killed
    ended_by_error = incarnation.exit_code != 0 and not was_killed
    if incarnation.exit_code is not None and (not was_stopped or ended_by_error):
        log = incarnation.log[-LAST_LOG_LINES:]
        detail = f"proxy {incarnation.proxy} ended with {incarnation.exit_code}: {log}"
        yield Violation(Rule.UNEXPECTED_EXIT, incarnation.ended_at, detail)
    if incarnation.peak_resident > incarnation.memory_limit:
        detail = f"proxy {incarnation.proxy}: {incarnation.peak_resident} of {incarnation.memory_limit} bytes"
        yield Violation(Rule.MEMORY_EXCEEDED, incarnation.started_at, detail)
    for position, line in enumerate(incarnation.log):
        if any(mark in line for mark in ERROR_MARKS):
            shown = " / ".join(incarnation.log[position : position + MAX_SHOWN_LINES])
            detail = f"proxy {incarnation.proxy}: {shown}"
            yield Violation(Rule.ERROR_LOGGED, incarnation.started_at, detail)


def check_readiness(history: IndexedHistory) -> Iterator[Violation]:
    """Check that enough of the processes that ran for longer than `READY_TIME` were ready in that time."""
    long_running = [
        each
        for each in history.records.incarnations
        if min(each.ended_at, each.killed_at) - each.started_at > READY_TIME
    ]
    late = [each for each in long_running if each.ready_at - each.started_at > READY_TIME]
    if len(late) > (1.0 - MIN_READY_FRACTION) * len(long_running):
        detail = f"{len(late)} of {len(long_running)} are not ready"
        yield Violation(Rule.NOT_READY, late[0].started_at, detail)


def check_stalled_client(history: IndexedHistory, client: StalledClient) -> Iterator[Violation]:
    """Check that a stalled client received an error or a close in time, unless its proxy was killed."""
    due_at = client.stopped_at + STALLED_CLIENT_TIME
    incarnation = history.incarnation_at(client.proxy, client.stopped_at)
    if incarnation is None or incarnation.killed_at < due_at:
        return
    waited = client.ended_at - client.stopped_at
    if waited > STALLED_CLIENT_TIME + history.slack(due_at, client.proxy):
        detail = f"proxy {client.proxy}: connection of a stalled client was open for {waited:.3f} s"
        yield Violation(Rule.STALLED_CLIENT_NOT_CLOSED, client.stopped_at, detail)
