"""The simulator process: its replies to batches, and its errors for lines that violate the protocol."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import TYPE_CHECKING, Any, cast

import pytest

from balancer.balancer import Balancer
from balancer.events import Action, IncomingRequest, Outcome
from balancer.settings import DiscoveryMode, Idempotency
from balancer.settings_reader import read_settings
from balancer.simulator.session import Session
from testbed.paths import PROJECT_ROOT

if TYPE_CHECKING:
    from balancer.simulator.event_messages import EventMessage

Message = dict[str, Any]

SETTINGS: Message = {
    "Instances": 2,
    "Services": [
        {"Name": "x", "Aim": 1.0, "HardLimit": 4.0, "Repeat": "retryable", "Credit": 2.0},
        {"Name": "y", "Aim": 1.0, "HardLimit": 4.0, "Repeat": "fragile", "Credit": 5.0, "LateWorth": 0.8},
    ],
    "Bounds": {"Cancel": True, "MaxAttempts": 3, "MaxRetryAfter": 2.5, "RetryAfter": True, "Unheard": 1},
    "Orgs": [{"Name": "o", "Share": 1.0, "AllowancePerS": 9.0}],
    "HostTypes": ["k"],
    "Tiers": ["one"],
    "Zones": ["here"],
    "Novelty": {"a": 1},
}
ENDPOINT_ROWS: list[Message] = [{"Backend": 70 + i, "Readiness": "U", "Units": 1} for i in range(6)]


def open_events(instance: int, settings: Message = SETTINGS) -> list[Message]:
    return [
        {
            "m": "OpenInstance",
            "ProxyId": instance,
            "Entropy": 11 + instance,
            "Settings": {**settings, "Ordinal": instance},
        },
        {"m": "Register", "List": 0, "Rows": ENDPOINT_ROWS},
        {"m": "Members", "ProxyId": instance, "Mode": "stale_copy", "Version": 1, "List": 0},
    ]


def batch(time: float, events: list[Message]) -> str:
    lines = [{"m": "Tick", "Time": time}, *events, {"m": "Flush"}]
    return "".join(json.dumps(line) + "\n" for line in lines)


def run_simulator(text: str, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "balancer.simulator"],
        input=text,
        capture_output=True,
        text=True,
        cwd=PROJECT_ROOT,
        env={**os.environ, **env},
        timeout=60,
        check=False,
    )


def replies_to(text: str, **env: str) -> list[list[Message]]:
    completed = run_simulator(text, **env)
    assert (completed.returncode, completed.stderr) == (0, "")
    batches: list[list[Message]] = [[]]
    for line in completed.stdout.splitlines():
        message = json.loads(line)
        if message["m"] == "Eor":
            batches.append([])
        else:
            batches[-1].append(message)
    return batches[:-1]


def call_events(instance: int, first: int, count: int) -> list[Message]:
    return [
        {
            "m": "Call",
            "ProxyId": instance,
            "Ref": f"c{instance}_{number}",
            "Kind": number % 2,
            "Deadline": 14.0,
        }
        for number in range(first, first + count)
    ]


def restart_scenario(instances: list[int]) -> str:
    """Return batches that open instances, send calls and outcomes, drain an endpoint and restart."""
    text = batch(9.0, []) + batch(10.0, [event for instance in instances for event in open_events(instance)])
    text += batch(10.1, [event for instance in instances for event in call_events(instance, 0, 3)])
    text += batch(
        10.2,
        [
            {
                "m": "Returned",
                "ProxyId": instance,
                "Ref": f"c{instance}_0",
                "RoundNo": 0,
                "Backend": 70,
                "CostTime": 0.1,
                "How": "overloaded",
            }
            for instance in instances
        ],
    )
    drained = [{"m": "Register", "List": 3, "Rows": [{"Backend": 70, "Readiness": "L"}]}]
    updates = [
        {"m": "Members", "ProxyId": instance, "Mode": "patch", "Version": 2, "List": 3}
        for instance in instances
    ]
    text += batch(
        10.3,
        [*drained, *updates, *(event for instance in instances for event in call_events(instance, 3, 40))],
    )
    text += batch(10.4, [{"m": "Teardown", "ProxyId": instance} for instance in instances])
    return text + batch(
        10.5,
        [
            event
            for instance in instances
            for event in [*open_events(instance), *call_events(instance, 90, 2)]
        ],
    )


def test_replies_to_calls_outcomes_drains_and_restarts() -> None:
    replies = replies_to(restart_scenario([0]))
    assert replies[0] == replies[1] == []
    assert [message["m"] for message in replies[2]] == ["Relay"] * 3
    assert {message["Backend"] for message in replies[2]} <= {row["Backend"] for row in ENDPOINT_ROWS}
    assert replies[2][0]["Within"] == pytest.approx(0.98)
    assert replies[2][1]["Within"] == 0.0
    assert [message["m"] for message in replies[3]] in (["Relay"], ["NotNow"])
    assert replies[4]
    assert all(message.get("Backend") != 70 for message in replies[4]), "sent to a draining endpoint"
    assert replies[5] == []
    assert [message["m"] for message in replies[6]] == ["Relay"] * 2


def test_actions_do_not_depend_on_other_instances_or_the_hash_seed() -> None:
    def by_instance(batches: list[list[Message]]) -> dict[int, list[Message]]:
        return {
            instance: [message for batch in batches for message in batch if message["ProxyId"] == instance]
            for instance in (0, 1)
        }

    together = by_instance(replies_to(restart_scenario([0, 1]), PYTHONHASHSEED="1"))
    assert together == by_instance(replies_to(restart_scenario([0, 1]), PYTHONHASHSEED="2"))
    alone = {instance: by_instance(replies_to(restart_scenario([instance])))[instance] for instance in (0, 1)}
    assert together == alone
    assert together[0] != together[1]


@pytest.mark.parametrize(("field", "row"), [("BoundTo", "Hw"), ("AllowedIn", "FailureDomain")])
def test_placement_of_a_class_restricts_its_endpoints(field: str, row: str) -> None:
    settings = json.loads(json.dumps(SETTINGS)) | {"Zones": ["here", "there"], "HostTypes": ["k", "l"]}
    settings["Services"][0][field] = [1]
    events = open_events(0, settings)
    events[1] = {**events[1], "Rows": [{**r, row: number % 2} for number, r in enumerate(ENDPOINT_ROWS)]}
    actions = replies_to(batch(10.0, events) + batch(10.1, call_events(0, 0, 40)))[1]
    backends_by_class = {
        kind: {message["Backend"] % 2 for message in actions if int(message["Ref"][3:]) % 2 == kind}
        for kind in (0, 1)
    }
    assert backends_by_class == {0: {1}, 1: {0, 1}}


def test_names_in_the_settings_do_not_affect_actions() -> None:
    renamed = json.loads(json.dumps(SETTINGS))
    for row, name in zip(renamed["Services"], ("p", "q"), strict=True):
        row["Name"] = name
    renamed["Orgs"][0]["Name"] = "r"
    renamed |= {"Tiers": ["zwei"], "Zones": ["elsewhere"], "HostTypes": ["odd"]}
    calls = batch(10.1, call_events(0, 0, 30))
    assert replies_to(batch(10.0, open_events(0)) + calls) == replies_to(
        batch(10.0, open_events(0, renamed)) + calls
    )


@pytest.mark.parametrize(
    ("text", "line", "problem"),
    [
        ("{\n", 1, "line 1"),
        ("[1]\n", 1, "not a message"),
        ('{"m":"Call"}\n', 1, "outside a batch"),
        ('{"m":"Tick"}\n', 1, "missing field 'Time'"),
        ('{"m":"Tick","Time":1}\n{"m":"Tick","Time":2}\n', 2, "a Tick inside a batch"),
        (batch(5.0, []) + batch(4.0, []), 3, "the clock goes backwards"),
        ('{"m":"Tick","Time":1}\n{"m":"Call"}\n', 2, "missing field 'ProxyId'"),
        (
            '{"m":"Tick","Time":1}\n{"m":"Call","ProxyId":5,"Ref":"a"}\n',
            2,
            "instance 5 was never opened",
        ),
        (
            batch(1.0, open_events(0)) + batch(2.0, [{"m": "Hum", "ProxyId": 0}]),
            7,
            "unknown message 'Hum'",
        ),
        (
            batch(1.0, open_events(0)) + batch(2.0, [{"m": "Call", "ProxyId": 0}]),
            7,
            "missing field 'Ref'",
        ),
        (
            batch(1.0, open_events(0))
            + batch(2.0, [{"m": "Members", "ProxyId": 0, "Mode": "whole", "Version": 2, "List": 9}]),
            7,
            "unknown list number 9",
        ),
        (
            batch(1.0, open_events(0))
            + batch(2.0, [{"m": "Returned", "ProxyId": 0, "Ref": "a", "How": "odd"}]),
            7,
            "How: 'odd' is none of success, failure",
        ),
        (
            batch(1.0, open_events(0))
            + batch(2.0, [{"m": "Members", "ProxyId": 0, "Mode": "odd", "List": 0}]),
            7,
            "Mode: 'odd' is none of stale_copy, whole",
        ),
        (
            batch(1.0, [{"m": "Register", "List": 0, "Rows": [{"Backend": 1, "Readiness": "X"}]}]),
            2,
            "Readiness: 'X' is none of U, L, D",
        ),
        ('{"m":"Tick","Time":1}\n', 1, "the input ended inside a batch"),
    ],
)
def test_protocol_violation_ends_the_process_with_the_number_of_its_line(
    text: str, line: int, problem: str
) -> None:
    completed = run_simulator(text)
    assert completed.returncode == 2
    [message] = completed.stderr.splitlines()
    assert f"line {line}" in message
    assert problem in message
    assert "Traceback" not in message


def test_invalid_request_is_reported_for_its_instance() -> None:
    invalid_calls = [{"m": "Call", "ProxyId": 0, "Ref": "a", "Kind": 9, "Deadline": 3.0}]
    [_, [message]] = replies_to(batch(1.0, open_events(0)) + batch(2.0, invalid_calls))
    assert message["m"] == "BailOut"
    assert message["NoteText"].startswith("InvalidValueError: class_index")


def test_closed_output_ends_the_process_without_an_error_message() -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "balancer.simulator"],
        cwd=PROJECT_ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    assert process.stdin
    assert process.stdout
    assert process.stderr
    process.stdout.close()
    try:
        process.stdin.write((batch(1.0, []) * 2).encode())
        process.stdin.close()
    except BrokenPipeError:
        pass
    assert process.stderr.read() == b""
    process.wait(60)
    process.stderr.close()


def test_settings_are_read_from_the_keys_of_the_protocol() -> None:
    settings = read_settings(
        {
            **SETTINGS,
            "RegistryMode": "on_request",
            "Report": {"Via": "pull", "Fields": ["rif", "x9"]},
            "Penalties": {"Waste": 0.25, "Unheard": 1},
            "FamilyInfo": {"PassesDeadline": False},
            "ClientHabits": {"MarksRetry": True},
        }
    )
    assert settings.classes[1].idempotency is Idempotency.NON_IDEMPOTENT
    assert settings.classes[1].priority_weight == 5.0
    assert settings.discovery is DiscoveryMode.POLLED
    assert settings.clients_mark_retries
    assert not settings.propagates_deadline
    assert settings.limits.max_attempts == 3
    assert settings.limits.retry_after
    assert settings.limits.max_retry_after == 2.5
    assert read_settings({}).classes, "absent keys take defaults"


def test_costs_reach_the_balancer_and_load_reports_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    requests: list[IncomingRequest] = []
    finished: list[tuple[str, int, Outcome]] = []

    def record_request(_: Balancer, _now: float, incoming: IncomingRequest) -> list[Action]:
        requests.append(incoming)
        return []

    def record_finished(
        _: Balancer,
        _now: float,
        request_id: str,
        number: int,
        outcome: Outcome,
        *_args: object,
        **_flags: object,
    ) -> list[Action]:
        finished.append((request_id, number, outcome))
        return []

    monkeypatch.setattr(Balancer, "on_request", record_request)
    monkeypatch.setattr(Balancer, "on_attempt_finished", record_finished)
    session = Session()

    def perform(message: Message, now: float) -> list[Action]:
        return session.read(cast("EventMessage", message))(now)

    for event in open_events(0):
        perform(event, 1.0)
    perform({"m": "Call", "ProxyId": 0, "Ref": "a", "Deadline": 3.0, "Effort": 0.5, "Retry": True}, 2.0)
    perform({"m": "Returned", "ProxyId": 0, "Ref": "a", "How": "success", "Telemetry": [3, 1]}, 2.0)
    assert perform({"m": "PingResult", "ProxyId": 0, "Backend": 70, "How": "success"}, 2.0) == []
    assert (requests[0].cost, requests[0].is_retry) == (0.5, True)
    assert finished[0] == ("a", 0, Outcome.SUCCESS)
