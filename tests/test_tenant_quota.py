"""Tenant quotas: what goes first where requests fail, and what a reload leaves of the tokens."""

from __future__ import annotations

import pytest
from decision_helpers import NON_IDEMPOTENT, make_balancer, serve_with_failures

from balancer.events import Outcome, Reject, StartAttempt
from balancer.settings import Settings, Tenant


@pytest.mark.parametrize(("quota", "answer"), [(1.0, Reject), (1000.0, StartAttempt), (0.0, StartAttempt)])
def test_requests_over_a_quota_go_first_where_requests_fail(quota: float, answer: type) -> None:
    tenants = (Tenant("steady", 0.5, 1000.0), Tenant("burst", 0.5, quota))
    balancer = make_balancer(Settings(classes=(NON_IDEMPOTENT,), tenants=tenants, over_quota_weight=0.1))
    now = serve_with_failures(balancer, 1, Outcome.TIMEOUT)
    for n in range(10):
        balancer.on_request(now, f"x{n}", 0, 0, now + 4.0)
    assert isinstance(balancer.on_request(now, "over", 0, 1, now + 4.0)[0], answer)
    assert isinstance(balancer.on_request(now, "within", 0, 0, now + 4.0)[0], StartAttempt)
