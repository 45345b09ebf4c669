"""The endpoint list: what stays known of an endpoint that a list no longer names."""

from __future__ import annotations

from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.settings import Settings
from tests.support.balancer_helpers import IDEMPOTENT, make_balancer


def test_absence_from_a_snapshot_keeps_start_time_and_size() -> None:
    balancer = make_balancer(
        Settings(classes=(IDEMPOTENT,)), [Endpoint(1, size=2.0, started=99.0), Endpoint(2)]
    )
    balancer.on_endpoints_updated(101.0, UpdateKind.SNAPSHOT, [Endpoint(2)])
    assert balancer.endpoints.states[1].endpoint == Endpoint(
        1, EndpointStatus.REMOVED, size=2.0, started=99.0
    )
