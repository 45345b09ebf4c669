"""Reconfiguration: what a reload does to requests in flight, to pools and to what was learned; no sockets."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import CancelAttempt, Fail, MisplacedAttempt, Outcome, StartAttempt
from balancer.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    RequestClass,
    Settings,
    Tenant,
)
from tests.support.decision_helpers import hedge_due
from tests.support.random_events import (
    CLASSES,
    RULES,
    STEPS,
    WITH_RETRY_BUDGET,
    Step,
    play_step,
    random_settings,
    spread_endpoints,
)
from tests.support.rules_checker import RulesChecker

if TYPE_CHECKING:
    from balancer.balancer import Balancer

IDEMPOTENT = RequestClass("idempotent", 1.0, 4.0, Idempotency.IDEMPOTENT)
NON_IDEMPOTENT = RequestClass("non-idempotent", 1.0, 4.0, Idempotency.NON_IDEMPOTENT, priority_weight=5.0)
KEYED = RequestClass("keyed", 1.0, 4.0, Idempotency.KEYED, DeduplicationScope.ALL, 3.0)
OTHER = RequestClass("other", 2.0, 4.0, Idempotency.IDEMPOTENT)
BASE = Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT, KEYED))
ENDPOINTS = [Endpoint(i, zone=i % 2, cell=i % 3) for i in range(1, 7)]


def make_checker(stated: Settings = BASE, endpoints: list[Endpoint] = ENDPOINTS) -> RulesChecker:
    return RulesChecker(stated, 1, endpoints)


def sent(checker: RulesChecker, request_id: str) -> list[int]:
    """Return the endpoints that a request went to."""
    return [attempt.endpoint.id for attempt in checker.requests[request_id].attempts]


# ---- requests in flight ------------------------------------------------------------------


@pytest.mark.parametrize(
    "order", [(NON_IDEMPOTENT, IDEMPOTENT, KEYED), (KEYED, OTHER, NON_IDEMPOTENT), (OTHER, IDEMPOTENT, KEYED)]
)
def test_a_request_keeps_its_class_when_the_list_of_them_changes(order: tuple[RequestClass, ...]) -> None:
    checker = make_checker()
    once = checker.request(1, 4.0)
    safe = checker.request(0, 4.0)
    checker.reconfigure(replace(BASE, classes=order))
    assert checker.finish_attempt(once, 0, Outcome.TIMEOUT) == [Fail(once)]
    [retry] = checker.finish_attempt(safe, 0, Outcome.TIMEOUT)
    assert isinstance(retry, StartAttempt)


@pytest.mark.parametrize("then", [Idempotency.IDEMPOTENT, Idempotency.KEYED])
def test_what_may_have_run_is_not_retried_though_its_class_allows_it_by_now(then: Idempotency) -> None:
    checker = make_checker()
    request_id = checker.request(1, 4.0)
    checker.reconfigure(
        replace(
            BASE,
            classes=(
                IDEMPOTENT,
                replace(
                    NON_IDEMPOTENT,
                    idempotency=then,
                    deduplication_scope=DeduplicationScope.ALL,
                    deduplication_window=3.0,
                ),
            ),
        )
    )
    assert checker.finish_attempt(request_id, 0, Outcome.TIMEOUT) == [Fail(request_id)]


@pytest.mark.parametrize("first", [0, 2])
@pytest.mark.parametrize("swaps", [1, 2])
def test_what_may_be_retried_no_more_is_not(first: int, swaps: int) -> None:
    checker = make_checker()
    request_id = checker.request(first, 4.0)
    strict = tuple(replace(row, idempotency=Idempotency.NON_IDEMPOTENT) for row in BASE.classes)
    checker.reconfigure(replace(BASE, classes=strict))
    if swaps == 2:  # back again: it was forbidden meanwhile
        checker.reconfigure(BASE)
    assert checker.finish_attempt(request_id, 0, Outcome.TIMEOUT) == [Fail(request_id)]


@pytest.mark.parametrize(
    "change", [{"deduplication_scope": DeduplicationScope.CELL}, {"deduplication_window": 0.01}]
)
def test_a_keyed_request_is_retried_only_where_both_settings_allow_it(change: dict[str, Any]) -> None:
    checker = make_checker()
    request_id = checker.request(2, 4.0)
    checker.reconfigure(replace(BASE, classes=(IDEMPOTENT, NON_IDEMPOTENT, replace(KEYED, **change))))
    checker.advance(0.1)
    assert not any(
        isinstance(action, StartAttempt) for action in checker.finish_attempt(request_id, 0, Outcome.TIMEOUT)
    )


def test_what_never_ran_is_retried_whatever_became_of_its_class() -> None:
    checker = make_checker()
    request_id = checker.request(1, 4.0)
    checker.reconfigure(replace(BASE, classes=(OTHER,)))
    [retry] = checker.finish_attempt(request_id, 0, Outcome.UNREACHABLE)
    assert isinstance(retry, StartAttempt)
    assert checker.finish_attempt(request_id, 1, Outcome.SUCCESS) == []
    assert not checker.balancer.requests


def test_a_request_of_a_class_that_is_gone_is_not_cancelled_and_avoids_what_drains_since() -> None:
    stated = replace(BASE, limits=Limits(cancel=True))
    checker = make_checker(stated)
    request_id = checker.request(0, 4.0)
    [first] = sent(checker, request_id)
    assert checker.balancer.reconfigure(checker.now, replace(stated, classes=(OTHER,))) == []
    left = next(row for row in ENDPOINTS if row.id != first)
    checker.update_endpoints(
        UpdateKind.DELTA, [replace(row, status=EndpointStatus.DRAINING) for row in ENDPOINTS if row != left]
    )
    [retry] = checker.finish_attempt(request_id, 0, Outcome.TIMEOUT)
    assert isinstance(retry, StartAttempt)
    assert retry.endpoint == left.id


@pytest.mark.parametrize(("before", "after", "tries"), [(4, 2, 2), (2, 4, 2), (4, 4, 4)])
def test_attempts_are_limited_by_the_lower_of_both_limits(before: int, after: int, tries: int) -> None:
    checker = make_checker(replace(BASE, limits=Limits(max_attempts=before)))
    request_id = checker.request(0, 4.0)
    checker.reconfigure(replace(BASE, limits=Limits(max_attempts=after)))
    for number in range(6):
        if (request_id, number) in checker.open_attempts():
            checker.finish_attempt(request_id, number, Outcome.UNREACHABLE)
    assert len(sent(checker, request_id)) == tries


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True), (True, True), (False, False)])
def test_a_cancel_has_to_be_permitted_by_both(before: bool, after: bool) -> None:
    checker = make_checker(replace(BASE, limits=Limits(cancel=before)))
    request_id = checker.request(0, 4.0)
    checker.balancer.reconfigure(checker.now, replace(BASE, limits=Limits(cancel=after)))
    assert checker.balancer.on_client_disconnected(checker.now, request_id) == [
        CancelAttempt(request_id, 0)
    ] * (before and after)


@pytest.mark.parametrize("forbids", ["limits", "class", "nothing"])
def test_a_hedged_request_that_is_due_is_not_sent_where_it_is_forbidden_by_now(forbids: str) -> None:
    balancer, timer = hedge_due(replace(BASE, limits=Limits(hedging=True)))
    allowed = balancer.settings
    if forbids == "limits":
        balancer.reconfigure(130.1, BASE)
    elif forbids == "class":
        balancer.reconfigure(
            130.1, replace(allowed, classes=(replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT),))
        )
    else:
        balancer.reconfigure(130.1, replace(allowed, classes=(IDEMPOTENT, OTHER)))
    assert len(balancer.on_timer(timer.at, timer.token)) == (forbids == "nothing")


# ---- what was learned -----------------------------------------------------------------------


def learned(checker: RulesChecker) -> dict[str, tuple[float, int, int, int]]:
    """Return what is known of each class, by its name."""
    balancer = checker.balancer
    return {
        row.name: (
            balancer.statistics.class_latency[n],
            balancer.statistics.class_samples[n],
            balancer.client_timeouts.usual[n],
            len(balancer.client_timeouts.counts[n]),
        )
        for n, row in enumerate(balancer.settings.classes)
    }


def answer_requests(checker: RulesChecker, class_index: int, after: float, times: int = 8) -> None:
    for _ in range(times):
        request_id = checker.request(class_index, 4.0)
        checker.advance(after)
        for number in [n for r, n in checker.open_attempts() if r == request_id]:
            checker.finish_attempt(request_id, number, Outcome.SUCCESS)


def test_equal_settings_change_nothing() -> None:
    checker, twin = make_checker(), make_checker()
    for one in (checker, twin):
        answer_requests(one, 0, 0.1)
        request_id = one.request(1, 4.0)
    equal = replace(BASE, classes=tuple(replace(row) for row in BASE.classes))
    pools = checker.balancer.assignment.pools
    assert checker.balancer.reconfigure(checker.now, equal) == []
    assert checker.balancer.assignment.pools is pools
    assert learned(checker) == learned(twin)
    assert checker.finish_attempt(request_id, 0, Outcome.ERROR) == twin.finish_attempt(
        request_id, 0, Outcome.ERROR
    )
    for _ in range(20):  # the same random numbers follow
        assert sent(checker, checker.request(0, 4.0)) == sent(twin, twin.request(0, 4.0))


def test_what_was_learned_of_a_class_stays_with_its_name() -> None:
    checker = make_checker()
    answer_requests(checker, 0, 0.1)
    answer_requests(checker, 1, 0.3)
    before = learned(checker)
    assert before["idempotent"][0] < before["non-idempotent"][0]
    checker.reconfigure(
        replace(BASE, classes=(OTHER, replace(NON_IDEMPOTENT, latency_objective=3.0), IDEMPOTENT))
    )
    after = learned(checker)
    assert after["idempotent"] == before["idempotent"]
    assert after["non-idempotent"] == before["non-idempotent"]
    assert after["other"] == (0.0, 0, 0, 0)
    checker.reconfigure(BASE)
    assert learned(checker)["keyed"] == (0.0, 0, 0, 0)  # it was gone meanwhile


def test_an_answer_to_a_class_that_is_gone_teaches_no_other() -> None:
    checker = make_checker()
    request_id = checker.request(2, 4.0)
    checker.reconfigure(replace(BASE, classes=(IDEMPOTENT, NON_IDEMPOTENT)))
    before, mean = learned(checker), checker.balancer.statistics.answer_latency
    checker.advance(0.5)
    checker.finish_attempt(request_id, 0, Outcome.SUCCESS)
    assert learned(checker) == before
    assert checker.balancer.statistics.answer_latency == mean


def test_another_customers_settings_begin_with_no_baseline() -> None:
    checker = make_checker()
    answer_requests(checker, 0, 0.1, 40)
    assert checker.balancer.statistics.sample_count
    assert checker.balancer.statistics.answer_baseline > 0.0
    checker.reconfigure(replace(BASE, classes=(OTHER,)))
    balancer = checker.balancer
    assert (
        balancer.statistics.tier_latency,
        balancer.statistics.tier_deviation,
        balancer.statistics.answer_latency,
        balancer.statistics.answer_baseline,
        balancer.statistics.latency_per_cost,
        balancer.statistics.sample_count,
    ) == (0.0, 0.0, 0.0, 0.0, 0.0, 0)


def test_endpoints_keep_their_breakers_tokens_and_status() -> None:
    checker = make_checker(replace(BASE, rules=RULES), [*ENDPOINTS[:5], Endpoint(9, started=99.0)])
    checker.update_endpoints(UpdateKind.DELTA, [replace(ENDPOINTS[0], status=EndpointStatus.DRAINING)])
    for _ in range(60):
        checker.request(0, 4.0)
        checker.advance(0.05)
    known = checker.balancer.endpoints.states[9]
    breakers = {server: entry.breaker for server, entry in checker.balancer.endpoints.states.items()}
    tokens = known.warmup_tokens
    assert known.refilled_at > 0.0
    checker.reconfigure(replace(BASE, rules=RULES, classes=(OTHER,), fleet_size=2))
    assert {server: entry.breaker for server, entry in checker.balancer.endpoints.states.items()} == breakers
    assert known.warmup_tokens == tokens
    for _ in range(60):  # the checker sees to it that none goes to the one that drains
        checker.request(0, 4.0)


@pytest.mark.parametrize("ordinal", [0, 3, 6])
def test_another_size_of_the_fleet_moves_the_subset(ordinal: int) -> None:
    endpoints = [Endpoint(i) for i in range(40)]
    checker = make_checker(replace(BASE, fleet_size=2, ordinal=1), endpoints)
    resized = replace(BASE, fleet_size=7, ordinal=ordinal)
    checker.reconfigure(resized)
    anew = make_checker(resized, endpoints).balancer

    def subset_of(balancer: Balancer) -> list[int]:
        return [server.endpoint.id for server in balancer.assignment.pools[0].subset]

    assert subset_of(checker.balancer) == subset_of(anew)
    assert (checker.balancer.admission.shedding_strength, checker.balancer.admission.admitted_alone) == (
        anew.admission.shedding_strength,
        anew.admission.admitted_alone,
    )


# ---- pools --------------------------------------------------------------------------------------

ONE_ZONE = RequestClass("bound", 1.0, 4.0, Idempotency.IDEMPOTENT, allowed_zones=(0,))


def test_a_pool_stays_with_its_classes_and_goes_to_no_others() -> None:
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
    assert len(checker.balancer.client_timeouts.counts) == 2


# ---- bad settings, and all of it at random ----------------------------------------------------

BAD: list[tuple[str, Settings]] = [
    ("classes", replace(BASE, classes=())),
    (
        r"classes\[0\].latency_objective",
        replace(BASE, classes=(replace(IDEMPOTENT, latency_objective=10**400),)),
    ),
    (r"classes\[0\].streaming", replace(BASE, classes=(replace(IDEMPOTENT, streaming="no"),))),  # type: ignore
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


@pytest.mark.parametrize(("name", "bad"), BAD)
def test_settings_that_cannot_be_loaded_change_nothing(name: str, bad: Settings) -> None:
    checker, twin = make_checker(), make_checker()
    for one in (checker, twin):
        answer_requests(one, 0, 0.1)
        request_id = one.request(1, 4.0)
    with pytest.raises(ValueError, match=name):
        checker.balancer.reconfigure(checker.now, bad)
    assert checker.balancer.settings is BASE
    assert learned(checker) == learned(twin)
    assert checker.finish_attempt(request_id, 0, Outcome.TIMEOUT) == twin.finish_attempt(
        request_id, 0, Outcome.TIMEOUT
    )
    assert sent(checker, checker.request(0, 4.0)) == sent(twin, twin.request(0, 4.0))


class SettingsChange(NamedTuple):
    """One change of settings, chosen by `kind` (0 to 11); what the two numbers choose depends on it."""

    kind: int
    first: int
    second: int


CHANGES = st.builds(SettingsChange, st.integers(0, 11), st.integers(0, 3), st.integers(0, 3))
PLACES: tuple[tuple[int, ...] | None, ...] = (None, (0,), (1,), (0, 1))
MACHINE_TYPES: tuple[tuple[int, ...] | None, ...] = (None, (0,), (1, 2), (9,))
RULES_TO_SET = (
    RULES,
    WITH_RETRY_BUDGET,
    replace(WITH_RETRY_BUDGET, retry_budget_window=4.0),
    replace(WITH_RETRY_BUDGET, retry_budget_floor=0.0),
)


def change_classes(classes: list[RequestClass], change: SettingsChange) -> list[RequestClass]:
    """Return the classes after a change of kind 0 to 6."""
    kind, _, second = change
    index = (change.first + 4 * second) % len(classes)
    before, chosen, after = classes[:index], classes[index], classes[index + 1 :]
    if kind == 0:
        return [chosen, *after, *before]
    if kind == 1:
        return [*before, *after] or [chosen]
    if kind == 2:
        missing = [row for row in CLASSES if row.name not in {known.name for known in classes}]
        return [*before, *missing[:1], chosen, *after]
    changes: dict[int, dict[str, Any]] = {
        3: {"idempotency": list(Idempotency)[second % 3]},
        4: {
            "deduplication_scope": list(DeduplicationScope)[second % 3],
            "deduplication_window": 0.2 + second,
        },
        5: {"allowed_zones": PLACES[second]},
        6: {"allowed_machine_types": MACHINE_TYPES[second]},
    }
    return [*before, replace(chosen, **changes[kind]), *after]


def change_settings(stated: Settings, change: SettingsChange) -> Settings:
    """Return the settings after one change of their classes, tenants, limits, rules or places."""
    kind, first, second = change
    if kind <= 6:
        return replace(stated, classes=tuple(change_classes(list(stated.classes), change)))
    if kind == 7:
        return replace(stated, fleet_size=1 + 3 * first, ordinal=second % (1 + 3 * first))
    if kind == 8:
        limits = Limits(cancel=bool(first & 1), hedging=bool(first & 2), max_attempts=1 + second)
        return replace(stated, limits=limits)
    if kind == 9:
        return replace(stated, rules=RULES_TO_SET[second])
    if kind == 10:
        tenants = (Tenant("b", 0.4, 3.0 * first), Tenant("a", 0.6, 5.0), Tenant("c"))
        return replace(stated, tenants=tenants[second % 3 :])
    return replace(stated)


@settings(derandomize=True, max_examples=250, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    steps=st.lists(st.one_of(STEPS, STEPS, STEPS, CHANGES), min_size=20, max_size=120),
    seed=st.integers(0, 2**32),
    is_polled=st.booleans(),
    endpoint_count=st.integers(0, 14),
)
def test_the_rules_hold_while_settings_change(
    steps: list[Step | SettingsChange], seed: int, is_polled: bool, endpoint_count: int
) -> None:
    limits = Limits(cancel=True, hedging=True, max_attempts=4)
    stated = random_settings(RULES, limits, seed % 3, seed % 2, is_polled)
    checker = RulesChecker(stated, seed, spread_endpoints(endpoint_count))
    for step in steps:
        if isinstance(step, SettingsChange):
            checker.reconfigure(change_settings(checker.settings, step))
        else:
            play_step(checker, step)
    checker.advance(10.0)
    left = checker.balancer.requests.values()
    assert all(request.response_started for request in left)  # streams that have started know no deadline
    pending = sum(pool.pending for pool in checker.balancer.assignment.pools)
    assert pending == sum(not request.answered for request in left)


@pytest.mark.parametrize(
    ("first", "now", "message"),
    [
        (0, "later", "sent twice"),
        (1, "later", "rejected although"),
        (0, "places", "not open"),
    ],
)
def test_a_balancer_that_keeps_to_one_of_both_classes_is_caught(
    monkeypatch: pytest.MonkeyPatch, first: int, now: str, message: str
) -> None:
    later = {
        "later": (
            replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT),
            replace(NON_IDEMPOTENT, idempotency=Idempotency.IDEMPOTENT),
        ),
        "places": (replace(IDEMPOTENT, allowed_zones=(1,)), NON_IDEMPOTENT),
    }[now]
    # What a balancer does that keeps to the class as admitted, or to the one in force.
    wrong = (lambda admitted, _stated: admitted) if first == 0 else (lambda _admitted, stated: stated)
    monkeypatch.setattr("balancer.reconfiguration.narrow_class", wrong)
    endpoints = [row for row in ENDPOINTS if row.zone == 0] if now == "places" else ENDPOINTS
    checker = make_checker(
        replace(BASE, limits=Limits(max_attempts=1 if first else 3), zone_count=2), endpoints
    )
    request_id = checker.request(first, 4.0)
    checker.reconfigure(replace(checker.settings, classes=later))
    with pytest.raises(AssertionError, match=message):
        checker.finish_attempt(request_id, 0, Outcome.TIMEOUT)
