"""A checker of the six rules: plays legal events to a balancer and asserts on its actions."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import (
    NEVER_RAN,
    Action,
    CancelAttempt,
    Fail,
    Outcome,
    PollEndpoints,
    Reject,
    SetTimer,
    StartAttempt,
)
from balancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass, Settings


@dataclass
class Try:
    """One attempt as the checker sees it."""

    row: Endpoint
    sent: float
    until: float
    how: Outcome | None = None

    @property
    def maybe_ran(self) -> bool:
        return self.how is None or self.how not in NEVER_RAN


@dataclass
class Owed:
    """One request as the checker sees it."""

    kind: int
    deadline: float
    classes: list[RequestClass]  # its own as admitted, and what later settings said of that name meanwhile
    limits: list[Limits]
    tries: list[Try] = field(default_factory=list)
    finals: int = 0
    ended: bool = False
    begun: bool = False


class Checker:
    """Feeds events to one balancer; every broken rule is an AssertionError."""

    def __init__(self, settings: Settings, seed: int, rows: list[Endpoint]) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = 100.0
        self.rows: dict[int, Endpoint] = {}
        self.owed: dict[str, Owed] = {}
        self.timers: list[tuple[float, int]] = []
        self.sends: dict[int, list[float]] = {}
        self.subscribed = 0
        self.count = 0
        self.taken: list[float] = []
        self.further: list[float] = []
        self.members(UpdateKind.CACHED, rows)
        self.apply(self.balancer.start(self.now))

    def members(self, kind: UpdateKind, rows: list[Endpoint]) -> None:
        if kind in (UpdateKind.CACHED, UpdateKind.SNAPSHOT):
            self.rows = {r.id: r for r in rows}
        elif kind is UpdateKind.DELTA:
            self.rows.update({r.id: r for r in rows})
        self.apply(self.balancer.on_endpoints_updated(self.now, kind, rows))

    def request(self, kind: int, wait: float, tenant: int = 0) -> str:
        self.count += 1
        self.taken.append(self.now)
        rid = f"r{self.count}"
        self.owed[rid] = Owed(kind, self.now + wait, [self.settings.classes[kind]], [self.settings.limits])
        self.apply(self.balancer.on_request(self.now, rid, kind, tenant, self.now + wait))
        return rid

    def reconfigure(self, settings: Settings) -> None:
        """Swap the settings; what is owed from before is held to every reading since it was admitted."""
        self.settings = settings
        stated = {row.name: row for row in settings.classes}
        for owed in self.owed.values():
            owed.limits.append(settings.limits)
            if owed.classes[0].name in stated:
                owed.classes.append(stated[owed.classes[0].name])
        self.apply(self.balancer.reconfigure(self.now, settings))

    def open_tries(self) -> list[tuple[str, int]]:
        return [(rid, n) for rid, o in self.owed.items() for n, t in enumerate(o.tries) if t.how is None]

    def end(self, rid: str, number: int, how: Outcome) -> None:
        owed = self.owed[rid]
        attempt = owed.tries[number]
        attempt.how = how
        if (how is Outcome.SUCCESS or owed.begun) and not owed.ended:
            owed.finals += 1
            owed.ended = True
        self.apply(
            self.balancer.on_attempt_finished(self.now, rid, number, how, self.now - attempt.sent, owed.ended)
        )

    def leave(self, rid: str) -> None:
        owed = self.owed[rid]
        if not owed.ended:
            owed.ended = True
            owed.finals += 1  # nothing is owed any more
        self.apply(self.balancer.on_client_disconnected(self.now, rid))

    def begin(self, rid: str, number: int) -> None:
        """The answer has begun as a stream: it belongs to one attempt and knows no deadline."""
        owed = self.owed[rid]
        self.apply(self.balancer.on_response_started(self.now, rid, number))
        owed.begun = True
        owed.tries[number].until = owed.deadline = float("inf")

    def advance(self, span: float) -> None:
        target = self.now + span
        while True:
            due = [
                (t.until, 0, rid, n)
                for rid, o in self.owed.items()
                for n, t in enumerate(o.tries)
                if t.how is None
            ]
            due += [(at, 1, "", token) for at, token in self.timers]
            due = [d for d in due if d[0] <= target]
            if not due:
                break
            at, what, rid, n = min(due)
            self.now = max(self.now, at)
            if what:
                self.timers.remove((at, n))
                self.apply(self.balancer.on_timer(self.now, n))
            else:
                self.end(rid, n, Outcome.TIMEOUT)
        self.now = target
        slack = self.settings.rules.answer_slack
        for rid, owed in self.owed.items():
            if self.now > owed.deadline + slack:
                assert owed.finals == 1, f"{rid} has {owed.finals} final answers after its deadline"

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                assert action.at >= self.now
                self.timers.append((max(action.at, self.now + 1e-6), action.token))
            elif isinstance(action, PollEndpoints):
                self.subscribed += 1
            elif isinstance(action, StartAttempt):
                self.sent(action)
            elif isinstance(action, CancelAttempt):
                owed = self.owed[action.request]
                assert all(limits.cancel for limits in owed.limits), "cancel is not permitted"
                attempt = owed.tries[action.attempt]
                assert attempt.how is None, "cancelled an attempt that had ended"
                attempt.until = self.now  # ends at once, as cancelled or as something on its way
            else:
                self.final(action)

    def sent(self, action: StartAttempt) -> None:
        owed = self.owed[action.request]
        assert not owed.ended, "sent after the final answer"
        assert not owed.begun, "sent after its stream began"
        row = self.rows[action.endpoint]
        assert row.status is EndpointStatus.UP, "sent to a server that drains or is gone"
        for limits in owed.limits:
            assert len(owed.tries) < limits.max_attempts
            if any(t.how is None for t in owed.tries):
                assert limits.hedging, "a second copy is not permitted"
        for kind in owed.classes:
            self.placed(owed, kind, row)
        rules = self.settings.rules
        if owed.tries:
            self.further.append(self.now)
        if owed.tries and rules.retry_budget_window:
            since = self.now - rules.retry_budget_window
            most = rules.retry_budget_floor + rules.retry_budget_ratio * sum(t > since for t in self.taken)
            assert sum(t >= since for t in self.further) <= most, "beyond the attempt budget"
        until = owed.deadline
        if action.timeout > 0.0:
            until = min(until, self.now + action.timeout)
        owed.tries.append(Try(replace(row), self.now, until))
        self.sends.setdefault(action.endpoint, []).append(self.now)

    def placed(self, owed: Owed, kind: RequestClass, row: Endpoint) -> None:
        for bound, place in ((kind.allowed_machine_types, row.machine_type), (kind.allowed_zones, row.zone)):
            assert bound is None or place in bound, "sent to a server that is not open to its class"
        maybe = [t for t in owed.tries if t.maybe_ran]
        if maybe and kind.idempotency is not Idempotency.IDEMPOTENT:
            assert kind.idempotency is Idempotency.KEYED, "an unsafe request was sent twice"
            assert self.now - min(t.sent for t in maybe) <= kind.deduplication_window, (
                "repeated after its window"
            )
            for t in maybe:
                if kind.deduplication_scope is DeduplicationScope.ZONE:
                    assert t.row.zone == row.zone, "repeated in another zone"
                if kind.deduplication_scope is DeduplicationScope.CELL:
                    assert t.row.cell == row.cell, "repeated in another cell"

    def final(self, action: Reject | Fail) -> None:
        owed = self.owed[action.request]
        assert not owed.ended, "a second final answer"
        for kind in owed.classes if isinstance(action, Reject) else ():
            harmless = kind.idempotency is Idempotency.IDEMPOTENT or not any(t.maybe_ran for t in owed.tries)
            harmless = harmless or (
                kind.idempotency is Idempotency.KEYED and kind.deduplication_scope is DeduplicationScope.ALL
            )
            assert harmless, "refused although it may have run"
        owed.ended = True
        owed.finals += 1
