"""Histograms of latencies: quantiles, differences of quantiles, percentile curves, and merging."""

from __future__ import annotations

from emulator.measurement.latency import Quantiles, encode, histogram_of, merge, percentile_curve


def test_added_latency_is_the_difference_of_quantiles_and_the_curve_ends_at_the_maximum() -> None:
    through = merge([encode(histogram_of(value + 300 for value in range(1, 1001)))])
    direct = merge([encode(histogram_of(range(1, 1001)))])
    assert Quantiles.of(direct) == Quantiles(median=500, p99=990, p999=999, max=1000)
    assert Quantiles.of(through).difference_to(Quantiles.of(direct)).as_dict() == {
        "median": 300,
        "p99": 300,
        "p999": 300,
        "max": 300,
    }
    percents, values = zip(*percentile_curve(direct), strict=True)
    assert percents == tuple(sorted(percents))
    assert percents[-1] == 100.0
    assert values == tuple(sorted(values))
    assert values[-1] == 1000


def test_merged_histogram_contains_the_latencies_of_all_proxies() -> None:
    merged = merge(encode(histogram_of(latencies)) for latencies in ([100], [], [300, 500]))
    assert merged.get_total_count() == 3
    assert Quantiles.of(merged).max == 500
