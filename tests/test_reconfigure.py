"""Settings swapped while requests are in flight: the module's part, without sockets."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from rules_checker import RulesChecker
from test_rules import BUDGETED, KINDS, OUTCOMES, RULES, fail_unseen, play, step

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import CancelAttempt, Fail, Outcome, SetTimer, StartAttempt
from balancer.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    RequestClass,
    Settings,
    Tenant,
)

SAFE = RequestClass("safe", 1.0, 4.0, Idempotency.IDEMPOTENT)
ONCE = RequestClass("once", 1.0, 4.0, Idempotency.NON_IDEMPOTENT, priority_weight=5.0)
KEYED = RequestClass("keyed", 1.0, 4.0, Idempotency.KEYED, DeduplicationScope.ALL, 3.0)
OTHER = RequestClass("other", 2.0, 4.0, Idempotency.IDEMPOTENT)
BASE = Settings(classes=(SAFE, ONCE, KEYED))
ROWS = [Endpoint(i, zone=i % 2, cell=i % 3) for i in range(1, 7)]


def checker(stated: Settings = BASE, rows: list[Endpoint] = ROWS) -> RulesChecker:
    return RulesChecker(stated, 1, rows)


def sent(c: RulesChecker, rid: str) -> list[int]:
    """The servers that a request went to."""
    return [attempt.endpoint.id for attempt in c.requests[rid].attempts]


# ---- requests in flight ------------------------------------------------------------------


@pytest.mark.parametrize("order", [(ONCE, SAFE, KEYED), (KEYED, OTHER, ONCE), (OTHER, SAFE, KEYED)])
def test_a_request_keeps_its_class_when_the_list_of_them_changes(order: tuple[RequestClass, ...]) -> None:
    c = checker()
    once = c.request(1, 4.0)
    safe = c.request(0, 4.0)
    c.reconfigure(replace(BASE, classes=order))
    assert c.finish_attempt(once, 0, Outcome.TIMEOUT) == [Fail(once)]
    [again] = c.finish_attempt(safe, 0, Outcome.TIMEOUT)
    assert isinstance(again, StartAttempt)


@pytest.mark.parametrize("then", [Idempotency.IDEMPOTENT, Idempotency.KEYED])
def test_what_may_have_run_is_not_repeated_though_its_class_may_be_by_now(then: Idempotency) -> None:
    c = checker()
    rid = c.request(1, 4.0)
    c.reconfigure(
        replace(
            BASE,
            classes=(
                SAFE,
                replace(
                    ONCE,
                    idempotency=then,
                    deduplication_scope=DeduplicationScope.ALL,
                    deduplication_window=3.0,
                ),
            ),
        )
    )
    assert c.finish_attempt(rid, 0, Outcome.TIMEOUT) == [Fail(rid)]


@pytest.mark.parametrize("first", [0, 2])
@pytest.mark.parametrize("swaps", [1, 2])
def test_what_may_be_repeated_no_more_is_not(first: int, swaps: int) -> None:
    c = checker()
    rid = c.request(first, 4.0)
    strict = tuple(replace(row, idempotency=Idempotency.NON_IDEMPOTENT) for row in BASE.classes)
    c.reconfigure(replace(BASE, classes=strict))
    if swaps == 2:  # back again: it was forbidden meanwhile
        c.reconfigure(BASE)
    assert c.finish_attempt(rid, 0, Outcome.TIMEOUT) == [Fail(rid)]


@pytest.mark.parametrize(
    "change", [{"deduplication_scope": DeduplicationScope.CELL}, {"deduplication_window": 0.01}]
)
def test_a_keyed_request_is_repeated_only_where_both_readings_allow_it(change: dict[str, Any]) -> None:
    c = checker()
    rid = c.request(2, 4.0)
    c.reconfigure(replace(BASE, classes=(SAFE, ONCE, replace(KEYED, **change))))
    c.advance(0.1)
    assert not any(isinstance(action, StartAttempt) for action in c.finish_attempt(rid, 0, Outcome.TIMEOUT))


def test_what_never_ran_is_sent_again_whatever_became_of_its_class() -> None:
    c = checker()
    rid = c.request(1, 4.0)
    c.reconfigure(replace(BASE, classes=(OTHER,)))
    [again] = c.finish_attempt(rid, 0, Outcome.UNREACHABLE)
    assert isinstance(again, StartAttempt)
    assert c.finish_attempt(rid, 1, Outcome.SUCCESS) == []
    assert not c.balancer.requests


def test_a_request_of_a_class_that_is_gone_is_not_cancelled_and_shuns_what_drains_since() -> None:
    stated = replace(BASE, limits=Limits(cancel=True))
    c = checker(stated)
    rid = c.request(0, 4.0)
    [first] = sent(c, rid)
    assert c.balancer.reconfigure(c.now, replace(stated, classes=(OTHER,))) == []
    left = next(row for row in ROWS if row.id != first)
    c.update_endpoints(
        UpdateKind.DELTA, [replace(row, status=EndpointStatus.DRAINING) for row in ROWS if row != left]
    )
    [again] = c.finish_attempt(rid, 0, Outcome.TIMEOUT)
    assert isinstance(again, StartAttempt)
    assert again.endpoint == left.id


@pytest.mark.parametrize(("before", "after", "tries"), [(4, 2, 2), (2, 4, 2), (4, 4, 4)])
def test_attempts_are_limited_by_the_lower_of_both_limits(before: int, after: int, tries: int) -> None:
    c = checker(replace(BASE, limits=Limits(max_attempts=before)))
    rid = c.request(0, 4.0)
    c.reconfigure(replace(BASE, limits=Limits(max_attempts=after)))
    for number in range(6):
        if (rid, number) in c.open_attempts():
            c.finish_attempt(rid, number, Outcome.UNREACHABLE)
    assert len(sent(c, rid)) == tries


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True), (True, True), (False, False)])
def test_a_cancel_has_to_be_permitted_by_both(before: bool, after: bool) -> None:
    c = checker(replace(BASE, limits=Limits(cancel=before)))
    rid = c.request(0, 4.0)
    c.balancer.reconfigure(c.now, replace(BASE, limits=Limits(cancel=after)))
    assert c.balancer.on_client_disconnected(c.now, rid) == [CancelAttempt(rid, 0)] * (before and after)


def copy_due() -> tuple[Balancer, SetTimer]:
    """A request that is out and late, and the timer of its second copy."""
    b = Balancer(replace(BASE, limits=Limits(hedging=True)), 1)
    b.on_endpoints_updated(100.0, UpdateKind.CACHED, ROWS)
    for n in range(20):
        b.on_request(100.0 + n, f"r{n}", 0, 0, 104.0 + n)
        b.on_attempt_finished(100.1 + n, f"r{n}", 0, Outcome.SUCCESS, 0.1, True)
    _, timer = b.on_request(130.0, "late", 0, 0, 134.0)
    assert isinstance(timer, SetTimer)
    return b, timer


@pytest.mark.parametrize("forbids", ["limits", "class", "nothing"])
def test_a_copy_that_is_due_is_not_sent_where_it_is_forbidden_by_now(forbids: str) -> None:
    b, timer = copy_due()
    allowed = b.settings
    if forbids == "limits":
        b.reconfigure(130.1, BASE)
    elif forbids == "class":
        b.reconfigure(
            130.1, replace(allowed, classes=(replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT),))
        )
    else:
        b.reconfigure(130.1, replace(allowed, classes=(SAFE, OTHER)))
    assert len(b.on_timer(timer.at, timer.token)) == (forbids == "nothing")


# ---- what was learned -----------------------------------------------------------------------


def learned(c: RulesChecker) -> dict[str, tuple[float, int, int, int]]:
    """What is known of each class, by its name."""
    b = c.balancer
    return {
        row.name: (
            b.statistics.class_latency[n],
            b.statistics.class_samples[n],
            b.client_timeouts.usual[n],
            len(b.client_timeouts.counts[n]),
        )
        for n, row in enumerate(b.settings.classes)
    }


def answer_all(c: RulesChecker, kind: int, after: float, times: int = 8) -> None:
    for _ in range(times):
        rid = c.request(kind, 4.0)
        c.advance(after)
        for number in [n for r, n in c.open_attempts() if r == rid]:
            c.finish_attempt(rid, number, Outcome.SUCCESS)


def test_equal_settings_change_nothing() -> None:
    c, twin = checker(), checker()
    for one in (c, twin):
        answer_all(one, 0, 0.1)
        rid = one.request(1, 4.0)
    equal = replace(BASE, classes=tuple(replace(row) for row in BASE.classes))
    pools = c.balancer.assignment.pools
    assert c.balancer.reconfigure(c.now, equal) == []
    assert c.balancer.assignment.pools is pools
    assert learned(c) == learned(twin)
    assert c.finish_attempt(rid, 0, Outcome.ERROR) == twin.finish_attempt(rid, 0, Outcome.ERROR)
    for _ in range(20):  # the same random numbers follow
        assert sent(c, c.request(0, 4.0)) == sent(twin, twin.request(0, 4.0))


def test_what_was_learned_of_a_class_stays_with_its_name() -> None:
    c = checker()
    answer_all(c, 0, 0.1)
    answer_all(c, 1, 0.3)
    before = learned(c)
    assert before["safe"][0] < before["once"][0]
    c.reconfigure(replace(BASE, classes=(OTHER, replace(ONCE, latency_objective=3.0), SAFE)))
    after = learned(c)
    assert after["safe"] == before["safe"]
    assert after["once"] == before["once"]
    assert after["other"] == (0.0, 0, 0, 0)
    c.reconfigure(BASE)
    assert learned(c)["keyed"] == (0.0, 0, 0, 0)  # it was gone meanwhile


def test_an_answer_to_a_class_that_is_gone_teaches_no_other() -> None:
    c = checker()
    rid = c.request(2, 4.0)
    c.reconfigure(replace(BASE, classes=(SAFE, ONCE)))
    before, mean = learned(c), c.balancer.statistics.answer_latency
    c.advance(0.5)
    c.finish_attempt(rid, 0, Outcome.SUCCESS)
    assert learned(c) == before
    assert c.balancer.statistics.answer_latency == mean


def test_another_customers_settings_begin_with_no_baseline() -> None:
    c = checker()
    answer_all(c, 0, 0.1, 40)
    assert c.balancer.statistics.sample_count
    assert c.balancer.statistics.answer_baseline > 0.0
    c.reconfigure(replace(BASE, classes=(OTHER,)))
    b = c.balancer
    assert (
        b.statistics.tier_latency,
        b.statistics.tier_deviation,
        b.statistics.answer_latency,
        b.statistics.answer_baseline,
        b.statistics.latency_per_cost,
        b.statistics.sample_count,
    ) == (0.0, 0.0, 0.0, 0.0, 0.0, 0)


def test_servers_stay_what_they_are() -> None:
    c = checker(replace(BASE, rules=RULES), [*ROWS[:5], Endpoint(9, started=99.0)])
    c.update_endpoints(UpdateKind.DELTA, [replace(ROWS[0], status=EndpointStatus.DRAINING)])
    for _ in range(60):
        c.request(0, 4.0)
        c.advance(0.05)
    known = c.balancer.endpoints.states[9]
    breakers = {server: entry.breaker for server, entry in c.balancer.endpoints.states.items()}
    credit = known.warmup_tokens
    assert known.refilled_at > 0.0
    c.reconfigure(replace(BASE, rules=RULES, classes=(OTHER,), fleet_size=2))
    assert {server: entry.breaker for server, entry in c.balancer.endpoints.states.items()} == breakers
    assert known.warmup_tokens == credit
    for _ in range(60):  # the checker sees to it that none goes to the one that drains
        c.request(0, 4.0)


@pytest.mark.parametrize("me", [0, 3, 6])
def test_another_size_of_the_fleet_moves_the_subset(me: int) -> None:
    rows = [Endpoint(i) for i in range(40)]
    c = checker(replace(BASE, fleet_size=2, ordinal=1), rows)
    resized = replace(BASE, fleet_size=7, ordinal=me)
    c.reconfigure(resized)
    anew = checker(resized, rows).balancer

    def subset_of(b: Balancer) -> list[int]:
        return [server.endpoint.id for server in b.assignment.pools[0].subset]

    assert subset_of(c.balancer) == subset_of(anew)
    assert (c.balancer.admission.shedding_strength, c.balancer.admission.admitted_alone) == (
        anew.admission.shedding_strength,
        anew.admission.admitted_alone,
    )


# ---- pools --------------------------------------------------------------------------------------

BOUND = RequestClass("bound", 1.0, 4.0, Idempotency.IDEMPOTENT, allowed_zones=(0,))


def test_a_pool_stays_with_its_classes_and_goes_to_no_others() -> None:
    bound = Settings(classes=(SAFE, BOUND), zone_count=2)
    c = checker(bound)
    rid = c.request(1, 4.0)
    free, zoned = c.balancer.assignment.by_class
    c.reconfigure(replace(bound, classes=(SAFE, OTHER, BOUND)))
    assert c.balancer.assignment.by_class == [free, free, zoned]
    c.reconfigure(replace(bound, classes=(replace(BOUND, name="another"), SAFE)))
    another = c.balancer.assignment.by_class[0]
    assert another is not zoned
    assert another.pending == 0
    assert zoned.pending == 1
    c.finish_attempt(rid, 0, Outcome.SUCCESS)
    assert zoned.pending == 0
    assert another.pending == 0
    c.reconfigure(bound)
    assert zoned not in c.balancer.assignment.pools  # nothing holds it any more


def test_a_further_attempt_goes_where_both_readings_allow_it() -> None:
    c = checker(Settings(classes=(BOUND,), zone_count=2))
    rids = [c.request(0, 4.0) for _ in range(3)]
    one = next(row.id for row in ROWS if row.zone == 0 and row.id not in sent(c, rids[0]))
    c.update_endpoints(UpdateKind.DELTA, [replace(row, machine_type=1) for row in ROWS if row.id == one])
    c.reconfigure(
        Settings(classes=(replace(BOUND, allowed_zones=None, allowed_machine_types=(1,)),), zone_count=2)
    )
    assert len(c.balancer.assignment.pools) == 2  # one for all that were narrowed alike
    assert sum(pool.pending for pool in c.balancer.assignment.pools) == 3
    misplaced_attempts = c.balancer.misplaced_attempts()
    assert misplaced_attempts == [(rid, 0) for rid in rids if sent(c, rid) != [one]]
    c.finish_attempt(rids[0], 0, Outcome.NOT_SENT)
    assert sent(c, rids[0])[1:] == [one]


def test_swaps_leave_nothing_behind() -> None:
    c = checker()
    for n in range(200):
        c.request(0, 4.0)
        names = (f"a{n}", f"b{n}")
        c.reconfigure(
            Settings(
                classes=tuple(replace(SAFE, name=name, allowed_zones=(n % 2, 5 + n)) for name in names),
                zone_count=2,
            )
        )
        for rid, number in c.open_attempts():
            c.finish_attempt(rid, number, Outcome.SUCCESS)
    assert not c.balancer.requests
    assert len(c.balancer.assignment.pools) <= 2
    assert len(c.balancer.client_timeouts.counts) == 2


# ---- budgets --------------------------------------------------------------------------------------

TENANTS = (Tenant("a", 0.5, 10.0), Tenant("b", 0.5, 10.0))
SHARED = replace(BASE, tenants=TENANTS)


def within(b: Balancer, now: float, tenant: int) -> int:
    """How many requests of a tenant are within its share at once; they are spent by it."""
    count = 0
    while b.tenant_quotas.take_token(now, tenant):
        count += 1
    return count


def test_a_tenants_credit_is_not_refreshed() -> None:
    b = Balancer(SHARED, 1)
    assert within(b, 100.0, 0) == 51
    b.reconfigure(100.0, replace(SHARED, tenants=(TENANTS[1], replace(TENANTS[0], quota=20.0))))
    assert within(b, 100.0, 1) == 0
    assert within(b, 101.0, 1) == 20  # at the new quota, from that instant on
    assert within(b, 101.0, 0) == 51  # the other's was never spent


def test_time_before_the_change_counts_by_the_old_quota() -> None:
    b = Balancer(SHARED, 1)
    within(b, 100.0, 0)
    b.reconfigure(101.0, replace(SHARED, tenants=(replace(TENANTS[0], quota=40.0),)))
    assert within(b, 101.0, 0) == 10
    assert within(b, 101.5, 0) == 20


def test_a_smaller_share_holds_at_once() -> None:
    b = Balancer(SHARED, 1)
    b.reconfigure(100.0, replace(SHARED, fleet_size=10))
    assert within(b, 100.0, 0) == 6


def test_a_tenants_credit_goes_to_no_other() -> None:
    b = Balancer(SHARED, 1)
    within(b, 100.0, 0)
    b.reconfigure(100.0, replace(SHARED, tenants=(replace(TENANTS[0], name="c"), TENANTS[1])))
    assert within(b, 100.0, 0) == 51


LATER = Settings(classes=(SAFE,), tier=1, tier_count=2)  # a tier that takes whatever comes


def spend(c: RulesChecker, requests: int) -> int:
    """Requests whose attempts all fail unseen; returns how many further attempts they got."""
    before = len(c.retry_times)
    for _ in range(requests):
        fail_unseen(c, 0, 3)
    return len(c.retry_times) - before


def test_a_swap_does_not_refill_the_retry_budget() -> None:
    rows = [Endpoint(i) for i in range(40)]
    stated = replace(BUDGETED, retry_budget_floor=6.0, retry_budget_ratio=0.0, retry_budget_window=5.0)
    c = checker(replace(LATER, rules=stated), rows)
    assert spend(c, 20) == 6
    for swap in range(3):
        c.reconfigure(replace(LATER, rules=replace(stated, warmup_duration=float(swap))))
        assert spend(c, 5) == 0
    c.reconfigure(replace(LATER, rules=replace(stated, retry_budget_floor=8.0)))
    assert spend(c, 5) == 2


def test_a_budget_that_is_stated_counts_what_was_spent_before() -> None:
    rows = [Endpoint(i) for i in range(40)]
    c = checker(replace(LATER, rules=RULES), rows)
    spent = spend(c, 20)
    assert spent > 5
    stated = replace(RULES, retry_budget_floor=spent + 1.0, retry_budget_window=9.0)
    c.reconfigure(replace(LATER, rules=stated))
    assert spend(c, 5) == 1
    c.reconfigure(replace(LATER, rules=RULES))  # stated no more
    assert c.balancer.retry_budgets.hedges is not c.balancer.retry_budgets.retries
    assert not c.balancer.retry_budgets.hedges.allows(c.now)


def test_a_budget_that_is_stated_counts_copies_that_went_out_before() -> None:
    b, timer = copy_due()
    [copy] = b.on_timer(timer.at, timer.token)
    assert isinstance(copy, StartAttempt)
    rules = replace(RULES, retry_budget_floor=1.0, retry_budget_window=9.0)
    b.reconfigure(timer.at, replace(b.settings, rules=rules))
    assert not b.retry_budgets.retries.allows(timer.at)


def test_a_longer_span_counts_what_is_not_remembered() -> None:
    rows = [Endpoint(i) for i in range(40)]
    short = replace(RULES, retry_budget_floor=2.0, retry_budget_window=1.0)
    c = checker(replace(LATER, rules=short), rows)
    assert spend(c, 5) == 2
    c.advance(3.0)
    assert spend(c, 5) == 2
    c.reconfigure(replace(LATER, rules=replace(short, retry_budget_floor=4.0, retry_budget_window=8.0)))
    assert spend(c, 5) == 0
    c.advance(5.5)
    assert spend(c, 5) == 2  # the first two have left the span


# ---- bad settings, and all of it at random ------------------------------------------------------------

BAD: list[tuple[str, Settings]] = [
    ("classes", replace(BASE, classes=())),
    (r"classes\[0\].latency_objective", replace(BASE, classes=(replace(SAFE, latency_objective=10**400),))),
    (r"classes\[0\].streaming", replace(BASE, classes=(replace(SAFE, streaming="no"),))),  # type: ignore
    (r"classes\[0\].name", replace(BASE, classes=(replace(SAFE, name=7),))),  # type: ignore[arg-type]
    ("classes", replace(BASE, classes=(SAFE, SAFE))),
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


@pytest.mark.parametrize(("name", "bad"), BAD)
def test_settings_that_can_not_be_taken_change_nothing(name: str, bad: Settings) -> None:
    c, twin = checker(), checker()
    for one in (c, twin):
        answer_all(one, 0, 0.1)
        rid = one.request(1, 4.0)
    with pytest.raises(ValueError, match=name):
        c.balancer.reconfigure(c.now, bad)
    assert c.balancer.settings is BASE
    assert learned(c) == learned(twin)
    assert c.finish_attempt(rid, 0, Outcome.TIMEOUT) == twin.finish_attempt(rid, 0, Outcome.TIMEOUT)
    assert sent(c, c.request(0, 4.0)) == sent(twin, twin.request(0, 4.0))


CHANGES = st.tuples(st.integers(0, 11), st.integers(0, 3), st.integers(0, 3))


def changed(stated: Settings, change: tuple[int, int, int]) -> Settings:  # noqa: C901 - one branch a change
    """The settings after one change of their classes, tenants, limits, rules or places."""
    what, a, b = change
    rows = list(stated.classes)
    n = (a + 4 * b) % len(rows)
    if what == 0:
        rows = rows[n:] + rows[:n]
    elif what == 1 and len(rows) > 1:
        del rows[n]
    elif what == 2:
        missing = [row for row in KINDS if row.name not in {r.name for r in rows}]
        rows[n:n] = missing[:1]
    elif what == 3:
        rows[n] = replace(rows[n], idempotency=list(Idempotency)[b % 3])
    elif what == 4:
        rows[n] = replace(
            rows[n], deduplication_scope=list(DeduplicationScope)[b % 3], deduplication_window=0.2 + b
        )
    elif what == 5:
        rows[n] = replace(rows[n], allowed_zones=(None, (0,), (1,), (0, 1))[b])
    elif what == 6:
        rows[n] = replace(rows[n], allowed_machine_types=(None, (0,), (1, 2), (9,))[b])
    elif what == 7:
        return replace(stated, fleet_size=1 + 3 * a, ordinal=b % (1 + 3 * a))
    elif what == 8:
        limits = Limits(cancel=bool(a & 1), hedging=bool(a & 2), max_attempts=1 + b)
        return replace(stated, limits=limits)
    elif what == 9:
        return replace(
            stated,
            rules=(
                RULES,
                BUDGETED,
                replace(BUDGETED, retry_budget_window=4.0),
                replace(BUDGETED, retry_budget_floor=0.0),
            )[b],
        )
    elif what == 10:
        tenants = (Tenant("b", 0.4, 3.0 * a), Tenant("a", 0.6, 5.0), Tenant("c"))
        return replace(stated, tenants=tenants[b % 3 :])
    return replace(stated, classes=tuple(rows))


@settings(derandomize=True, max_examples=250, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    steps=st.lists(st.one_of(step, step, step, CHANGES.map(lambda c: (10, c))), min_size=20, max_size=120),
    seed=st.integers(0, 2**32),
    asks=st.booleans(),
    servers=st.integers(0, 14),
)
def test_rules_hold_while_settings_change(steps: list[Any], seed: int, asks: bool, servers: int) -> None:
    stated = Settings(
        classes=KINDS,
        tenants=(Tenant("a", 0.6, 5.0), Tenant("b", 0.4, 3.0)),
        zone_count=2,
        rules=RULES,
        fleet_size=3,
        ordinal=seed % 3,
        tier=seed % 2,
        tier_count=2,
        over_quota_weight=0.1,
        discovery=DiscoveryMode.POLLED if asks else DiscoveryMode.PUSHED,
        limits=Limits(cancel=True, hedging=True, max_attempts=4),
    )
    rows = [Endpoint(1000 + i, EndpointStatus.UP, i % 2, i // 3, machine_type=i % 3) for i in range(servers)]
    c = RulesChecker(stated, seed, rows)
    for taken in steps:
        if taken[0] == 10:
            c.reconfigure(changed(c.settings, taken[1]))
        elif taken[0] <= 3:
            _, a, b = taken
            kinds, tenants = len(c.settings.classes), max(1, len(c.settings.tenants))
            c.request(a % kinds, 0.05 + (b % 300) / 100.0, a % tenants)
        elif taken[0] <= 6 and c.open_attempts():
            rid, number = c.open_attempts()[taken[1] % len(c.open_attempts())]
            c.finish_attempt(rid, number, OUTCOMES[taken[2] % len(OUTCOMES)])
        else:
            play(c, [taken], 0.0)
    c.advance(10.0)
    left = c.balancer.requests.values()
    assert all(request.response_started for request in left)  # streams that have begun know no deadline
    assert sum(pool.pending for pool in c.balancer.assignment.pools) == sum(
        not request.answered for request in left
    )


@pytest.mark.parametrize(
    ("first", "now", "message"),
    [
        (0, "later", "sent twice"),
        (1, "later", "rejected although"),
        (0, "places", "not open"),
    ],
)
def test_a_module_that_takes_the_later_class_for_a_request_in_flight_is_caught(
    monkeypatch: pytest.MonkeyPatch, first: int, now: str, message: str
) -> None:
    later = {
        "later": (
            replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT),
            replace(ONCE, idempotency=Idempotency.IDEMPOTENT),
        ),
        "places": (replace(SAFE, allowed_zones=(1,)), ONCE),
    }[now]
    # What a module does that keeps to the class as admitted, or to the one in force.
    wrong = (lambda admitted, _stated: admitted) if first == 0 else (lambda _admitted, stated: stated)
    monkeypatch.setattr("balancer.balancer.narrow_class", wrong)
    rows = [row for row in ROWS if row.zone == 0] if now == "places" else ROWS
    c = checker(replace(BASE, limits=Limits(max_attempts=1 if first else 3), zone_count=2), rows)
    rid = c.request(first, 4.0)
    c.reconfigure(replace(c.settings, classes=later))
    with pytest.raises(AssertionError, match=message):
        c.finish_attempt(rid, 0, Outcome.TIMEOUT)
