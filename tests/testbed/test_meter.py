"""Tests of series of readings."""

from __future__ import annotations

import pytest

from testbed.meter import CumulativeSeries


def test_series_returns_its_largest_growth_in_ten_seconds() -> None:
    series = CumulativeSeries()
    for at, value in ((0.0, 5.0), (10.0, 6.0), (14.0, 26.0), (30.0, 27.0), (40.0, 27.5)):
        series.add(at, value)
    assert series.max_rate() == pytest.approx(2.0)  # a growth of 20 in 4 s, divided by the 10 s of the window
    assert series.mean_rate() == pytest.approx(22.5 / 40.0)
    assert series.growth() == pytest.approx(22.5)
    assert CumulativeSeries().mean_rate() == CumulativeSeries().max_rate() == 0.0
