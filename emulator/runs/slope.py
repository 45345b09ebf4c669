"""One slope of the run `slopes`: measured points, and the fits of their figures.

It owns the form of a slope in a result; the modules `slopes_balancer`, `slopes_proxy` and `slopes_registry`
measure them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from emulator.measurement.fit import Fit, fit_all

if TYPE_CHECKING:
    from collections.abc import Sequence

    from emulator.measurement.json_values import JsonObject

Point = dict[str, float]  # one measurement: figures by the names that they have in results


@dataclass(slots=True, frozen=True)
class Slope:
    """Figures measured while one quantity varies.

    Attributes:
        points: The measurements; each holds the quantity and all figures.
        against: The name of the quantity that varies.
        figures: The names of the figures that are fitted.
    """

    points: Sequence[Point]
    against: str
    figures: tuple[str, ...]

    def fits(self, figure: str) -> list[Fit]:
        """Fit a figure with every model, the smaller residual first."""
        xs = [point[self.against] for point in self.points]
        return fit_all(xs, [point[figure] for point in self.points])

    def as_dict(self) -> JsonObject:
        """Return the slope as a result holds it."""
        fits = {figure: [fit.as_dict() for fit in self.fits(figure)] for figure in self.figures}
        return {"points": list(self.points), "fits": fits}
