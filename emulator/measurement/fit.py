"""Least-squares fits of measured points to two models: a straight line, and a line in x log x."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import numpy as np

from emulator.errors import FitPointsError, FitRangeError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from emulator.measurement.json_values import JsonObject

MIN_POINTS = 4  # with fewer points, the residuals do not distinguish the models
LINE, N_LOG_N = "line", "n log n"  # names of the models in result files


@dataclass(slots=True, frozen=True)
class Fit:
    """A fitted model y = intercept + slope * f(x); the field names are keys of the result file.

    Attributes:
        kind: `LINE` if f(x) is x, `N_LOG_N` if f(x) is x * log2(x).
        slope: Slope in units of y for each unit of f(x).
        intercept: Intercept in units of y.
        residual: Root mean square of the residuals, in units of y.
        worst: Largest absolute residual, in units of y.
    """

    kind: str
    slope: float
    intercept: float
    residual: float
    worst: float

    def as_dict(self) -> JsonObject:
        """Return the fit as stored in the result file."""
        return asdict(self)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit a straight line.

    Raises:
        FitPointsError: There are fewer than `MIN_POINTS` points, or different numbers of x and y values.
    """
    return _fit(LINE, np.asarray(xs, float), ys)


def fit_n_log_n(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit a line in x * log2(x).

    Raises:
        FitPointsError: As for `fit_line`.
        FitRangeError: A value of x is not greater than 0.
    """
    x_values = np.asarray(xs, float)
    if (x_values <= 0.0).any():
        raise FitRangeError
    return _fit(N_LOG_N, x_values * np.log2(x_values), ys)


def _fit(kind: str, predictors: np.ndarray, ys: Sequence[float]) -> Fit:
    """Fit y as a linear function of the predictors, which are the values of f(x)."""
    y_values = np.asarray(ys, float)
    if len(predictors) != len(y_values) or len(predictors) < MIN_POINTS:
        raise FitPointsError(len(predictors), len(y_values), MIN_POINTS)
    design_matrix = np.column_stack([np.ones(len(predictors)), predictors])
    (intercept, slope), *_ = np.linalg.lstsq(design_matrix, y_values, rcond=None)
    residuals = y_values - intercept - slope * predictors
    root_mean_square = float(np.sqrt(np.mean(residuals**2)))
    return Fit(kind, float(slope), float(intercept), root_mean_square, float(np.abs(residuals).max()))


def fit_all(xs: Sequence[float], ys: Sequence[float]) -> list[Fit]:
    """Fit both models, sorted by residual; only the straight line if a value of x is 0."""
    fits = [fit_line(xs, ys)]
    if min(xs) > 0.0:
        fits.append(fit_n_log_n(xs, ys))
    return sorted(fits, key=lambda fit: fit.residual)
