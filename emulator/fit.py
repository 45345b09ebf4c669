"""Least-squares fits of measured points, with what they leave over."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np

LEAST = 4  # points that a fit needs: through fewer almost anything fits


@dataclass(slots=True, frozen=True)
class Fit:
    """y = intercept + slope * f(x), f being x ("line") or x * log2(x) ("n log n").

    `residual` is the root of the mean square left over, `worst` the largest left over, both in y's unit.
    """

    kind: str
    slope: float
    intercept: float
    residual: float
    worst: float

    def as_dict(self) -> dict[str, Any]:
        """Plain values for a result."""
        return asdict(self)


def line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """A straight line; ValueError for fewer than four points or unequal numbers of x and y."""
    return _solve("line", np.asarray(xs, float), ys)


def n_log_n(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """A line in x log2 x, x being above 0; ValueError as for `line`."""
    x = np.asarray(xs, float)
    if (x <= 0.0).any():
        raise ValueError("x must be above 0")
    return _solve("n log n", x * np.log2(x), ys)


def _solve(kind: str, x: np.ndarray, ys: Sequence[float]) -> Fit:
    y = np.asarray(ys, float)
    if len(x) != len(y) or len(x) < LEAST:
        raise ValueError(f"{len(x)} and {len(y)} values: at least {LEAST} of each are needed")
    (intercept, slope), *_ = np.linalg.lstsq(np.column_stack([np.ones(len(x)), x]), y, rcond=None)
    left = y - intercept - slope * x
    return Fit(
        kind, float(slope), float(intercept), float(np.sqrt(np.mean(left**2))), float(np.abs(left).max())
    )


def both(xs: Sequence[float], ys: Sequence[float]) -> list[dict[str, Any]]:
    """Both fits as plain values, the one that leaves less over first; the line alone where an x is 0."""
    fits = [line(xs, ys)] + ([n_log_n(xs, ys)] if min(xs) > 0.0 else [])
    return [each.as_dict() for each in sorted(fits, key=lambda fit: fit.residual)]
