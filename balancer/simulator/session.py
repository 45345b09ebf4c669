"""The balancers of one simulator process, and the method call for each message."""

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

BalancerCall = Callable[[float], list[Action]]  # takes the time and returns the actions of the instance


class Session:
    """All instances of one process, and the numbered endpoint lists that they share read-only.

    Reading a message and executing it are separate steps. This distinguishes an invalid message (an error in
    `read`) from a defect of the balancer (an error in the returned call).
    """

    def __init__(self) -> None:
        self._instances: dict[int, Balancer] = {}
        self._not_started: set[int] = set()
        self._endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}

    def read(self, message: EventMessage) -> BalancerCall:
        """Return the call that executes a message.

        Raises:
            ProtocolError: The message has an unknown name, value, list or instance.
            KeyError: The message lacks a required key.
        """
        if message["m"] == "Register":
            endpoints = tuple(read_endpoint(row) for row in message.get("Rows") or ())
            return partial(self._register, message["List"], endpoints)
        instance = message["ProxyId"]
        if message["m"] == "OpenInstance":
            settings = read_settings(message.get("Settings") or {})
            return partial(self._open_instance, instance, settings, message.get("Entropy", 0))
        balancer = self._instances.get(instance)
        if balancer is None:
            raise UnknownInstanceError(instance)
        if message["m"] == "Call":  # the two most frequent messages are checked first
            incoming = read_request(message)
            return lambda now: balancer.on_request(now, incoming)
        if message["m"] == "Returned":
            return _read_finished_attempt(balancer, message)
        if message["m"] == "Teardown":
            return partial(self._close_instance, instance)
        if message["m"] == "Members":
            return self._read_update(balancer, message)
        return _read_rare_event(balancer, message)

    def _register(self, list_number: int, endpoints: tuple[Endpoint, ...], _now: float) -> list[Action]:
        self._endpoint_lists[list_number] = endpoints
        return []

    def _open_instance(self, instance: int, settings: Settings, seed: int, _now: float) -> list[Action]:
        self._instances[instance] = Balancer(settings, seed)
        self._not_started.add(instance)
        return []

    def _close_instance(self, instance: int, _now: float) -> list[Action]:
        del self._instances[instance]
        self._not_started.discard(instance)
        return []

    def _read_update(self, balancer: Balancer, message: UpdateMessage) -> BalancerCall:
        kind = read_update_kind(message)
        endpoints: tuple[Endpoint, ...] = ()
        if kind is not UpdateKind.FAILED:
            list_number = message["List"]
            if list_number not in self._endpoint_lists:
                raise UnknownListError(list_number)
            endpoints = self._endpoint_lists[list_number]
        return partial(self._update, message["ProxyId"], balancer, kind, endpoints)

    def _update(
        self, instance: int, balancer: Balancer, kind: UpdateKind, endpoints: tuple[Endpoint, ...], now: float
    ) -> list[Action]:
        """Pass an update to its instance; the first update also starts the instance."""
        actions = balancer.on_endpoints_updated(now, kind, endpoints)
        if instance in self._not_started:
            self._not_started.discard(instance)
            actions += balancer.start(now)
        return actions


def _read_finished_attempt(balancer: Balancer, message: OutcomeMessage) -> BalancerCall:
    outcome = read_outcome(message)
    request_id, number = message["Ref"], message.get("RoundNo", 0)
    latency, last = message.get("CostTime", 0.0), message.get("Last", False)
    return lambda now: balancer.on_attempt_finished(now, request_id, number, outcome, latency, last=last)


def _read_rare_event(
    balancer: Balancer, message: TimerMessage | DisconnectMessage | ResponseStartMessage | IgnoredMessage
) -> BalancerCall:
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
