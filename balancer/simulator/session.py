"""The balancers of one simulator process, and the calls of their methods that its messages mean."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, UpdateKind
from balancer.events import Action
from balancer.settings_reader import read_settings
from balancer.simulator.errors import UnknownInstanceError, UnknownListError, UnknownMessageError
from balancer.simulator.event_messages import (
    DisconnectMessage,
    EventMessage,
    IgnoredMessage,
    OutcomeMessage,
    ResponseStartMessage,
    TimerMessage,
    UpdateMessage,
    read_endpoint,
    read_outcome,
    read_request,
    read_update_kind,
)

if TYPE_CHECKING:
    from balancer.settings import Settings

Call = Callable[[float], list[Action]]  # takes the time and returns the instance's actions


class Session:
    """All instances of one process, and the numbered endpoint lists that they share read-only.

    Reading a message and carrying it out are two steps, which distinguishes a message that makes no sense
    (an error in `read`) from a defect of the balancer (an error in the call that it returns).
    """

    def __init__(self) -> None:
        self._instances: dict[int, Balancer] = {}
        self._not_started: set[int] = set()
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def read(self, message: EventMessage) -> Call:
        """Return the call that a message means.

        Raises:
            WireError: The message has an unknown name, word, list or instance.
            KeyError: The message lacks a required key.
        """
        if message["m"] == "Register":
            endpoints = tuple(read_endpoint(row) for row in message.get("Rows") or ())
            return partial(self._register, message["List"], endpoints)
        instance = message["ProxyId"]
        if message["m"] == "OpenInstance":
            settings = read_settings(message.get("Settings") or {})
            return partial(self._open, instance, settings, message.get("Entropy", 0))
        balancer = self._instances.get(instance)
        if balancer is None:
            raise UnknownInstanceError(instance)
        if message["m"] == "Call":  # the two frequent messages before the others
            incoming = read_request(message)
            return lambda now: balancer.on_request(now, incoming)
        if message["m"] == "Returned":
            return _read_finished_attempt(balancer, message)
        if message["m"] == "Teardown":
            return partial(self._close, instance)
        if message["m"] == "Members":
            return self._read_update(balancer, message)
        return _read_rare_event(balancer, message)

    def _register(self, number: int, endpoints: tuple[Endpoint, ...], _now: float) -> list[Action]:
        self._lists[number] = endpoints
        return []

    def _open(self, instance: int, settings: Settings, seed: int, _now: float) -> list[Action]:
        self._instances[instance] = Balancer(settings, seed)
        self._not_started.add(instance)
        return []

    def _close(self, instance: int, _now: float) -> list[Action]:
        del self._instances[instance]
        self._not_started.discard(instance)
        return []

    def _read_update(self, balancer: Balancer, message: UpdateMessage) -> Call:
        kind = read_update_kind(message)
        endpoints: tuple[Endpoint, ...] = ()
        if kind is not UpdateKind.FAILED:
            number = message["List"]
            if number not in self._lists:
                raise UnknownListError(number)
            endpoints = self._lists[number]
        return partial(self._update, message["ProxyId"], balancer, kind, endpoints)

    def _update(
        self, instance: int, balancer: Balancer, kind: UpdateKind, endpoints: tuple[Endpoint, ...], now: float
    ) -> list[Action]:
        """Hand an update to its instance; the first one also starts the instance."""
        actions = balancer.on_endpoints_updated(now, kind, endpoints)
        if instance in self._not_started:
            self._not_started.discard(instance)
            actions += balancer.start(now)
        return actions


def _read_finished_attempt(balancer: Balancer, message: OutcomeMessage) -> Call:
    outcome = read_outcome(message)
    request_id, number = message["Ref"], message.get("RoundNo", 0)
    latency, last = message.get("CostTime", 0.0), message.get("Last", False)
    return lambda now: balancer.on_attempt_finished(now, request_id, number, outcome, latency, last=last)


def _read_rare_event(
    balancer: Balancer, message: TimerMessage | DisconnectMessage | ResponseStartMessage | IgnoredMessage
) -> Call:
    if message["m"] == "Wake":
        token = message["Tag"]
        return lambda now: balancer.on_timer(now, token)
    if message["m"] == "Aborted":
        request_id = message["Ref"]
        return lambda now: balancer.on_client_disconnected(now, request_id)
    if message["m"] == "Started":
        request_id, number = message["Ref"], message.get("RoundNo", 0)
        return lambda now: balancer.on_response_started(now, request_id, number)
    if message["m"] in ("PingResult", "NeighbourSays"):
        return _ignore
    raise UnknownMessageError(message["m"])


def _ignore(_now: float) -> list[Action]:
    return []
