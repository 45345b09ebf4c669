"""Subsetting: the subsets of all proxies cover the endpoints equally, and grow with the traffic."""

from __future__ import annotations

import pytest

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, UpdateKind
from balancer.settings import Settings
from tests.support.balancer_helpers import IDEMPOTENT, send_steadily
from tests.support.rules_checker import RulesChecker


def subset_shares(fleet_size: int, endpoint_count: int) -> list[float]:
    """Return the share of attempts that each endpoint gets, in units of the attempts of one proxy."""
    shares = dict.fromkeys(range(1, endpoint_count + 1), 0.0)
    for ordinal in range(fleet_size):
        balancer = Balancer(Settings(classes=(IDEMPOTENT,), fleet_size=fleet_size, ordinal=ordinal), ordinal)
        balancer.on_endpoints_updated(100.0, UpdateKind.CACHED, [Endpoint(i) for i in shares])
        [pool] = balancer.assignment.pools
        segment_end = pool.ring_start + pool.ring_span
        for state, end in zip(pool.subset, pool.cumulative_weights, strict=True):
            overlap = min(segment_end, end) - max(pool.ring_start, end - 1.0)
            shares[state.endpoint.id] += max(0.0, overlap) / pool.ring_span
    return list(shares.values())


@pytest.mark.parametrize(("fleet_size", "endpoint_count"), [(12, 20), (20, 12), (7, 7), (60, 15), (1, 5)])
def test_the_subsets_of_all_proxies_cover_every_endpoint_equally(
    fleet_size: int, endpoint_count: int
) -> None:
    shares = subset_shares(fleet_size, endpoint_count)
    if fleet_size >= endpoint_count:
        assert shares == pytest.approx([fleet_size / endpoint_count] * endpoint_count)
    else:  # subsets of one endpoint leave gaps, which close as subsets grow with the traffic
        assert sum(shares) == pytest.approx(fleet_size)
        assert max(shares) <= 1.0 + 1e-9


def test_subsets_grow_with_the_requests_in_flight() -> None:
    settings = Settings(classes=(IDEMPOTENT,), fleet_size=40)
    checker = RulesChecker(settings, 1, [Endpoint(i) for i in range(40)])
    assert len(checker.balancer.assignment.pools[0].subset) == 1
    send_steadily(checker, 8.0, 100.0)
    assert 3 < len(checker.balancer.assignment.pools[0].subset) < 40
