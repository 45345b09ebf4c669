"""Tenant quotas: requests over a quota are rejected first, and reloads keep the tokens."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balancer.balancer import Balancer
from balancer.events import IncomingRequest, Outcome, Reject, StartAttempt
from balancer.settings import Settings, Tenant
from tests.support.balancer_helpers import IDEMPOTENT, NON_IDEMPOTENT, make_balancer, serve_with_failures


@pytest.mark.parametrize(
    ("quota", "expected_action"), [(1.0, Reject), (1000.0, StartAttempt), (0.0, StartAttempt)]
)
def test_requests_over_a_quota_are_rejected_first_while_requests_fail(
    quota: float, expected_action: type
) -> None:
    tenants = (Tenant("steady", 0.5, 1000.0), Tenant("burst", 0.5, quota))
    balancer = make_balancer(Settings(classes=(NON_IDEMPOTENT,), tenants=tenants, over_quota_weight=0.1))
    now = serve_with_failures(balancer, 1, Outcome.TIMEOUT)
    for number in range(10):
        balancer.on_request(now, IncomingRequest(f"x{number}", deadline=now + 4.0))
    assert isinstance(
        balancer.on_request(now, IncomingRequest("over", tenant=1, deadline=now + 4.0))[0], expected_action
    )
    assert isinstance(
        balancer.on_request(now, IncomingRequest("within", deadline=now + 4.0))[0], StartAttempt
    )


TENANTS = (Tenant("a", 0.5, 10.0), Tenant("b", 0.5, 10.0))
WITH_TENANTS = Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT), tenants=TENANTS)


def take_all_tokens(balancer: Balancer, now: float, tenant: int) -> int:
    """Take the tokens of a tenant until none is left, and return their number."""
    count = 0
    while balancer.tenant_quotas.take_token(now, tenant):
        count += 1
    return count


def test_a_reload_does_not_refill_a_tenants_tokens() -> None:
    balancer = Balancer(WITH_TENANTS, 1)
    assert take_all_tokens(balancer, 100.0, 0) == 51
    swapped = (TENANTS[1], replace(TENANTS[0], quota=20.0))
    balancer.reconfigure(100.0, replace(WITH_TENANTS, tenants=swapped))
    assert take_all_tokens(balancer, 100.0, 1) == 0
    assert take_all_tokens(balancer, 101.0, 1) == 20  # refilled for 1 s at the new quota
    assert take_all_tokens(balancer, 101.0, 0) == 51  # the other tenant's bucket is full


def test_time_before_a_reload_refills_at_the_old_quota() -> None:
    balancer = Balancer(WITH_TENANTS, 1)
    take_all_tokens(balancer, 100.0, 0)
    balancer.reconfigure(101.0, replace(WITH_TENANTS, tenants=(replace(TENANTS[0], quota=40.0),)))
    assert take_all_tokens(balancer, 101.0, 0) == 10
    assert take_all_tokens(balancer, 101.5, 0) == 20


def test_a_larger_fleet_reduces_the_tokens_immediately() -> None:
    balancer = Balancer(WITH_TENANTS, 1)
    balancer.reconfigure(100.0, replace(WITH_TENANTS, fleet_size=10))
    assert take_all_tokens(balancer, 100.0, 0) == 6


def test_a_renamed_tenant_does_not_inherit_tokens() -> None:
    balancer = Balancer(WITH_TENANTS, 1)
    take_all_tokens(balancer, 100.0, 0)
    renamed = (replace(TENANTS[0], name="c"), TENANTS[1])
    balancer.reconfigure(100.0, replace(WITH_TENANTS, tenants=renamed))
    assert take_all_tokens(balancer, 100.0, 0) == 51
