"""The endpoint list: the state of endpoints that a complete list no longer contains."""

from __future__ import annotations

from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.settings import Settings
from tests.support.balancer_helpers import IDEMPOTENT, make_balancer


def test_endpoint_missing_from_a_snapshot_retains_its_start_time_and_size() -> None:
    balancer = make_balancer(
        Settings(classes=(IDEMPOTENT,)), [Endpoint(1, size=2.0, started=99.0), Endpoint(2)]
    )
    balancer.on_endpoints_updated(101.0, UpdateKind.SNAPSHOT, [Endpoint(2)])
    assert balancer.endpoints.states[1].endpoint == Endpoint(
        1, EndpointStatus.REMOVED, size=2.0, started=99.0
    )
