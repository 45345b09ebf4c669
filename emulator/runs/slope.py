"""One slope of the run `slopes`: measured points, and the fits of their figures.

The modules `slopes_balancer`, `slopes_proxy` and `slopes_registry` measure the slopes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from emulator.measurement.fit import Fit, fit_all

if TYPE_CHECKING:
    from collections.abc import Sequence

    from emulator.measurement.json_values import JsonObject

Point = dict[str, float]  # one measurement: figures by their keys in the result file


@dataclass(slots=True, frozen=True)
class Slope:
    """Figures measured while one quantity varies.

    Attributes:
        points: The measurements; each has a value of the quantity and of every figure.
        quantity: Key of the quantity that varies.
        figures: Keys of the figures that are fitted against the quantity.
    """

    points: Sequence[Point]
    quantity: str
    figures: tuple[str, ...]

    def fits(self, figure: str) -> list[Fit]:
        """Fit a figure with every model, sorted by residual."""
        quantities = [point[self.quantity] for point in self.points]
        return fit_all(quantities, [point[figure] for point in self.points])

    def as_dict(self) -> JsonObject:
        """Return the slope as stored in the result file."""
        fits = {figure: [fit.as_dict() for fit in self.fits(figure)] for figure in self.figures}
        return {"points": list(self.points), "fits": fits}
