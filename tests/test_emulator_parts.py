"""The emulator's plain parts: topology, fits, meters, budgets."""

from __future__ import annotations

from collections import Counter

import pytest

from balancer.settings_reader import read_settings
from emulator import fit, topology
from emulator.meter import Series
from emulator.runs.hollow import net_of_idle


def test_the_fleet_has_the_targets_counts() -> None:
    fleet = topology.build(3)
    assert len({entry["name"] for entry in fleet.entries}) == len(fleet.entries) == 910
    assert len(set(fleet.service_of)) == 78
    assert set(Counter(entry["zone"] for entry in fleet.entries).values()) == {182}
    assert len(fleet.region(0)) + len(fleet.region(1)) == 910
    rows = [len(fleet.next_rows(service)) for service in range(78)]
    assert min(rows) >= topology.ROWS_LEAST
    assert max(rows) <= topology.ROWS_MOST
    assert all(service not in called for service, called in enumerate(fleet.calls))


def test_a_seed_gives_one_fleet_of_any_size() -> None:
    assert topology.build(3, 120) == topology.build(3, 120) != topology.build(4, 120)
    assert len(topology.build(3, 1820).entries) == 1820
    with pytest.raises(ValueError, match="do not fit"):
        topology.build(3, 4, 5)


def test_settings_are_readable_at_every_place() -> None:
    fleet = topology.build(3)
    for place in (0, 909):
        found = read_settings(topology.settings(fleet, place))
        found.check()
        assert (found.fleet_size, found.ordinal, found.zone_count) == (910, place, 5)


def test_fits_find_known_slopes() -> None:
    xs = [1.0, 2.0, 4.0, 8.0, 16.0]
    straight = fit.line(xs, [3.0 + 2.0 * x for x in xs])
    assert [straight.slope, straight.intercept] == pytest.approx([2.0, 3.0])
    assert straight.residual == pytest.approx(0.0, abs=1e-9)
    curved = [1.0, 3.0, 9.0, 25.0, 65.0]  # 1 + x log2 x
    assert fit.n_log_n(xs, curved).slope == pytest.approx(1.0)
    assert fit.both(xs, curved)[0]["kind"] == "n log n"
    assert fit.line([0.0, 1.0, 2.0, 3.0], [1.0, -1.0, -1.0, 1.0]).residual == pytest.approx(1.0)


@pytest.mark.parametrize(("xs", "ys"), [([1.0, 2.0, 3.0], [1.0, 2.0, 3.0]), ([1.0] * 4, [1.0] * 5)])
def test_a_fit_needs_four_points(xs: list[float], ys: list[float]) -> None:
    with pytest.raises(ValueError, match="at least 4"):
        fit.line(xs, ys)


def test_the_worst_ten_seconds_are_found() -> None:
    series = Series()
    for at, value in ((0.0, 5.0), (10.0, 6.0), (14.0, 26.0), (30.0, 27.0), (40.0, 27.5)):
        series.add(at, value)
    assert series.worst() == pytest.approx(2.0)  # 20 within 4 s, counted over 10
    assert series.mean() == pytest.approx(22.5 / 40.0)
    assert series.growth() == pytest.approx(22.5)
    assert Series().mean() == Series().worst() == 0.0


def test_what_idling_costs_is_taken_off_both() -> None:
    idle = {"seconds": 10.0, "real": {"processor": 1.0}, "hollow": {"processor": 0.0}}
    event = {
        "seconds": 5.0,
        "events": 5,
        "real": {"processor": 0.3},
        "hollow": {"processor": 0.1},
        "difference_percent": {},
    }
    net_of_idle(event, idle)
    assert event["real"] == {"processor": 0.3, "processor_net": pytest.approx(0.2)}
    assert event["difference_percent"] == {"processor_net": pytest.approx(-50.0)}
