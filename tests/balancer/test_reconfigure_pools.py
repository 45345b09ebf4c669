"""Reconfiguration: which pools the classes and the requests in flight draw from."""

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
    make_checker,
    sent,
)

ONE_ZONE = RequestClass("bound", 1.0, 4.0, Idempotency.IDEMPOTENT, allowed_zones=(0,))


def test_a_pool_stays_with_its_classes_and_is_not_given_to_others() -> None:
    bound = Settings(classes=(IDEMPOTENT, ONE_ZONE), zone_count=2)
    checker = make_checker(bound)
    request_id = checker.request(1, 4.0)
    free, zoned = checker.balancer.assignment.by_class
    checker.reconfigure(replace(bound, classes=(IDEMPOTENT, OTHER, ONE_ZONE)))
    assert checker.balancer.assignment.by_class == [free, free, zoned]
    checker.reconfigure(replace(bound, classes=(replace(ONE_ZONE, name="another"), IDEMPOTENT)))
    another = checker.balancer.assignment.by_class[0]
    assert another is not zoned
    assert another.pending == 0
    assert zoned.pending == 1
    checker.finish_attempt(request_id, 0, Outcome.SUCCESS)
    assert zoned.pending == 0
    assert another.pending == 0
    checker.reconfigure(bound)
    assert zoned not in checker.balancer.assignment.pools  # nothing draws from it any more


def test_a_retry_goes_where_both_settings_allow_it() -> None:
    checker = make_checker(Settings(classes=(ONE_ZONE,), zone_count=2))
    request_ids = [checker.request(0, 4.0) for _ in range(3)]
    one = next(row.id for row in ENDPOINTS if row.zone == 0 and row.id not in sent(checker, request_ids[0]))
    checker.update_endpoints(
        UpdateKind.DELTA, [replace(row, machine_type=1) for row in ENDPOINTS if row.id == one]
    )
    checker.reconfigure(
        Settings(classes=(replace(ONE_ZONE, allowed_zones=None, allowed_machine_types=(1,)),), zone_count=2)
    )
    assert len(checker.balancer.assignment.pools) == 2  # one for all requests that were narrowed alike
    assert sum(pool.pending for pool in checker.balancer.assignment.pools) == 3
    misplaced_attempts = checker.balancer.misplaced_attempts()
    assert misplaced_attempts == [
        MisplacedAttempt(request_id, 0) for request_id in request_ids if sent(checker, request_id) != [one]
    ]
    checker.finish_attempt(request_ids[0], 0, Outcome.NOT_SENT)
    assert sent(checker, request_ids[0])[1:] == [one]


def test_reloads_leave_nothing_behind() -> None:
    checker = make_checker()
    for n in range(200):
        checker.request(0, 4.0)
        names = (f"a{n}", f"b{n}")
        checker.reconfigure(
            Settings(
                classes=tuple(replace(IDEMPOTENT, name=name, allowed_zones=(n % 2, 5 + n)) for name in names),
                zone_count=2,
            )
        )
        for request_id, number in checker.open_attempts():
            checker.finish_attempt(request_id, number, Outcome.SUCCESS)
    assert not checker.balancer.requests
    assert len(checker.balancer.assignment.pools) <= 2
    assert len(checker.balancer.client_timeouts.bucket_counts) == 2
