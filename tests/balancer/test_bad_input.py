"""Invalid input is rejected with the name of the field; unusual input causes no other exception."""

from __future__ import annotations

import math
from dataclasses import fields
from typing import Any

import pytest

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import Fail, IncomingRequest, Outcome, Reject, StartAttempt
from balancer.settings import Limits, RequestClass, Rules, Settings, Tenant

INVALID_NUMBERS: list[Any] = [math.nan, math.inf, -math.inf, -1.0, "1", None]


@pytest.mark.parametrize("value", INVALID_NUMBERS)
@pytest.mark.parametrize("name", [item.name for item in fields(Rules)])
def test_invalid_number_in_the_rules_is_rejected_with_its_path(name: str, value: Any) -> None:
    with pytest.raises(ValueError, match=rf"rules\.{name}"):
        Balancer(Settings(rules=Rules(**{name: value})), 1)


@pytest.mark.parametrize("value", INVALID_NUMBERS)
@pytest.mark.parametrize(
    "name", ["latency_objective", "deadline", "deduplication_window", "priority_weight", "late_weight"]
)
def test_invalid_number_in_a_class_is_rejected_with_its_path(name: str, value: Any) -> None:
    with pytest.raises(ValueError, match=rf"classes\[1\]\.{name}"):
        Balancer(Settings(classes=(RequestClass(), RequestClass(**{name: value}))), 1)


@pytest.mark.parametrize("value", INVALID_NUMBERS)
@pytest.mark.parametrize("name", ["max_attempts", "max_retry_after"])
def test_invalid_number_in_the_limits_is_rejected_with_its_path(name: str, value: Any) -> None:
    with pytest.raises(ValueError, match=rf"limits\.{name}"):
        Balancer(Settings(limits=Limits(**{name: value})), 1)


@pytest.mark.parametrize("value", [math.nan, 2.0, -1.0, "x"])
def test_invalid_number_in_a_tenant_is_rejected_with_its_path(value: Any) -> None:
    with pytest.raises(ValueError, match=r"tenants\[0\]\.share"):
        Balancer(Settings(tenants=(Tenant("t", value),)), 1)


@pytest.mark.parametrize("name", ["ordinal", "tier", "zone"])
@pytest.mark.parametrize("value", [-1, 1, 0.5, True, "0"])
def test_index_out_of_range_is_rejected_with_its_name(name: str, value: Any) -> None:
    with pytest.raises(ValueError, match=name):
        Balancer(Settings(**{name: value}), 1)


def test_settings_without_classes_are_rejected() -> None:
    with pytest.raises(ValueError, match="classes"):
        Balancer(Settings(classes=()), 1)


def ready_balancer() -> Balancer:
    balancer = Balancer(Settings(), 1)
    balancer.on_endpoints_updated(1.0, UpdateKind.CACHED, [Endpoint(1), Endpoint(2)])
    return balancer


@pytest.mark.parametrize(
    ("name", "invalid"),
    [
        ("class_index", IncomingRequest("new", class_index=1)),
        ("class_index", IncomingRequest("new", class_index=-1)),
        ("class_index", IncomingRequest("new", class_index="0")),  # type: ignore[arg-type]
        ("tenant", IncomingRequest("new", tenant=1)),
        ("tenant", IncomingRequest("new", tenant=-1)),
        ("deadline", IncomingRequest("new", deadline=math.nan)),
        ("deadline", IncomingRequest("new", deadline="soon")),  # type: ignore[arg-type]
        ("cost", IncomingRequest("new", cost=-1.0)),
        ("cost", IncomingRequest("new", cost=math.inf)),
        ("request_id", IncomingRequest("open")),
    ],
)
def test_invalid_request_is_rejected_and_changes_nothing(name: str, invalid: IncomingRequest) -> None:
    balancer, twin = ready_balancer(), ready_balancer()
    for each in (balancer, twin):
        each.on_request(2.0, IncomingRequest("open"))
    with pytest.raises(ValueError, match=name):
        balancer.on_request(3.0, invalid)
    assert list(balancer.requests) == ["open"]
    assert balancer.assignment.pools[0].pending == twin.assignment.pools[0].pending
    # The random numbers that follow are the same: the invalid request has drawn none.
    assert balancer.on_request(4.0, IncomingRequest("next")) == twin.on_request(4.0, IncomingRequest("next"))


def test_request_whose_deadline_has_passed_is_rejected_at_once() -> None:
    assert ready_balancer().on_request(5.0, IncomingRequest("late", deadline=4.0)) == [Reject("late")]


def test_events_for_unknown_or_ended_requests_are_ignored() -> None:
    balancer = ready_balancer()
    assert isinstance(balancer.on_request(2.0, IncomingRequest("r"))[0], StartAttempt)
    balancer.on_attempt_finished(2.1, "r", 0, Outcome.SUCCESS, 0.1, last=True)
    for request_id in ("r", "never"):
        assert balancer.on_attempt_finished(3.0, request_id, 0, Outcome.SUCCESS, 0.1) == []
        assert balancer.on_attempt_finished(3.0, request_id, 7, Outcome.ERROR, 0.1) == []
        assert balancer.on_client_disconnected(3.0, request_id) == []
        assert balancer.on_response_started(3.0, request_id, 0) == []
    assert balancer.on_timer(3.0, 999) == []


@pytest.mark.parametrize(
    "endpoints",
    [
        [],
        [Endpoint(1, EndpointStatus.DRAINING), Endpoint(2, EndpointStatus.DRAINING)],
        [Endpoint(1, EndpointStatus.REMOVED)],
    ],
)
def test_request_is_rejected_if_no_endpoint_is_up(endpoints: list[Endpoint]) -> None:
    balancer = Balancer(Settings(), 1)
    balancer.on_endpoints_updated(1.0, UpdateKind.CACHED, endpoints)
    assert balancer.on_request(2.0, IncomingRequest("r")) == [Reject("r")]


def test_every_request_gets_an_action_while_all_endpoints_warm_up() -> None:
    balancer = Balancer(Settings(), 1)
    balancer.on_endpoints_updated(100.0, UpdateKind.CACHED, [Endpoint(i, started=100.0) for i in range(4)])
    for number in range(50):
        [action] = balancer.on_request(100.0 + number / 100, IncomingRequest(f"r{number}"))
        assert isinstance(action, StartAttempt | Reject | Fail)
