"""Least-squares fits of measured points."""

from __future__ import annotations

import pytest

from emulator.measurement import fit


def test_fits_return_the_slope_and_the_model_of_exact_points() -> None:
    xs = [1.0, 2.0, 4.0, 8.0, 16.0]
    line = fit.fit_line(xs, [3.0 + 2.0 * x for x in xs])
    assert [line.slope, line.intercept] == pytest.approx([2.0, 3.0])
    assert line.residual == pytest.approx(0.0, abs=1e-9)
    n_log_n_values = [1.0, 3.0, 9.0, 25.0, 65.0]  # 1 + x log2 x
    assert fit.fit_n_log_n(xs, n_log_n_values).slope == pytest.approx(1.0)
    assert fit.fit_all(xs, n_log_n_values)[0].kind == "n log n"
    assert fit.fit_line([0.0, 1.0, 2.0, 3.0], [1.0, -1.0, -1.0, 1.0]).residual == pytest.approx(1.0)


@pytest.mark.parametrize(("xs", "ys"), [([1.0, 2.0, 3.0], [1.0, 2.0, 3.0]), ([1.0] * 4, [1.0] * 5)])
def test_too_few_points_or_different_numbers_of_values_are_rejected(xs: list[float], ys: list[float]) -> None:
    with pytest.raises(ValueError, match="at least 4"):
        fit.fit_line(xs, ys)
