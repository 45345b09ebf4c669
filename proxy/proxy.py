"""Turns what happens on the sockets into the module's events and carries out its actions; decides nothing."""

from __future__ import annotations

import asyncio
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import replace

from balancer.decide import Balancer
from balancer.endpoints import EndpointStatus, UpdateKind
from balancer.events import (
    Action,
    CancelAttempt,
    Fail,
    Outcome,
    PollEndpoints,
    Reject,
    SetTimer,
    StartAttempt,
)
from balancer.settings import DiscoveryMode, Idempotency, RequestClass, Settings, narrow_class
from proxy import upstream
from proxy.config import Config, ConfigError
from proxy.discovery import watch as discovery
from proxy.downstream.classification import classify
from proxy.downstream.connection import DownstreamConnection
from proxy.downstream.errors import HttpError
from proxy.downstream.listener import Listener
from proxy.downstream.request_parser import ClientRequest

SPARE_SOCKETS = 48  # descriptors for the listener, discovery, the loop, and callers beyond the limit
CALLERS_PART = 0.5  # of the other descriptors
ANSWER_EARLY = 0.005  # seconds before the client's time is up: the answer still has to reach it
RETRIABLE = (408, 429)  # 4xx that are not the request's fault
COMPLAIN_EVERY = 1.0  # seconds between two tracebacks in the log
EMPTY_AFTER = 6.0  # seconds after which one that knows no server is ready too: what is told counts by then
KNOWN_AFTER = 0.3  # seconds without a word from discovery after which the list known at the start serves
IDENTITY = ("name", "listen", "seed", "sockets", "memory", "known")  # what a reload does not change

Places = tuple[int, ...] | None  # zones or types that a class is bound to


class ActiveRequest:
    """A request that a final answer is owed for, or that still has attempts out."""

    __slots__ = ("caller", "deadline", "attempts", "last", "request", "rid", "row", "timer")

    def __init__(
        self,
        rid: str,
        request: ClientRequest,
        row: RequestClass,
        caller: DownstreamConnection,
        deadline: float,
    ) -> None:
        self.rid = rid
        self.request = request
        self.row = row  # its class as admitted, narrowed by later settings
        self.caller: DownstreamConnection | None = caller  # None once nothing is owed
        self.deadline = deadline  # in the loop's time
        self.attempts: list[upstream.UpstreamAttempt] = []
        self.last = Outcome.NOT_SENT  # how its latest attempt ended
        self.timer: asyncio.TimerHandle | None = None

    def narrow(self, stated: RequestClass) -> None:
        """The settings have changed: the request may do only what its own class and the stated one allow."""
        self.row = narrow_class(self.row, stated)
        if self.row.idempotency is Idempotency.NON_IDEMPOTENT:
            for attempt in self.attempts:
                attempt.forbid_retry()

    def wanted(self) -> bool:
        """Whether somebody is still there to be answered."""
        return self.caller is not None and not self.caller.has_disconnected()

    def bytes_for(self, left: float) -> bytes:
        """The request as it goes to a backend that is waited for so many seconds."""
        request = self.request
        framed = request.body or request.method != b"GET"
        length = b"Content-Length: %d\r\n" % len(request.body) if framed else b""
        return b"%b %b HTTP/1.1\r\n%bX-Timeout: %.3f\r\n%b\r\n%b" % (
            request.method,
            request.target,
            request.forwarded_headers,
            max(left, 0.001),
            length,
            request.body,
        )


