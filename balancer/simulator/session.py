"""The balancers of one simulator process, and the calls that its messages stand for."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, UpdateKind
from balancer.events import Action, IncomingRequest
from balancer.settings_reader import read_settings
from balancer.simulator.messages import OUTCOMES, UPDATE_KINDS, WireError, read_endpoint

if TYPE_CHECKING:
    from balancer.settings import Settings

Message = dict[str, Any]
Call = Callable[[float], list[Action]]  # takes the time and returns the instance's actions


def _ignore(_now: float) -> list[Action]:
    return []


class Session:
    """All instances of one process, and the numbered endpoint lists that they share read-only.

    Reading a message and carrying it out are two steps, so that a message that makes no sense (WireError,
    KeyError, TypeError from `read`) is told apart from a defect of the decisions (from the call it returns).
    """

    def __init__(self) -> None:
        self._instances: dict[int, Balancer] = {}
        self._not_started: set[int] = set()
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def read(self, message: Message) -> Call:
        """Return the call that a message stands for."""
        name = message["m"]
        if name == "Register":
            rows = tuple(read_endpoint(row) for row in message.get("Rows") or ())
            return partial(self._register, message["List"], rows)
        instance = message["ProxyId"]
        if name == "OpenInstance":
            settings = read_settings(message.get("Settings") or {})
            return partial(self._open, instance, settings, message.get("Entropy", 0))
        balancer = self._instances.get(instance)
        if balancer is None:
            raise WireError(f"instance {instance} was never opened")
        if name == "Teardown":
            return partial(self._close, instance)
        if name == "Members":
            return self._read_update(balancer, message)
        reader = READERS.get(name)
        if reader is None:
            raise WireError(f"unknown message {name!r}")
        return reader(balancer, message)

    def _register(self, number: int, rows: tuple[Endpoint, ...], _now: float) -> list[Action]:
        self._lists[number] = rows
        return []

    def _open(self, instance: int, settings: Settings, seed: int, _now: float) -> list[Action]:
        self._instances[instance] = Balancer(settings, seed)
        self._not_started.add(instance)
        return []

    def _close(self, instance: int, _now: float) -> list[Action]:
        del self._instances[instance]
        self._not_started.discard(instance)
        return []

    def _read_update(self, balancer: Balancer, message: Message) -> Call:
        kind = UPDATE_KINDS[message["Mode"]]
        rows: tuple[Endpoint, ...] = ()
        if kind is not UpdateKind.FAILED:
            number = message["List"]
            if number not in self._lists:
                raise WireError(f"unknown list number {number}")
            rows = self._lists[number]
        return partial(self._update, message["ProxyId"], balancer, kind, rows)

    def _update(
        self, instance: int, balancer: Balancer, kind: UpdateKind, rows: tuple[Endpoint, ...], now: float
    ) -> list[Action]:
        """Hand on an update; the first one also starts the instance."""
        actions = balancer.on_endpoints_updated(now, kind, rows)
        if instance in self._not_started:
            self._not_started.discard(instance)
            actions += balancer.start(now)
        return actions


def _read_request(balancer: Balancer, message: Message) -> Call:
    request = IncomingRequest(
        message["Ref"],
        class_index=message.get("Kind", 0),
        tenant=message.get("ClientGroup", 0),
        deadline=message.get("Deadline"),
        cost=message.get("Effort", 0.0),
        is_retry=message.get("Retry", False),
    )
    return lambda now: balancer.on_request(now, request)


def _read_outcome(balancer: Balancer, message: Message) -> Call:
    outcome = OUTCOMES[message["How"]]
    request, attempt = message["Ref"], message.get("RoundNo", 0)
    latency, last = message.get("CostTime", 0.0), message.get("Last", False)
    return lambda now: balancer.on_attempt_finished(now, request, attempt, outcome, latency, last=last)


def _read_timer(balancer: Balancer, message: Message) -> Call:
    token = message["Tag"]
    return lambda now: balancer.on_timer(now, token)


def _read_disconnect(balancer: Balancer, message: Message) -> Call:
    request = message["Ref"]
    return lambda now: balancer.on_client_disconnected(now, request)


def _read_response_start(balancer: Balancer, message: Message) -> Call:
    request, attempt = message["Ref"], message.get("RoundNo", 0)
    return lambda now: balancer.on_response_started(now, request, attempt)


def _read_nothing(_balancer: Balancer, _message: Message) -> Call:
    return _ignore


READERS: dict[str, Callable[[Balancer, Message], Call]] = {
    "Call": _read_request,
    "Returned": _read_outcome,
    "Wake": _read_timer,
    "Aborted": _read_disconnect,
    "Started": _read_response_start,
    "PingResult": _read_nothing,
    "NeighbourSays": _read_nothing,
}
