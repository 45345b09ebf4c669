"""One small test for each failure found; each fails without its fix."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from heapq import heappop, heappush
from random import Random

import pytest
from rules_checker import RulesChecker

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import CancelAttempt, Fail, Outcome, Reject, SetTimer, StartAttempt
from balancer.settings import Idempotency, Limits, RequestClass, Rules, Settings, Tenant

SAFE = RequestClass(
    "a", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.IDEMPOTENT, priority_weight=1.0
)
DEAR = RequestClass(
    "b", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.NON_IDEMPOTENT, priority_weight=10.0
)
ROWS = [Endpoint(i) for i in range(1, 9)]


def balancer(settings: Settings, rows: list[Endpoint] = ROWS) -> Balancer:
    made = Balancer(settings, 1)
    made.on_endpoints_updated(100.0, UpdateKind.CACHED, rows)
    made.start(100.0)
    return made


def test_attempts_end_at_the_aim_where_late_answers_are_worth_nothing() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    [send] = b.on_request(100.0, "r", 0, 0, 104.0)
    assert isinstance(send, StartAttempt)
    assert send.timeout == pytest.approx(0.98)
    [answer] = b.on_attempt_finished(100.98, "r", 0, Outcome.TIMEOUT, 0.98)
    assert isinstance(answer, Reject)


@pytest.mark.parametrize(("late_worth", "timeout"), [(0.0, 0.98), (0.3, 0.98), (0.5, 0.98), (0.8, 0.0)])
def test_attempts_run_to_the_deadline_where_late_answers_keep_most_worth(
    late_worth: float, timeout: float
) -> None:
    late = RequestClass(
        "a", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.IDEMPOTENT, late_weight=late_worth
    )
    [send] = balancer(Settings(classes=(late,))).on_request(100.0, "r", 0, 0, 104.0)
    assert isinstance(send, StartAttempt)
    assert send.timeout == pytest.approx(timeout)


def tries(b: Balancer, lengths: list[float]) -> list[type]:
    """The first action for tries that last so long, a second apart."""
    out = []
    for n, length in enumerate(lengths):
        now = 200.0 + n
        out.append(type(b.on_request(now, f"t{n}", 0, 0, now + length)[0]))
        b.on_attempt_finished(now + 0.01, f"t{n}", 0, Outcome.SUCCESS, 0.01, True)
    return out


def test_a_late_repeat_of_a_client_is_refused_at_once() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    # Only 2 s to go: its first try came 2 s ago, and its aim is past.
    assert tries(b, [3.0] * 5 + [2.0]) == [StartAttempt] * 5 + [Reject]


@pytest.mark.parametrize(("marks", "repeats", "answer"), [(True, False, StartAttempt), (True, True, Reject)])
def test_a_short_try_is_a_repeat_only_where_no_mark_says_otherwise(
    marks: bool, repeats: bool, answer: type
) -> None:
    b = balancer(Settings(classes=(SAFE,), clients_mark_retries=marks))
    tries(b, [3.0] * 5)
    assert isinstance(b.on_request(300.0, "s", 0, 0, 301.5, 0.0, repeats)[0], answer)


def test_a_long_last_try_does_not_make_first_tries_late() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    assert tries(b, [3.0] * 5 + [3.7, 3.0, 3.72, 3.0, 3.74, 3.0])[5:] == [StartAttempt] * 6


def test_a_lower_tier_that_is_told_the_callers_time_keeps_to_it() -> None:
    b = balancer(Settings(classes=(SAFE,), tier=1, tier_count=2))
    assert isinstance(b.on_request(100.0, "r", 0, 0, 103.0)[0], StartAttempt)
    [send] = b.on_request(110.0, "s", 0, 0, 110.5)
    assert isinstance(send, StartAttempt)
    assert send.timeout == 0.0


def subset_shares(balancers: int, servers: int) -> list[float]:
    """How much each server gets when every instance sends one call after another."""
    shares = dict.fromkeys(range(1, servers + 1), 0.0)
    for me in range(balancers):
        b = Balancer(Settings(classes=(SAFE,), fleet_size=balancers, ordinal=me), me)
        b.on_endpoints_updated(100.0, UpdateKind.CACHED, [Endpoint(i) for i in shares])
        begin, width = b.assignment.pools[0].ring_start, b.assignment.pools[0].ring_span
        for server, end in zip(
            b.assignment.pools[0].subset, b.assignment.pools[0].cumulative_weights, strict=True
        ):
            low = max(begin, end - 1.0)
            shares[server.endpoint.id] += max(0.0, min(begin + width, end) - low) / width
    return list(shares.values())


@pytest.mark.parametrize(("balancers", "servers"), [(12, 20), (20, 12), (7, 7), (60, 15), (1, 5)])
def test_subsets_cover_every_server_alike(balancers: int, servers: int) -> None:
    shares = subset_shares(balancers, servers)
    if balancers >= servers:
        assert shares == pytest.approx([balancers / servers] * servers)
    else:  # narrow subsets leave gaps that load closes by widening them
        assert sum(shares) == pytest.approx(balancers)
        assert max(shares) <= 1.0 + 1e-9


def test_subsets_widen_with_the_calls_in_flight() -> None:
    settings = Settings(classes=(SAFE,), fleet_size=40)
    checker = RulesChecker(settings, 1, [Endpoint(i) for i in range(40)])
    assert len(checker.balancer.assignment.pools[0].subset) == 1
    steady(checker, 8.0, 100.0)
    assert 3 < len(checker.balancer.assignment.pools[0].subset) < 40


def steady(checker: RulesChecker, seconds: float, rate: float, kind: int = 0) -> None:
    """Calls at an even pace, each answered after about a third of a second."""
    rng = Random(7)
    end = checker.now + seconds
    while checker.now < end:
        checker.request(kind, 4.0)
        checker.advance(1.0 / rate)
        for rid, number in checker.open_attempts():
            if rng.random() < 3.0 / rate:
                checker.finish_attempt(rid, number, Outcome.SUCCESS)


def test_overload_refuses_the_cheapest_class_first() -> None:
    b = balancer(Settings(classes=(SAFE, DEAR)))
    now = 100.0
    for n in range(400):  # 100 a second, each served at once
        now += 0.01
        b.on_request(now, f"w{n}", 1, 0, now + 4.0)
        b.on_attempt_finished(now, f"w{n}", 0, Outcome.SUCCESS, 0.1, True)
    refused = {0: 0, 1: 0}
    for n in range(120):  # then nothing comes back any more
        now += 0.001
        for kind in (0, 1):
            if isinstance(b.on_request(now, f"x{kind}{n}", kind, 0, now + 4.0)[0], Reject):
                refused[kind] += 1
        if n == 30:
            assert refused[0] > 0 == refused[1]
    assert refused[1] > 0


@pytest.mark.parametrize("balancers", [2, 4, 7])
def test_latency_far_over_its_baseline_refuses_by_chance_where_many_share_a_tier(balancers: int) -> None:
    """The aim alone leaves room for seven times the baseline, at which servers hold far too much."""
    classes = tuple(replace(row, latency_objective=4.0) for row in (SAFE, DEAR))
    b = balancer(Settings(classes=classes, fleet_size=balancers))
    now, out = 100.0, list[tuple[float, str]]()

    def play(latency: float, seconds: float) -> list[int]:
        """Forty a second, half of each class, each served after so long; counts those refused."""
        nonlocal now
        refused = [0, 0]
        for _ in range(int(40 * seconds)):
            now += 1 / 40
            while out and out[0][0] <= now:
                end, rid = out.pop(0)
                b.on_attempt_finished(end, rid, 0, Outcome.SUCCESS, latency, True)
            rid = f"r{round(40 * now)}"
            kind = round(40 * now) % 2
            if isinstance(b.on_request(now, rid, kind, 0, now + 4.0)[0], StartAttempt):
                out.append((now + latency, rid))
            else:
                refused[kind] += 1
        return refused

    assert sum(play(0.2, 10.0)) == 0
    cheap, dear = play(0.8, 2.0)
    assert (cheap > dear) is (balancers > 2), "two see it by themselves, and a burst is soon over"
    play(0.2, 5.0)
    assert sum(play(0.2, 10.0)) == 0, "it goes on refusing once the servers are quick again"


def test_work_that_varies_much_is_no_crowd() -> None:
    """Single latencies go far below their mean where work varies: their baseline is no measure of a mean."""
    classes = tuple(replace(row, latency_objective=4.0) for row in (SAFE, DEAR))
    b = balancer(Settings(classes=classes, fleet_size=7))
    work = Random(5)
    out: list[tuple[float, str, float]] = []
    refused = 0
    for n in range(2000):  # forty a second; a tenth of them takes half of all time
        now = 100.0 + n / 40
        while out and out[0][0] <= now:
            end, rid, latency = heappop(out)
            b.on_attempt_finished(end, rid, 0, Outcome.SUCCESS, latency, True)
        latency = 1.0 if work.random() < 0.1 else 0.2 * work.random()
        if isinstance(b.on_request(now, f"r{n}", n % 2, 0, now + 4.0)[0], StartAttempt):
            heappush(out, (now + latency, f"r{n}", latency))
        else:
            refused += 1
    assert refused < 40, refused


def test_long_work_of_one_class_holds_no_room_of_short_work() -> None:
    short, long = (
        replace(SAFE, latency_objective=0.75, priority_weight=5.0),
        replace(DEAR, latency_objective=3.0, deadline=8.0, priority_weight=8.0),
    )
    b = balancer(Settings(classes=(short, long), fleet_size=2))
    out: list[tuple[float, str, float]] = []
    refused = [0, 0]
    for n in range(1200):  # forty a second, three quarters of them short; each ends well within its aim
        now = 100.0 + n / 40
        while out and out[0][0] <= now:
            end, rid, latency = heappop(out)
            b.on_attempt_finished(end, rid, 0, Outcome.SUCCESS, latency, True)
        kind = int(n % 4 == 0)
        latency = 2.4 if kind else 0.1
        if isinstance(b.on_request(now, f"r{n}", kind, 0, now + 2.0 + 6.0 * kind)[0], StartAttempt):
            heappush(out, (now + latency, f"r{n}", latency))
        elif n > 200:  # by then each class has been served for a while
            refused[kind] += 1
    assert sum(refused) < 12, refused


def test_lower_tiers_never_refuse_for_overload() -> None:
    b = balancer(Settings(classes=(SAFE, DEAR), tier=1, tier_count=2))
    answers = [b.on_request(100.0 + n / 1000, f"x{n}", 0, 0, 104.0)[0] for n in range(200)]
    assert all(isinstance(a, StartAttempt) for a in answers)


def test_nothing_served_yet_is_no_overload() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    answers = [b.on_request(100.0 + n / 100, f"x{n}", 0, 0, 110.0)[0] for n in range(30)]
    assert sum(isinstance(a, StartAttempt) for a in answers) >= 27


def test_sparse_proxies_shed_by_what_they_lost() -> None:
    b = balancer(Settings(classes=(SAFE, DEAR)))
    now = 100.0
    for n in range(8):  # one call a second, all lost
        now += 1.0
        if isinstance(b.on_request(now, f"r{n}", 1, 0, now + 4.0)[0], StartAttempt):
            b.on_attempt_finished(now + 0.98, f"r{n}", 0, Outcome.TIMEOUT, 0.98)
    answers = [b.on_request(now + 1.0, f"s{n}", 0, 0, now + 5.0)[0] for n in range(2)]
    later = b.on_request(now + 60.0, "t", 0, 0, now + 64.0)[0]
    assert any(isinstance(a, Reject) for a in answers)
    assert isinstance(later, StartAttempt), "a loss long ago still counts"


def test_a_jam_of_a_bound_class_holds_no_room_of_the_others() -> None:
    bound = RequestClass(
        "bound",
        latency_objective=1.0,
        deadline=4.0,
        idempotency=Idempotency.IDEMPOTENT,
        allowed_machine_types=(1,),
    )
    b = balancer(Settings(classes=(SAFE, bound)), [*ROWS, Endpoint(9, machine_type=1)])
    now = 100.0
    for n in range(100):  # the only server open to the bound class answers nothing
        now += 0.02
        b.on_request(now, f"b{n}", 1, 0, now + 4.0)
        b.on_request(now, f"f{n}", 0, 0, now + 4.0)
        b.on_attempt_finished(now, f"f{n}", 0, Outcome.SUCCESS, 0.1, True)
    assert isinstance(b.on_request(now, "bound", 1, 0, now + 4.0)[0], Reject)
    assert isinstance(b.on_request(now, "free", 0, 0, now + 4.0)[0], StartAttempt)


def calls(b: Balancer, tenant: int, fifth: Outcome) -> float:
    """Eight seconds of 50 calls a second, of which one in five ends so; returns the time after them."""
    now = 100.0
    for n in range(400):
        now += 0.02
        b.on_request(now, f"w{n}", 0, tenant, now + 4.0)
        b.on_attempt_finished(now, f"w{n}", 0, Outcome.SUCCESS if n % 5 else fifth, 0.1)
    return now


@pytest.mark.parametrize(
    ("fifth", "answer"),
    [(Outcome.SUCCESS, StartAttempt), (Outcome.ERROR, StartAttempt), (Outcome.TIMEOUT, Reject)],
)
def test_room_shrinks_where_load_makes_requests_fail(fifth: Outcome, answer: type) -> None:
    b = balancer(Settings(classes=(DEAR,)))
    now = calls(b, 0, fifth)
    for n in range(27):  # room for 0.7 x 50 in a second, or for 0.4 x 40
        b.on_request(now, f"x{n}", 0, 0, now + 4.0)
    assert isinstance(b.on_request(now, "y", 0, 0, now + 4.0)[0], answer)


@pytest.mark.parametrize(("quota", "answer"), [(1.0, Reject), (1000.0, StartAttempt), (0.0, StartAttempt)])
def test_what_is_over_a_share_goes_first_where_requests_fail(quota: float, answer: type) -> None:
    tenants = (Tenant("calm", 0.5, 1000.0), Tenant("burst", 0.5, quota))
    b = balancer(Settings(classes=(DEAR,), tenants=tenants, over_quota_weight=0.1))
    now = calls(b, 1, Outcome.TIMEOUT)
    for n in range(10):
        b.on_request(now, f"x{n}", 0, 0, now + 4.0)
    assert isinstance(b.on_request(now, "over", 0, 1, now + 4.0)[0], answer)
    assert isinstance(b.on_request(now, "within", 0, 0, now + 4.0)[0], StartAttempt)


@pytest.mark.parametrize("protection", [1.0, 1000.0])
def test_whole_requests_are_throttled_where_each_server_is_seldom_seen(
    protection: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("balancer.admission_control.POOL_PROTECTION", protection)
    b = balancer(Settings(classes=(SAFE,), fleet_size=40), [Endpoint(i) for i in range(40)])
    sent = 0
    for n in range(20):  # four a second, each on another server, none answered
        now = 100.0 + n / 4.0
        actions = b.on_request(now, f"r{n}", 0, 0, now + 4.0)
        if isinstance(actions[0], StartAttempt):
            sent += 1
            b.on_attempt_finished(now + 0.2, f"r{n}", 0, Outcome.TIMEOUT, 0.2)
            b.on_client_disconnected(now + 0.2, f"r{n}")
        for server in b.endpoints.states.values():
            server.breaker = None  # as if it had not been seen before
    assert (sent < 14) is (protection == 1.0)


def test_a_request_too_heavy_for_its_time_is_refused() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    now = 100.0
    for n in range(50):
        now += 1.0
        b.on_request(now, f"r{n}", 0, 0, now + 4.0, 0.1)
        b.on_attempt_finished(now + 0.2, f"r{n}", 0, Outcome.SUCCESS, 0.2, True)
    assert isinstance(b.on_request(now + 1.0, "heavy", 0, 0, now + 5.0, 5.0)[0], Reject)
    assert isinstance(b.on_request(now + 1.0, "light", 0, 0, now + 5.0, 0.1)[0], StartAttempt)


def test_unfair_first_samples_do_not_refuse() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    for n in range(3):  # 90 times their cost: they stood in a queue
        b.on_request(100.0 + n, f"r{n}", 0, 0, 104.0 + n, 0.01)
        b.on_attempt_finished(100.9 + n, f"r{n}", 0, Outcome.SUCCESS, 0.9, True)
    assert isinstance(b.on_request(110.0, "s", 0, 0, 114.0, 0.1)[0], StartAttempt)


def test_an_unfair_baseline_does_not_refuse_for_good() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    b.statistics.latency_per_cost, b.statistics.sample_count = 90.0, 100
    answers = [b.on_request(110.0 + n, f"s{n}", 0, 0, 114.0 + n, 0.1)[0] for n in range(60)]
    assert isinstance(answers[0], Reject)
    assert any(isinstance(a, StartAttempt) for a in answers)


def test_a_restart_draws_the_cold_phase_anew() -> None:
    rules = Rules(
        warmup_initial_capacity=0.3, warmup_duration=9.0, overload_multiple=3.0, overload_interval=2.0
    )
    b = balancer(Settings(classes=(SAFE,), rules=rules), [Endpoint(1, started=99.0), Endpoint(2)])
    server = b.endpoints.states[1]
    for _ in range(200):
        b.slow_start.defers(100.0, server, b.assignment.pools[0], b.assignment.pools)
    assert server.refilled_at > 0.0
    b.on_endpoints_updated(500.0, UpdateKind.DELTA, [Endpoint(1, started=499.0)])
    assert (server.refilled_at, server.warmup_tokens) == (0.0, 0.0)
    while server.refilled_at <= 0.0:
        b.slow_start.defers(500.0, server, b.assignment.pools[0], b.assignment.pools)
    assert server.warmup_tokens < 1.0, "credit from before the restart"


def test_absence_from_a_list_keeps_start_and_size() -> None:
    b = balancer(Settings(classes=(SAFE,)), [Endpoint(1, size=2.0, started=99.0), Endpoint(2)])
    b.on_endpoints_updated(101.0, UpdateKind.SNAPSHOT, [Endpoint(2)])
    assert b.endpoints.states[1].endpoint == Endpoint(1, EndpointStatus.GONE, size=2.0, started=99.0)


def test_an_unsafe_request_that_may_have_run_fails_at_its_aim() -> None:
    b = balancer(Settings(classes=(DEAR,), limits=Limits(max_attempts=4)))
    b.on_request(100.0, "r", 0, 0, 104.0)
    assert b.on_attempt_finished(100.98, "r", 0, Outcome.TIMEOUT, 0.98) == [Fail("r")]


def test_the_rest_of_the_list_stands_in_for_a_dead_subset() -> None:
    rows = [Endpoint(i) for i in range(1, 21)]
    b = balancer(Settings(classes=(SAFE,), fleet_size=20, limits=Limits(max_attempts=3)), rows)
    [own] = b.assignment.pools[0].subset
    for n in range(40):  # the only server of the subset cannot be reached
        now = 100.0 + n / 10
        sends = b.on_request(now, f"r{n}", 0, 0, now + 4.0)
        if isinstance(sends[0], StartAttempt) and sends[0].endpoint == own.endpoint.id:
            [again] = b.on_attempt_finished(now + 0.01, f"r{n}", 0, Outcome.UNREACHABLE, 0.01)
            assert not isinstance(again, StartAttempt) or again.endpoint != own.endpoint.id
            if isinstance(again, StartAttempt):
                b.on_attempt_finished(now + 0.02, f"r{n}", 1, Outcome.SUCCESS, 0.01, True)
        elif isinstance(sends[0], StartAttempt):
            b.on_attempt_finished(now + 0.02, f"r{n}", 0, Outcome.SUCCESS, 0.01, True)
    used = {s.endpoint.id for s in b.endpoints.states.values() if s.breaker is not None}
    assert len(used) > 8


def test_a_busy_subset_sends_on_to_the_few_servers_behind_it() -> None:
    used: Counter[int] = Counter()
    for me in range(100):
        settings = Settings(classes=(SAFE,), fleet_size=100, ordinal=me)
        b = balancer(settings, [Endpoint(i) for i in range(1, 101)])
        own = {s.endpoint.id for s in b.assignment.pools[0].subset}
        assert len(own) == 1
        sent = set()
        for n in range(60):  # never more than the subset can hold is answered in the meantime
            now = 100.0 + n / 100
            [send] = b.on_request(now, f"r{n}", 0, 0, now + 4.0)
            assert isinstance(send, StartAttempt)
            sent.add(send.endpoint)
            if n >= 3:
                b.on_attempt_finished(now, f"r{n - 3}", 0, Outcome.SUCCESS, 0.03, True)
        assert own < sent
        assert len(sent) <= 5
        used.update(sent)
    assert len(used) == 100
    assert max(used.values()) <= 5


def test_requests_stuck_on_dead_servers_do_not_hold_all_the_room() -> None:
    b = balancer(Settings(classes=(DEAR,)))
    now = 100.0
    for n in range(250):
        now += 0.02
        b.on_request(now, f"w{n}", 0, 0, now + 4.0)
        b.on_attempt_finished(now, f"w{n}", 0, Outcome.SUCCESS, 0.1, True)
    sent: dict[str, float] = {}
    for n in range(500):  # ten seconds in which every attempt ends by its time-out alone
        now += 0.02
        for rid, until in list(sent.items()):
            if until <= now:
                del sent[rid]
                b.on_attempt_finished(now, rid, 0, Outcome.TIMEOUT, 0.98)
        if isinstance(b.on_request(now, f"x{n}", 0, 0, now + 4.0)[0], StartAttempt):
            sent[f"x{n}"] = now + 0.98
    tried = sum(isinstance(b.on_request(now, f"y{n}", 0, 0, now + 4.0)[0], StartAttempt) for n in range(2))
    assert len(sent) + tried > 2, "only what is always let through was tried"


def test_cold_servers_outside_the_subset_get_nothing_when_it_refuses() -> None:
    rows = [Endpoint(i) for i in range(1, 21)]
    b = balancer(Settings(classes=(SAFE,), fleet_size=20), rows)
    [own] = b.assignment.pools[0].subset
    cold = [Endpoint(i, started=100.0) for i in range(1, 21) if i != own.endpoint.id]
    b.on_endpoints_updated(100.1, UpdateKind.DELTA, cold)
    assert b.assignment.pools[0].subset == [own]
    for n in range(60):
        now = 100.2 + n / 20
        for action in b.on_request(now, f"r{n}", 0, 0, now + 4.0):
            assert not isinstance(action, StartAttempt) or action.endpoint == own.endpoint.id
            if isinstance(action, StartAttempt):
                b.on_attempt_finished(now + 0.01, f"r{n}", 0, Outcome.UNREACHABLE, 0.01)


def test_where_most_are_cold_they_carry_their_part() -> None:
    """Six of ten just started, at 0.4 of what they can do: 2.4 of 6.4 is theirs, half of it surely."""
    b = balancer(
        Settings(
            classes=(SAFE,),
            rules=Rules(warmup_initial_capacity=0.4, warmup_duration=1e6, overload_interval=2.0),
        )
    )
    rows = [Endpoint(i, started=99.0 if i > 4 else 0.0) for i in range(1, 11)]
    b.on_endpoints_updated(100.0, UpdateKind.SNAPSHOT, rows)
    now, cold, sent = 100.0, 0, 2000
    for n in range(sent):
        now += 0.02
        [send] = b.on_request(now, f"r{n}", 0, 0, now + 4.0)
        assert isinstance(send, StartAttempt)
        cold += send.endpoint > 4
        b.on_attempt_finished(now + 0.01, f"r{n}", 0, Outcome.SUCCESS, 0.01, True)
    part = 2.4 / 6.4
    assert 0.5 * part <= cold / sent <= part


def test_refused_clients_that_come_back_do_not_fill_a_cold_budget() -> None:
    """The budget goes by calls sent: four offered for each one sent must not give it four times as much."""
    rules = Rules(
        warmup_initial_capacity=0.3, warmup_duration=20.0, overload_multiple=3.0, overload_interval=2.0
    )

    def credit(refused: int) -> float:
        b = balancer(Settings(classes=(SAFE,), rules=rules))
        now = 100.0
        for n in range(400):
            now += 0.01
            if isinstance(b.on_request(now, f"w{n}", 0, 0, now + 4.0)[0], StartAttempt):
                b.on_attempt_finished(now, f"w{n}", 0, Outcome.SUCCESS, 0.1, True)
            for k in range(refused):
                b.on_request(now, f"p{n}_{k}", 0, 0, now)
        b.on_endpoints_updated(now, UpdateKind.DELTA, [Endpoint(1, started=now)])
        server = b.endpoints.states[1]
        while server.refilled_at <= 0.0:
            b.slow_start.defers(now, server, b.assignment.pools[0], b.assignment.pools)
        server.warmup_tokens = 0.0
        for _ in range(300):
            b.slow_start.defers(now + 0.05, server, b.assignment.pools[0], b.assignment.pools)
        return server.warmup_tokens

    # one of eight is cold, and that part still goes by what is offered: 7/8 + 4/8
    assert 0.0 < credit(3) <= 1.4 * credit(0)


def test_a_silent_servers_average_fades_to_the_tiers() -> None:
    server = balancer(Settings(classes=(SAFE,))).endpoints.states[1]
    server._record_latency(100.0, 1.0)
    assert server.score(100.0, 0.1) == pytest.approx(1.0)
    assert server.score(105.0, 0.1) == pytest.approx(0.55)
    assert server.score(1000.0, 0.1) < 0.11


def test_the_age_of_the_oldest_call_out_is_a_sample() -> None:
    b = balancer(Settings(classes=(SAFE,)), [Endpoint(1)])
    b.on_request(100.0, "r", 0, 0, 104.0)
    assert b.endpoints.states[1].score(100.9, 0.1) == pytest.approx(0.9 * 2.0)


def test_a_failure_costs_a_time_out_in_the_pick() -> None:
    b = balancer(Settings(classes=(SAFE,)), [Endpoint(1)])
    b.on_request(100.0, "r", 0, 0, 104.0)
    b.on_attempt_finished(100.001, "r", 0, Outcome.ERROR, 0.001)
    assert b.endpoints.states[1].mean_latency == pytest.approx(1.0)


def test_one_slow_first_answer_makes_no_baseline() -> None:
    b = balancer(Settings(classes=(SAFE,)), [Endpoint(1)])
    b.statistics.tier_latency = 0.1
    b.on_request(100.0, "r", 0, 0, 104.0)
    b.on_attempt_finished(100.9, "r", 0, Outcome.SUCCESS, 0.9, True)
    breaker = b.endpoints.states[1].breaker
    assert breaker is not None
    assert breaker.latency_baseline < 0.11


@pytest.mark.parametrize(("balancers", "taken"), [(2, 4), (3, 3)])
def test_a_burst_at_a_proxy_alone_in_its_zone_is_no_overload(balancers: int, taken: int) -> None:
    settings = Settings(classes=(DEAR,), fleet_size=balancers, zone_count=2, limits=Limits(cancel=True))
    checker = RulesChecker(settings, 5, ROWS)
    for _ in range(8):
        rid = checker.request(0, 4.0)
        checker.advance(0.05)
        checker.finish_attempt(rid, 0, Outcome.SUCCESS)
        checker.advance(0.95)
    rids = [checker.request(0, 4.0) for _ in range(4)]
    assert sum(bool(checker.requests[rid].attempts) for rid in rids) == taken


def served(b: Balancer, latency: float = 0.05, count: int = 40) -> None:
    """Calls one after another, each answered after so long."""
    for n in range(count):
        now = 101.0 + n
        b.on_request(now, f"s{n}", 0, 0, now + 4.0)
        b.on_attempt_finished(now + latency, f"s{n}", 0, Outcome.SUCCESS, latency, True)


def copying(kind: RequestClass = SAFE, second_copies: bool = True) -> Balancer:
    limits = Limits(cancel=True, hedging=second_copies, max_attempts=3)
    b = balancer(Settings(classes=(kind,), limits=limits))
    served(b)
    return b


def test_an_attempt_that_is_never_answered_gets_a_copy_elsewhere() -> None:
    b = copying()
    send, timer = b.on_request(200.0, "r", 0, 0, 204.0)
    assert isinstance(send, StartAttempt)
    assert isinstance(timer, SetTimer)
    assert 200.09 < timer.at < 200.5  # far over the usual 50 ms, with time to spare for the copy
    [copy] = b.on_timer(timer.at, timer.token)
    assert isinstance(copy, StartAttempt)
    assert copy.endpoint != send.endpoint
    assert b.on_attempt_finished(timer.at + 0.05, "r", 1, Outcome.SUCCESS, 0.05, True) == [
        CancelAttempt("r", 0)
    ]
    b.on_attempt_finished(timer.at + 0.05, "r", 0, Outcome.CANCELLED, timer.at - 199.95)
    assert b.endpoints.states[send.endpoint].mean_latency > 0.07  # it took at least that long
    assert not b.requests
    assert timer.token not in b.hedging.hedges


def test_an_attempt_that_ended_in_time_gets_no_copy() -> None:
    b = copying()
    _, timer = b.on_request(200.0, "r", 0, 0, 204.0)
    again, later = b.on_attempt_finished(200.05, "r", 0, Outcome.ERROR, 0.05)
    assert isinstance(again, StartAttempt)
    assert isinstance(timer, SetTimer)
    assert isinstance(later, SetTimer)
    assert b.on_timer(timer.at, timer.token) == []  # the second attempt has a look of its own
    b.on_attempt_finished(200.1, "r", 1, Outcome.SUCCESS, 0.05, True)
    assert b.on_timer(later.at, later.token) == []


def test_no_copies_where_they_may_not_be_or_all_are_slow() -> None:
    unsafe = RequestClass("b", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.NON_IDEMPOTENT)
    slow = balancer(Settings(classes=(SAFE,), limits=Limits(cancel=True, hedging=True)))
    served(slow, 0.4)
    limits = Limits(cancel=True, hedging=True)
    upper = balancer(Settings(classes=(SAFE,), limits=limits, tier_count=2))
    served(upper)
    for b in (copying(unsafe), copying(second_copies=False), slow, upper):
        [send] = b.on_request(200.0, "r", 0, 0, 204.0)
        assert isinstance(send, StartAttempt)


def test_copies_leave_the_budget_of_retries_alone_and_are_few() -> None:
    b = copying()
    copies = 0
    for n in range(20):
        now = 200.0 + n / 4.0
        _, timer = b.on_request(now, f"r{n}", 0, 0, now + 4.0)
        assert isinstance(timer, SetTimer)
        copies += len(b.on_timer(timer.at, timer.token))
        b.on_attempt_finished(timer.at + 0.01, f"r{n}", 0, Outcome.SUCCESS, timer.at + 0.01 - now, True)
    assert 0 < copies <= 3
    assert not b.retry_budgets.retries._retries


@pytest.mark.parametrize(
    ("tier", "limits", "least", "most"),
    [
        (0, Limits(retry_after=True, max_retry_after=2.5), 0.05, 0.5),  # answers take about a third of one
        (0, Limits(retry_after=True, max_retry_after=0.01), 0.01, 0.01),
        (0, Limits(), 0.0, 0.0),
        (1, Limits(retry_after=True, max_retry_after=2.5), 0.0, 0.0),
    ],
)
def test_refused_clients_hear_when_to_come_back(tier: int, limits: Limits, least: float, most: float) -> None:
    checker = RulesChecker(Settings(classes=(SAFE,), tier=tier, tier_count=2, limits=limits), 3, ROWS)
    steady(checker, 4.0, 10.0)
    b = checker.balancer
    b.on_endpoints_updated(checker.now, UpdateKind.SNAPSHOT, [])  # nowhere to go: refused, whatever the room
    [refusal] = b.on_request(checker.now, "r", 0, 0, checker.now + 4.0)
    assert isinstance(refusal, Reject)
    assert least <= refusal.retry_after <= most