class Proxy:
    """One running proxy: the decision module between callers, backends and discovery."""

    def __init__(self, config: Config) -> None:
        self._loop = asyncio.get_running_loop()
        # One epoch for good: the list's times are comparable, and steps of the system's clock do no harm.
        self._epoch = time.time() - self._loop.time()
        self._reader = discovery.EndpointReader(config.zones, config.types)
        self._balancer = Balancer(self._numbered(config), config.seed)
        self._taken = 1  # configurations, one after another
        self._backends: dict[int, upstream.Backend] = {}
        self._calls: dict[str, ActiveRequest] = {}
        self._open: set[bytes] = set()  # the callers' ids of the requests that an answer is owed for
        self._count = 0
        self._complained = float("-inf")
        sockets = max(8, config.sockets - SPARE_SOCKETS)
        callers = int(CALLERS_PART * sockets)
        self._upstream = upstream.ConnectionPool(
            sockets - callers, config.conn_idle, config.dial_timeout, config.memory
        )
        self.front = Listener(config, callers, self._request)
        self._discovery = discovery.DiscoveryClient(
            config.discovery, self._reader, config.known["index"], self._told
        )
        self.loaded = asyncio.Event()  # the list was told, or nobody is there to tell it
        self._members(UpdateKind.CACHED, self._reader.endpoints(config.known))
        self._perform(self._decide(self._balancer.start))
        if config.settings.discovery is DiscoveryMode.PUSHED:
            self._discovery.open()
        # Guards against a discovery that is down at the start: an old list serves better than none.
        wait = self._loaded if config.known["endpoints"] else self.loaded.set
        self._loop.call_later(KNOWN_AFTER, wait)
        # Guards a tier that starts without a list while discovery is down: all have to be ready within 10 s.
        self._loop.call_later(EMPTY_AFTER, self._loaded)

    def reload(self, config: Config) -> list[str]:
        """Take over what a new configuration may change while the proxy runs, whole and in one instant.

        That is its settings and where discovery is; what identifies the process stays. Returns a line of text
        for each thing to tell. Raises ConfigError, with nothing changed, where the settings need a restart.
        """
        before = self.front.config
        kept = {name: getattr(before, name) for name in IDENTITY}
        lines = [
            f"{name} is another, which needs a restart: the one of the start stays"
            for name, value in kept.items()
            if getattr(config, name) != value
        ]
        moved = replace(before, discovery=config.discovery)
        config = replace(config, **kept)
        if config != moved and self.front.draining:  # Guards what the end goes by; the list still counts.
            lines.append(f"the process is ending: version {self.front.version} stays")
            config = moved
        elif config != moved:
            self._swap(config)
            self._taken += 1
            self.front.version = config.version(self._taken)
            lines.append(f"version {self.front.version} is in force")
        if config.discovery != before.discovery:
            lines.append("discovery is at {}:{}".format(*config.discovery))
        self.front.config = config
        self._discovery.move(config.discovery)
        return lines

    def _swap(self, config: Config) -> None:
        """Put settings in force; ConfigError, with nothing changed, where they need a restart."""
        try:
            actions = self._balancer.reconfigure(self._now(), self._numbered(config))
        except ValueError as fault:
            raise ConfigError(str(fault)) from fault
        self._perform(actions)
        rows = {row.name: row for row in config.settings.classes}
        for call in self._calls.values():
            call.narrow(rows.get(call.row.name, call.row))
        self._upstream.reconfigure(config.conn_idle, config.dial_timeout)
        self._upstream.set_idle_quota(len(self._backends), config.settings.fleet_size)
        for rid, number in self._balancer.misplaced_attempts():
            attempts = self._calls[rid].attempts if rid in self._calls else []
            # Guards placement: what has not begun goes elsewhere.
            if attempts and attempts[number].connection is None:
                attempts[number].finish(Outcome.NOT_SENT)

    def _numbered(self, config: Config) -> Settings:
        """The settings with the numbers that zones and types have for as long as this process lives."""

        def numbers(places: Places, names: dict[str, int], known: discovery.NameIndex) -> Places:
            if places is None:
                return None
            listed = list(names)
            return tuple(sorted({known.of(listed[place]) for place in places}))

        return replace(
            config.settings,
            classes=tuple(
                replace(
                    row,
                    allowed_machine_types=numbers(
                        row.allowed_machine_types, config.types, self._reader.types
                    ),
                    allowed_zones=numbers(row.allowed_zones, config.zones, self._reader.zones),
                )
                for row in config.settings.classes
            ),
        )

    def _now(self) -> float:
        return self._loop.time() + self._epoch

    def _decide(
        self, method: Callable[..., list[Action]], *args: object, call: ActiveRequest | None = None
    ) -> list[Action]:
        """Ask the module; an exception there fails the request that it was about, and nothing else."""
        try:
            return method(self._now(), *args)
        except Exception:  # noqa: BLE001 - a defect of the decisions must not end the other requests
            self._complain()
            if call is not None:
                self._abandon(call)
            return []

    def _complain(self) -> None:
        """Guards the loop against a log that nobody empties: writing to a full pipe would stop it."""
        now = self._loop.time()
        if now - self._complained >= COMPLAIN_EVERY:
            self._complained = now
            traceback.print_exc()
            sys.stderr.flush()

    # ---- the list ----------------------------------------------------------------------------

    def _told(self, kind: UpdateKind, endpoints: list[discovery.DiscoveredEndpoint]) -> None:
        if endpoints or kind is not UpdateKind.DELTA:
            self._members(kind, endpoints)
        self._loaded()

    def _loaded(self) -> None:
        self.front.ready = True
        self.loaded.set()

    def _members(self, kind: UpdateKind, endpoints: list[discovery.DiscoveredEndpoint]) -> None:
        listed = {endpoint.row.id for endpoint in endpoints}
        if kind is not UpdateKind.DELTA:
            for server in self._backends.keys() - listed:
                self._remove(server)
        for endpoint in endpoints:
            row = endpoint.row
            if row.status is EndpointStatus.GONE:
                self._remove(row.id)
                continue
            backend = self._backends.setdefault(row.id, upstream.Backend(endpoint.address))
            self._upstream.update_backend(
                backend, endpoint.address, row.started, row.status is EndpointStatus.UP
            )
        self._upstream.set_idle_quota(len(self._backends), self._balancer.settings.fleet_size)
        self._perform(
            self._decide(self._balancer.on_endpoints_updated, kind, [endpoint.row for endpoint in endpoints])
        )

    def _remove(self, server: int) -> None:
        """Guards memory against backends that are gone for good; attempts that are out keep theirs."""
        backend = self._backends.pop(server, None)
        if backend is not None:
            self._upstream.update_backend(backend, backend.address, backend.started_at, False)

    # ---- requests ------------------------------------------------------------------------------

    def _request(self, request: ClientRequest, caller: DownstreamConnection) -> None:
        facts = classify(request, self.front.config)
        name = request.headers[b"x-request-id"]
        if name in self._open:  # Guards against a second request that backends would take for the first.
            raise HttpError(409, "a request with this id is open")
        self._open.add(name)
        deadline = min(request.received_at + facts.timeout, self.front.final_deadline) - ANSWER_EARLY
        self._count += 1
        call = ActiveRequest(str(self._count), request, facts.request_class, caller, deadline)
        self._calls[call.rid] = call
        caller.on_disconnect = lambda: self._gone(call)
        call.timer = self._loop.call_at(deadline, self._overdue, call)
        self._perform(
            self._decide(
                self._balancer.on_request,
                call.rid,
                facts.class_index,
                facts.tenant_index,
                deadline + self._epoch,
                facts.cost,
                facts.is_retry,
                call=call,
            )
        )

    def _gone(self, call: ActiveRequest) -> None:
        self._settle(call)
        self._perform(self._decide(self._balancer.on_client_disconnected, call.rid, call=call))
        self._unsend(call)

    def _unsend(self, call: ActiveRequest) -> None:
        """Send nothing more for a request that is over; cancels, if allowed, are for what is out."""
        if call.caller is None:
            for attempt in tuple(call.attempts):
                if attempt.connection is None:
                    attempt.finish(Outcome.NOT_SENT)

    def _overdue(self, call: ActiveRequest) -> None:
        """The client's time is up: an answer is owed now, whatever the module says."""
        for attempt in tuple(call.attempts):
            attempt.expire()
        if call.caller is not None:
            self._abandon(call)

    def _abandon(self, call: ActiveRequest) -> None:
        """Fail a request that the module did not answer, and tell it so."""
        self._answer(call, 504 if self._loop.time() >= call.deadline else 500, b"", b"")
        self._perform(self._decide(self._balancer.on_client_disconnected, call.rid))
        for attempt in tuple(call.attempts):
            attempt.finish(Outcome.CANCELLED)

    def _answer(self, call: ActiveRequest, status: int, head: bytes, body: bytes) -> None:
        caller = call.caller
        self._settle(call)
        if caller is not None:
            caller.send_response(status, head, body)

    def _settle(self, call: ActiveRequest) -> None:
        """Nothing is owed any more."""
        if call.caller is not None:
            self._open.discard(call.request.headers[b"x-request-id"])
        call.caller = None
        if call.timer is not None:
            call.timer.cancel()
        self._forget(call)

    def _forget(self, call: ActiveRequest) -> None:
        if call.caller is None and all(attempt.finished for attempt in call.attempts):
            self._calls.pop(call.rid, None)
            call.attempts.clear()  # Guards memory: a call and its attempts hold each other.

    # ---- the module's actions ----------------------------------------------------------------

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self._loop.call_at(action.at - self._epoch, self._timer, action.token)
            elif isinstance(action, PollEndpoints):
                self._discovery.open()
            else:
                self._act(action)

    def _timer(self, token: int) -> None:
        self._perform(self._decide(self._balancer.on_timer, token))

    def _act(self, action: StartAttempt | Reject | Fail | CancelAttempt) -> None:
        call = self._calls.get(action.request)
        if call is None:
            return
        if isinstance(action, StartAttempt):
            self._send(call, action)
        elif isinstance(action, CancelAttempt):
            call.attempts[action.attempt].finish(Outcome.CANCELLED)
        elif isinstance(action, Reject):
            head = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0.0 else b""
            self._answer(call, 503, head, b"refused\n")
        else:
            self._answer(call, 504 if call.last is Outcome.TIMEOUT else 502, b"", b"failed\n")

    def _send(self, call: ActiveRequest, action: StartAttempt) -> None:
        now = self._loop.time()
        until = min(call.deadline, now + action.timeout) if action.timeout > 0.0 else call.deadline
        number = len(call.attempts)

        def report(
            attempt: upstream.UpstreamAttempt, outcome: Outcome, response: upstream.UpstreamResponse | None
        ) -> None:
            self._outcome(call, number, attempt, outcome, response)

        repeatable = call.row.idempotency is not Idempotency.NON_IDEMPOTENT
        backend = self._backends[action.endpoint]
        attempt = upstream.UpstreamAttempt(
            backend, now, until, call.bytes_for, report, repeatable, call.wanted
        )
        call.attempts.append(attempt)
        if attempt.is_wanted():
            self._upstream.start(attempt)
        else:
            self._gone(call)

    def _outcome(
        self,
        call: ActiveRequest,
        number: int,
        attempt: upstream.UpstreamAttempt,
        outcome: Outcome,
        response: upstream.UpstreamResponse | None,
    ) -> None:
        now = self._loop.time()
        call.last = outcome
        if response is not None and 400 <= response.status < 500 and response.status not in RETRIABLE:
            # Guards backends against callers: the request is at fault, and would be anywhere else.
            self._answer(call, response.status, b"", b"rejected\n")
            self._perform(self._decide(self._balancer.on_client_disconnected, call.rid, call=call))
            outcome = Outcome.NOT_SENT
        elif outcome is Outcome.SUCCESS and response is not None:
            if now <= call.deadline:
                self._answer(call, 200, response.head, response.body)
            else:  # Guards the client's deadline against a late timer.
                outcome = Outcome.TIMEOUT
        self._forget(call)
        self._perform(
            self._decide(
                self._balancer.on_attempt_finished,
                call.rid,
                number,
                outcome,
                now - attempt.started_at,
                call.caller is None,
                call=call,
            )
        )
        self._unsend(call)
