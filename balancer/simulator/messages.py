"""The simulator's messages: their names, and the typed values of the decisions that they stand for."""

from __future__ import annotations

from typing import Any

from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.errors import RowandealError
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

STATUSES = {"U": EndpointStatus.UP, "L": EndpointStatus.DRAINING, "D": EndpointStatus.REMOVED}
UPDATE_KINDS = {
    "stale_copy": UpdateKind.CACHED,
    "whole": UpdateKind.SNAPSHOT,
    "patch": UpdateKind.DELTA,
    "broken": UpdateKind.FAILED,
}
OUTCOMES = {
    "success": Outcome.SUCCESS,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.OVERLOADED,
    "timed_out": Outcome.TIMEOUT,
    "unreachable": Outcome.UNREACHABLE,
    "broken": Outcome.CONNECTION_LOST,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.NOT_SENT,
}


class WireError(RowandealError):
    """A line that the simulator's wire does not allow."""


def read_endpoint(row: dict[str, Any]) -> Endpoint:
    """Return one entry of a `Register` message."""
    return Endpoint(
        id=row["Backend"],
        status=STATUSES[row.get("Readiness", "U")],
        zone=row.get("FailureDomain", 0),
        cell=row.get("Cluster", 0),
        size=row.get("Units", 1.0),
        started=row.get("StartTime", 0.0),
        machine_type=row.get("Hw", 0),
    )


def write_action(instance: int, action: Action) -> dict[str, Any]:
    """Return the message for one action; the order of its keys is part of the wire."""
    if isinstance(action, StartAttempt):
        return {
            "m": "Relay",
            "ProxyId": instance,
            "Ref": action.request,
            "Backend": action.endpoint,
            "Within": action.timeout,
        }
    if isinstance(action, Reject):
        return {
            "m": "NotNow",
            "ProxyId": instance,
            "Ref": action.request,
            "NotBeforeFor": action.retry_after,
        }
    if isinstance(action, Fail):
        return {"m": "ReportFailure", "ProxyId": instance, "Ref": action.request}
    if isinstance(action, CancelAttempt):
        return {"m": "UndoSend", "ProxyId": instance, "Ref": action.request, "RoundNo": action.attempt}
    if isinstance(action, SetTimer):
        return {"m": "Sleep", "ProxyId": instance, "When": action.at, "Tag": action.token}
    assert isinstance(action, PollEndpoints)
    return {"m": "Watch", "ProxyId": instance, "Want": True}
