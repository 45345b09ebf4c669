"""Reconfiguration: settings that a running balancer rejects change nothing."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balancer.events import Outcome
from balancer.settings import (
    DiscoveryMode,
    Limits,
    Settings,
    Tenant,
)
from tests.support.random_events import (
    RULES,
)
from tests.support.reconfiguration import (
    BASE,
    IDEMPOTENT,
    endpoints_sent_to,
    learned_state,
    make_checker,
    respond_to_requests,
)

INVALID_SETTINGS: list[tuple[str, Settings]] = [
    ("classes", replace(BASE, classes=())),
    (
        r"classes\[0\].latency_objective",
        replace(BASE, classes=(replace(IDEMPOTENT, latency_objective=10**400),)),
    ),
    (r"classes\[0\].streaming", replace(BASE, classes=(replace(IDEMPOTENT, streaming="no"),))),  # type: ignore[arg-type]
    (r"classes\[0\].name", replace(BASE, classes=(replace(IDEMPOTENT, name=7),))),  # type: ignore[arg-type]
    ("classes", replace(BASE, classes=(IDEMPOTENT, IDEMPOTENT))),
    ("tenants", replace(BASE, tenants=(Tenant("a"), Tenant("a")))),
    (r"tenants\[0\].quota", replace(BASE, tenants=(Tenant("a", 0.1, float("nan")),))),
    ("limits.max_attempts", replace(BASE, limits=Limits(max_attempts=0))),
    ("limits.cancel", replace(BASE, limits=Limits(cancel=1))),  # type: ignore[arg-type]
    ("rules.warmup_duration", replace(BASE, rules=replace(RULES, warmup_duration=float("inf")))),
    ("fleet_size", replace(BASE, fleet_size=1 << 60)),
    ("ordinal", replace(BASE, fleet_size=2, ordinal=2)),
    ("tier", replace(BASE, tier=1, tier_count=2)),
    ("discovery", replace(BASE, discovery=DiscoveryMode.POLLED)),
]


@pytest.mark.parametrize(("name", "invalid"), INVALID_SETTINGS)
def test_invalid_settings_are_rejected_and_change_nothing(name: str, invalid: Settings) -> None:
    checker, twin = make_checker(), make_checker()
    for each in (checker, twin):
        respond_to_requests(each, 0, 0.1)
        request_id = each.request(1, 4.0)
    with pytest.raises(ValueError, match=name):
        checker.balancer.reconfigure(checker.now, invalid)
    assert checker.balancer.settings is BASE
    assert learned_state(checker) == learned_state(twin)
    assert checker.finish_attempt(request_id, 0, Outcome.TIMEOUT) == twin.finish_attempt(
        request_id, 0, Outcome.TIMEOUT
    )
    assert endpoints_sent_to(checker, checker.request(0, 4.0)) == endpoints_sent_to(
        twin, twin.request(0, 4.0)
    )
