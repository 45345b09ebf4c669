"""Least-squares fits of measured points, with the residuals they leave.

It owns the two models that costs are compared with; which figure is fitted against which is a run's matter.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import numpy as np

from emulator.errors import FitPointsError, FitRangeError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from emulator.measurement.json_values import JsonObject

MIN_POINTS = 4  # through fewer almost anything fits
LINE, N_LOG_N = "line", "n log n"  # what results call the two models


@dataclass(slots=True, frozen=True)
class Fit:
    """A fitted model: y = intercept + slope * f(x).

    Attributes:
        kind: `LINE` where f(x) is x, `N_LOG_N` where it is x * log2(x).
        slope: In y's unit for each unit of f(x).
        intercept: In y's unit.
        residual: The root mean square of the residuals, in y's unit.
        worst: The largest residual, in y's unit.
    """

    kind: str
    slope: float
    intercept: float
    residual: float
    worst: float

    def as_dict(self) -> JsonObject:
        """Return the fit as a result holds it."""
        return asdict(self)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit a straight line.

    Raises:
        FitPointsError: There are fewer than `MIN_POINTS` points, or unequal numbers of x and y.
    """
    return _solve(LINE, np.asarray(xs, float), ys)


def fit_n_log_n(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit a line in x log2 x.

    Raises:
        FitPointsError: As `fit_line`.
        FitRangeError: An x is not above 0.
    """
    x = np.asarray(xs, float)
    if (x <= 0.0).any():
        raise FitRangeError
    return _solve(N_LOG_N, x * np.log2(x), ys)


def _solve(kind: str, x: np.ndarray, ys: Sequence[float]) -> Fit:
    y = np.asarray(ys, float)
    if len(x) != len(y) or len(x) < MIN_POINTS:
        raise FitPointsError(len(x), len(y), MIN_POINTS)
    (intercept, slope), *_ = np.linalg.lstsq(np.column_stack([np.ones(len(x)), x]), y, rcond=None)
    residuals = y - intercept - slope * x
    root_mean_square = float(np.sqrt(np.mean(residuals**2)))
    return Fit(kind, float(slope), float(intercept), root_mean_square, float(np.abs(residuals).max()))


def fit_all(xs: Sequence[float], ys: Sequence[float]) -> list[Fit]:
    """Fit every model, and sort by the residual; the line alone where an x is 0."""
    fits = [fit_line(xs, ys)]
    if min(xs) > 0.0:
        fits.append(fit_n_log_n(xs, ys))
    return sorted(fits, key=lambda fit: fit.residual)
