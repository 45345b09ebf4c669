"""Judges a recording by the rules of the protocol: every request, every arrival, every process.

Owns the rules and their slack, and nothing of how a run is made. Where the run's own processes were late, or
a proxy was stopped on purpose, the times that this explains are allowed for.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from soak.records import Arrival, Drain, Ending, ProxyLife, Ran, Recording, Request, Safety

if TYPE_CHECKING:
    from collections.abc import Iterator

ANSWER_SLACK = 0.5  # seconds after its client's time by which a request has to be answered
DRAIN_GRACE = 0.3  # seconds after the notification of a drain: the rule's 0.25, and 0.05 on sockets
CLIENT_GONE_GRACE = 0.1  # seconds after a client has closed
TIMEOUT_SLACK = (
    0.15  # seconds by which the timeout that a backend is given may be over what the client has left
)
WINDOW_SLACK = 0.05  # seconds
READY_TIME = 10.0  # seconds in which nine in ten restarted processes have to be ready
READY_SHARE = 0.9
BAD_CLIENT_TIME = 3.0  # seconds
TAKEN_AFTER_TERMINATION = 0.7  # seconds after SIGTERM from which what SIGKILL finds unanswered is lost
MEASURING_SLACK = 0.05  # seconds between what happens and its being recorded, on an idle machine
LAG_NEIGHBOURHOOD = 0.5  # seconds before and after a moment in which lateness of the run counts
HELD_UP_SLACK = 0.15  # seconds that a process may be held up between reading its clock and writing
REJECTED = (429, 503)
MAX_SHOWN_LINES = 30  # of a log, from a line on that shows a defect
LOG_MARKS = ("violation", "Traceback", "exception was never retrieved", "Fatal error")


class Rule(StrEnum):
    """A rule that a run may break."""

    LOST = "lost"
    LATE = "late"
    FORGED = "forged"
    REPEATED = "repeated"
    REJECTED_AFTER_RUN = "rejected_after_run"
    DRAIN = "drain"
    CLIENT_GONE = "client_gone"
    TIMEOUT_TOO_LONG = "timeout_too_long"
    CRASH = "crash"
    NOT_READY = "not_ready"
    BAD_CLIENT = "bad_client"
    LOGGED = "logged"
    LENGTHLESS = "lengthless"


@dataclass(slots=True, frozen=True)
class Violation:
    """One broken rule, with what to look for in the logs."""

    rule: Rule
    at: float
    detail: str


class Judge:
    """Judges one recording."""

    def __init__(self, recording: Recording) -> None:
        self._recording = recording
        self._lives: dict[int, list[ProxyLife]] = defaultdict(list)
        for life in recording.lives:
            self._lives[life.proxy].append(life)
        self._arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in sorted(recording.arrivals, key=lambda each: each.at):
            self._arrivals[arrival.id].append(arrival)
        self._requests: dict[str, list[Request]] = defaultdict(list)
        for request in recording.requests:
            self._requests[request.id].append(request)
        self._lags = sorted(recording.lags)

    def violations(self) -> list[Violation]:
        """Return all broken rules, in the order of time."""
        found = [
            *(each for request in self._recording.requests for each in self._judge_request(request)),
            *(each for arrivals in self._arrivals.values() for each in self._judge_repeats(arrivals)),
            *(each for arrival in self._recording.arrivals for each in self._judge_arrival(arrival)),
            *(each for drain in self._recording.drains for each in self._judge_drain(drain)),
            *(each for life in self._recording.lives for each in self._judge_life(life)),
            *self._judge_readiness(),
            *self._judge_bad_clients(),
            *self._judge_lengthless(),
        ]
        return sorted(found, key=lambda violation: violation.at)

    # ---- what is allowed for -------------------------------------------------------------------

    def _slack(self, at: float, proxy: int) -> float:
        """Return the seconds by which a moment may seem late for reasons outside of the proxy."""
        begin = bisect_left(self._lags, (at - LAG_NEIGHBOURHOOD, 0.0))
        end = bisect_right(self._lags, (at + LAG_NEIGHBOURHOOD, float("inf")))
        lag = max((seconds for _, seconds in self._lags[begin:end]), default=0.0)
        near = (
            span.end - span.begin
            for life in self._lives.get(proxy, [])
            for span in life.held_up
            if span.begin - LAG_NEIGHBOURHOOD <= at <= span.end + LAG_NEIGHBOURHOOD
        )
        return MEASURING_SLACK + lag + min(HELD_UP_SLACK, max(near, default=0.0))

    def _life_at(self, proxy: int, at: float) -> ProxyLife | None:
        """Return the process that a proxy had at a moment."""
        return next(
            (life for life in self._lives.get(proxy, []) if life.started_at <= at < life.ended_at), None
        )

    def _is_excused(self, request: Request) -> bool:
        """Return whether its proxy was killed with the request, and did not owe the answer any more."""
        for life in self._lives.get(request.proxy, []):
            if not life.started_at <= request.sent_at <= life.ended_at + MEASURING_SLACK:
                continue
            killed = life.killed_at < request.ended_at + MEASURING_SLACK
            late = request.sent_at > life.terminated_at + TAKEN_AFTER_TERMINATION
            if killed and (life.terminated_at == float("inf") or not late):
                return True
        return False

    # ---- requests ------------------------------------------------------------------------------

    def _judge_request(self, request: Request) -> Iterator[Violation]:
        due_at = max(request.sent_at + request.timeout, request.turn_by) + ANSWER_SLACK
        where = f"request {request.id} at proxy {request.proxy}, sent {request.sent_at:.3f}"
        if request.ending is Ending.NONE and not self._is_excused(request):
            yield Violation(Rule.LOST, due_at, f"{where}: no answer")
        if request.ending is Ending.CLOSED and self._counts_as_lost(request):
            yield Violation(
                Rule.LOST, request.ended_at, f"{where}: closed at {request.ended_at:.3f}, no answer"
            )
        if request.ending is not Ending.ANSWERED:
            return
        if request.ended_at > due_at + self._slack(request.ended_at, request.proxy):
            yield Violation(
                Rule.LATE, request.ended_at, f"{where}: answered {request.ended_at - due_at:.3f} late"
            )
        if request.status == 200 and not request.body_is_genuine:
            yield Violation(Rule.FORGED, request.ended_at, f"{where}: a body that no backend made for it")
        if request.status in REJECTED and request.safety is Safety.NON_IDEMPOTENT:
            runs = [each for each in self._arrivals.get(request.id, []) if each.ran is not Ran.NEVER]
            if runs:
                yield Violation(
                    Rule.REJECTED_AFTER_RUN, request.ended_at, f"{where}: {request.status} after {runs[0]}"
                )

    def _counts_as_lost(self, request: Request) -> bool:
        """Return whether a request whose connection ended without an answer was lost.

        Where a connection that had served before ends, the request may have crossed its end unread, and is
        sent once more. It was read if it arrived at a backend by this proxy.
        """
        if self._is_excused(request):
            return False
        was_read = any(
            arrival.proxy == request.proxy and request.began_at <= arrival.at <= request.ended_at
            for arrival in self._arrivals.get(request.id, [])
        )
        return was_read or (request.new_connection and not request.pipelined)

    # ---- arrivals ------------------------------------------------------------------------------

    def _judge_repeats(self, arrivals: list[Arrival]) -> Iterator[Violation]:
        """Judge all arrivals of one id, in the order of time."""
        requests = self._requests.get(arrivals[0].id, [])
        if not requests or requests[0].safety is Safety.IDEMPOTENT:
            return
        first = next((arrival for arrival in arrivals if arrival.ran is not Ran.NEVER), None)
        for arrival in arrivals:
            if first is None or arrival.at <= first.at:
                continue
            elapsed = arrival.at - first.at
            window = (
                self._recording.deduplication_window + WINDOW_SLACK + self._slack(arrival.at, arrival.proxy)
            )
            if requests[0].safety is Safety.NON_IDEMPOTENT or elapsed > window:
                yield Violation(
                    Rule.REPEATED,
                    arrival.at,
                    f"request {arrival.id}: {first}, then {elapsed:.3f} s later {arrival}",
                )

    def _judge_arrival(self, arrival: Arrival) -> Iterator[Violation]:
        slack = self._slack(arrival.at, arrival.proxy)
        sent = [each for each in self._requests.get(arrival.id, []) if each.proxy == arrival.proxy]
        left = [each for each in sent if each.ending is Ending.LEFT]
        if left and len(left) == len(sent):
            gone_for = arrival.at - max(each.ended_at for each in left)
            if gone_for > CLIENT_GONE_GRACE + slack:
                yield Violation(
                    Rule.CLIENT_GONE, arrival.at, f"{arrival}: its client left {gone_for:.3f} s before"
                )
        if sent:
            client_time = max(each.sent_at + each.timeout for each in sent)
            excess = arrival.timeout - (client_time - arrival.at)
            if excess > TIMEOUT_SLACK + slack:
                yield Violation(
                    Rule.TIMEOUT_TOO_LONG, arrival.at, f"{arrival}: a timeout {excess:.3f} s too long"
                )

    def _judge_drain(self, drain: Drain) -> Iterator[Violation]:
        for arrival in self._recording.arrivals:
            if arrival.backend != drain.backend or arrival.began_at >= drain.ended_at:
                continue
            notified_at = drain.notified_at.get(arrival.proxy)
            if notified_at is None:
                continue
            late = arrival.began_at - notified_at - DRAIN_GRACE
            if late > self._slack(arrival.began_at, arrival.proxy):
                yield Violation(
                    Rule.DRAIN,
                    arrival.began_at,
                    f"{arrival}: {late:.3f} s after the grace of {notified_at:.3f}",
                )

    # ---- processes -----------------------------------------------------------------------------

    def _judge_life(self, life: ProxyLife) -> Iterator[Violation]:
        ended = life.exit_code is not None
        asked = life.terminated_at < float("inf") or life.killed_at < float("inf")
        if ended and (not asked or (life.exit_code != 0 and life.killed_at == float("inf"))):
            yield Violation(
                Rule.CRASH, life.ended_at, f"proxy {life.proxy} ended with {life.exit_code}: {life.log[-3:]}"
            )
        for position, line in enumerate(life.log):
            if any(mark in line for mark in LOG_MARKS):
                shown = " / ".join(life.log[position : position + MAX_SHOWN_LINES])
                yield Violation(Rule.LOGGED, life.started_at, f"proxy {life.proxy}: {shown}")

    def _judge_readiness(self) -> Iterator[Violation]:
        long_enough = [
            life
            for life in self._recording.lives
            if min(life.ended_at, life.killed_at) - life.started_at > READY_TIME
        ]
        late = [life for life in long_enough if life.ready_at - life.started_at > READY_TIME]
        if len(late) > (1.0 - READY_SHARE) * len(long_enough):
            yield Violation(
                Rule.NOT_READY, late[0].started_at, f"{len(late)} of {len(long_enough)} are not ready"
            )

    def _judge_bad_clients(self) -> Iterator[Violation]:
        for client in self._recording.bad_clients:
            waited = client.ended_at - client.stopped_at
            life = self._life_at(client.proxy, client.stopped_at)
            if life is None or life.killed_at < client.stopped_at + BAD_CLIENT_TIME:
                continue
            if waited > BAD_CLIENT_TIME + self._slack(client.stopped_at + BAD_CLIENT_TIME, client.proxy):
                yield Violation(
                    Rule.BAD_CLIENT, client.stopped_at, f"proxy {client.proxy}: held it {waited:.3f} s"
                )

    def _judge_lengthless(self) -> Iterator[Violation]:
        """Judge whether half of the whole answers without a length were passed on to clients that waited."""
        completed = [each for each in self._recording.arrivals if not each.has_length and each.completed]
        waited = [
            request
            for each in completed
            for request in self._requests.get(each.id, [])
            if request.proxy == each.proxy and request.ending is Ending.ANSWERED
        ]
        passed = sum(request.status == 200 for request in waited)
        if passed < len(waited) / 2.0:
            yield Violation(
                Rule.LENGTHLESS, 0.0, f"{passed} of {len(waited)} answers without a length were passed on"
            )
