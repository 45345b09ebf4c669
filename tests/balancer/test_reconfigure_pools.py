"""Reconfiguration: which pools the classes and the requests in flight use."""

from __future__ import annotations

from dataclasses import replace

from balancer.endpoints import UpdateKind
from balancer.events import MisplacedAttempt, Outcome
from balancer.settings import (
    Idempotency,
    RequestClass,
    Settings,
)
from tests.support.reconfiguration import (
    ENDPOINTS,
    IDEMPOTENT,
    OTHER,
    endpoints_sent_to,
    make_checker,
)

ONE_ZONE = RequestClass("bound", 1.0, 4.0, Idempotency.IDEMPOTENT, allowed_zones=(0,))


def test_pool_stays_with_its_class_and_is_not_assigned_to_another_one() -> None:
    settings = Settings(classes=(IDEMPOTENT, ONE_ZONE), zone_count=2)
    checker = make_checker(settings)
    request_id = checker.request(1, 4.0)
    unrestricted_pool, zone_pool = checker.balancer.assignment.by_class
    checker.reconfigure(replace(settings, classes=(IDEMPOTENT, OTHER, ONE_ZONE)))
    assert checker.balancer.assignment.by_class == [unrestricted_pool, unrestricted_pool, zone_pool]
    checker.reconfigure(replace(settings, classes=(replace(ONE_ZONE, name="another"), IDEMPOTENT)))
    other_pool = checker.balancer.assignment.by_class[0]
    assert other_pool is not zone_pool
    assert other_pool.pending == 0
    assert zone_pool.pending == 1
    checker.finish_attempt(request_id, 0, Outcome.SUCCESS)
    assert zone_pool.pending == 0
    assert other_pool.pending == 0
    checker.reconfigure(settings)
    assert zone_pool not in checker.balancer.assignment.pools  # nothing uses it any more


def test_retry_is_sent_only_to_endpoints_that_both_settings_allow() -> None:
    checker = make_checker(Settings(classes=(ONE_ZONE,), zone_count=2))
    request_ids = [checker.request(0, 4.0) for _ in range(3)]
    first_endpoints = endpoints_sent_to(checker, request_ids[0])
    allowed = next(each for each in ENDPOINTS if each.zone == 0 and each.id not in first_endpoints)
    checker.update_endpoints(UpdateKind.DELTA, [replace(allowed, machine_type=1)])
    checker.reconfigure(
        Settings(classes=(replace(ONE_ZONE, allowed_zones=None, allowed_machine_types=(1,)),), zone_count=2)
    )
    assert len(checker.balancer.assignment.pools) == 2  # all restricted requests share one pool
    assert sum(pool.pending for pool in checker.balancer.assignment.pools) == 3
    misplaced_attempts = checker.balancer.misplaced_attempts()
    assert misplaced_attempts == [
        MisplacedAttempt(request_id, 0)
        for request_id in request_ids
        if endpoints_sent_to(checker, request_id) != [allowed.id]
    ]
    checker.finish_attempt(request_ids[0], 0, Outcome.NOT_SENT)
    assert endpoints_sent_to(checker, request_ids[0])[1:] == [allowed.id]


def test_many_reloads_do_not_accumulate_pools_or_statistics() -> None:
    checker = make_checker()
    for reload_number in range(200):
        checker.request(0, 4.0)
        names = (f"a{reload_number}", f"b{reload_number}")
        checker.reconfigure(
            Settings(
                classes=tuple(
                    replace(IDEMPOTENT, name=name, allowed_zones=(reload_number % 2, 5 + reload_number))
                    for name in names
                ),
                zone_count=2,
            )
        )
        for request_id, number in checker.open_attempts():
            checker.finish_attempt(request_id, number, Outcome.SUCCESS)
    assert not checker.balancer.requests
    assert len(checker.balancer.assignment.pools) <= 2
    assert len(checker.balancer.client_timeouts.bucket_counts) == 2
