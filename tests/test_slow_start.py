"""Slow start: how few calls one instance gives a warming endpoint, and when."""

from __future__ import annotations

from decision_helpers import IDEMPOTENT, make_balancer

from balancer.balancer import Balancer
from balancer.endpoint_state import EndpointState
from balancer.endpoints import Endpoint, UpdateKind
from balancer.events import Outcome, StartAttempt
from balancer.settings import Rules, Settings


def defer(balancer: Balancer, now: float, state: EndpointState) -> bool:
    """Ask whether a warming endpoint is passed over for a call."""
    pools = balancer.assignment.pools
    return balancer.slow_start.defers(now, state, pools[0], pools)


def test_a_restart_draws_the_warm_up_phase_anew() -> None:
    rules = Rules(
        warmup_initial_capacity=0.3, warmup_duration=9.0, overload_multiple=3.0, overload_interval=2.0
    )
    balancer = make_balancer(
        Settings(classes=(IDEMPOTENT,), rules=rules), [Endpoint(1, started=99.0), Endpoint(2)]
    )
    state = balancer.endpoints.states[1]
    for _ in range(200):
        defer(balancer, 100.0, state)
    assert state.refilled_at > 0.0
    balancer.on_endpoints_updated(500.0, UpdateKind.DELTA, [Endpoint(1, started=499.0)])
    assert (state.refilled_at, state.warmup_tokens) == (0.0, 0.0)
    while state.refilled_at <= 0.0:
        defer(balancer, 500.0, state)
    assert state.warmup_tokens < 1.0, "tokens from before the restart"


def test_warming_endpoints_outside_the_subset_get_nothing_when_it_rejects() -> None:
    endpoints = [Endpoint(i) for i in range(1, 21)]
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,), fleet_size=20), endpoints)
    [own] = balancer.assignment.pools[0].subset
    warming = [Endpoint(i, started=100.0) for i in range(1, 21) if i != own.endpoint.id]
    balancer.on_endpoints_updated(100.1, UpdateKind.DELTA, warming)
    assert balancer.assignment.pools[0].subset == [own]
    for n in range(60):
        now = 100.2 + n / 20
        for action in balancer.on_request(now, f"r{n}", 0, 0, now + 4.0):
            assert not isinstance(action, StartAttempt) or action.endpoint == own.endpoint.id
            if isinstance(action, StartAttempt):
                balancer.on_attempt_finished(now + 0.01, f"r{n}", 0, Outcome.UNREACHABLE, 0.01)


def test_where_most_endpoints_warm_up_they_carry_their_part() -> None:
    """Six of ten just started, at 0.4 of what they can do: 2.4 of 6.4 is theirs, half of it surely."""
    balancer = make_balancer(
        Settings(
            classes=(IDEMPOTENT,),
            rules=Rules(warmup_initial_capacity=0.4, warmup_duration=1e6, overload_interval=2.0),
        )
    )
    endpoints = [Endpoint(i, started=99.0 if i > 4 else 0.0) for i in range(1, 11)]
    balancer.on_endpoints_updated(100.0, UpdateKind.SNAPSHOT, endpoints)
    now, warming, sent = 100.0, 0, 2000
    for n in range(sent):
        now += 0.02
        [send] = balancer.on_request(now, f"r{n}", 0, 0, now + 4.0)
        assert isinstance(send, StartAttempt)
        warming += send.endpoint > 4
        balancer.on_attempt_finished(now + 0.01, f"r{n}", 0, Outcome.SUCCESS, 0.01, True)
    part = 2.4 / 6.4
    assert 0.5 * part <= warming / sent <= part


def test_rejected_clients_that_come_back_do_not_fill_a_warm_up_budget() -> None:
    """The budget goes by calls sent: four offered for each one sent must not give it four times as much."""
    rules = Rules(
        warmup_initial_capacity=0.3, warmup_duration=20.0, overload_multiple=3.0, overload_interval=2.0
    )

    def tokens(rejected: int) -> float:
        balancer = make_balancer(Settings(classes=(IDEMPOTENT,), rules=rules))
        now = 100.0
        for n in range(400):
            now += 0.01
            if isinstance(balancer.on_request(now, f"w{n}", 0, 0, now + 4.0)[0], StartAttempt):
                balancer.on_attempt_finished(now, f"w{n}", 0, Outcome.SUCCESS, 0.1, True)
            for k in range(rejected):
                balancer.on_request(now, f"p{n}_{k}", 0, 0, now)
        balancer.on_endpoints_updated(now, UpdateKind.DELTA, [Endpoint(1, started=now)])
        state = balancer.endpoints.states[1]
        while state.refilled_at <= 0.0:
            defer(balancer, now, state)
        state.warmup_tokens = 0.0
        for _ in range(300):
            defer(balancer, now + 0.05, state)
        return state.warmup_tokens

    # one of eight is warming up, and that part still goes by what is offered: 7/8 + 4/8
    assert 0.0 < tokens(3) <= 1.4 * tokens(0)
