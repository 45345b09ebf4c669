"""The circuit breaker: its formulas, with expected values that are calculated by hand."""

from random import Random

import pytest

from balancer.circuit_breaker import CircuitBreaker


def test_the_multiplier_of_the_error_probability_falls_with_failing_buckets() -> None:
    breaker = CircuitBreaker()
    for _ in range(20):
        breaker.record_failure(0.0)
    # Without accepts, the multiplier does not matter: (20 - 5) / 21.
    assert breaker.error_probability(0.0) == pytest.approx(15 / 21)
    breaker.record_accepted(0.0)
    # An accept resets the count of failing buckets: (21 - 5 - 1.5) / 22.
    assert breaker.error_probability(0.0) == pytest.approx(14.5 / 22)
    breaker.record_failure(0.3)
    # The newest bucket has only failures, so the multiplier is 1.5 - 0.4 / 40 = 1.49: (22 - 5 - 1.49) / 23.
    assert breaker.error_probability(0.3) == pytest.approx(15.51 / 23)


def test_five_requests_do_not_count_and_old_ones_leave_the_window() -> None:
    breaker = CircuitBreaker()
    for _ in range(5):
        breaker.record_failure(0.0)
    assert breaker.error_probability(0.0) == 0.0
    breaker.record_failure(0.0)
    assert breaker.error_probability(9.9) == pytest.approx(1 / 7)
    assert breaker.error_probability(10.0) == 0.0  # bucket 0 has left the window


def test_local_rejections_count_as_requests() -> None:
    breaker = CircuitBreaker()
    for _ in range(6):
        breaker.record_rejection(0.0)
    assert breaker.error_probability(0.0) == pytest.approx(1 / 7)


def test_the_baseline_falls_fast_and_rises_slowly() -> None:
    breaker = CircuitBreaker()
    breaker.record_latency(0.1)
    assert (breaker.latency_baseline, breaker.current_latency) == (0.1, 0.1)
    breaker.record_latency(0.5)  # (0.5 + 99 * 0.1) / 100 and (0.5 + 3 * 0.1) / 4
    assert breaker.latency_baseline == pytest.approx(0.104)
    assert breaker.current_latency == pytest.approx(0.2)
    breaker.record_latency(0.004)  # (0.004 + 3 * 0.104) / 4 and (0.004 + 3 * 0.2) / 4
    assert breaker.latency_baseline == pytest.approx(0.079)
    assert breaker.current_latency == pytest.approx(0.151)


@pytest.mark.parametrize(
    ("baseline", "current", "timeout", "expected"),
    [
        (0.1, 0.3, 1.0, 0.0),  # at 3 times the baseline
        (0.1, 0.625, 1.0, 0.15),  # halfway between 0.3 s and 0.95 s
        (0.1, 5.0, 1.0, 0.3),  # above the maximum
        (0.1, 0.2, 1.0, 0.0),  # below 3 times the baseline
        (0.4, 5.0, 1.0, 0.0),  # 3 times the baseline is above the ceiling
        (0.1, 5.0, 0.0, 0.0),  # no timeout
        (0.0, 0.0, 1.0, 0.0),  # no samples
    ],
)
def test_the_latency_probability_is_capped(
    baseline: float, current: float, timeout: float, expected: float
) -> None:
    breaker = CircuitBreaker()
    breaker.latency_baseline, breaker.current_latency = baseline, current
    assert breaker.latency_probability(timeout) == pytest.approx(expected)


def test_the_larger_probability_applies_and_one_probe_per_second_passes() -> None:
    breaker = CircuitBreaker()
    breaker.latency_baseline, breaker.current_latency = 0.1, 5.0
    assert breaker.rejection_probability(0.0, 1.0) == pytest.approx(0.3)
    for _ in range(500):
        breaker.record_failure(0.0)
    assert breaker.rejection_probability(0.0, 1.0) == pytest.approx(495 / 501)
    rng = Random(1)
    assert not breaker.rejects(0.0, 1.0, rng)  # the probe
    assert sum(breaker.rejects(0.5, 1.0, rng) for _ in range(20)) >= 18
    assert not breaker.rejects(breaker.last_probe_at + 1.0, 1.0, rng)
