"""The run `slopes`: growth of the control-plane cost of a proxy and of a registry.

The modules `slopes_balancer`, `slopes_proxy` and `slopes_registry` measure the slopes.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from emulator.fleet import topology
from emulator.measurement.fit import LINE
from emulator.measurement.result import write_result
from emulator.runs import slopes_balancer, slopes_proxy, slopes_registry
from emulator.runs.common import CHANGES_PER_DAY, SECONDS_PER_DAY, RunOptions, RunResult, report_progress

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from emulator.measurement.json_values import JsonObject
    from emulator.runs.slope import Slope

MILLISECONDS_PER_SECOND = 1e3
SLOPES: dict[str, Callable[[RunOptions], Slope]] = {  # by their keys in the result file
    "module": slopes_balancer.by_backends,
    "fleet_size": slopes_balancer.by_fleet_size,
    "path": slopes_proxy.by_backends,
    "changes": slopes_proxy.by_change_rate,
    "calls": slopes_proxy.by_request_rate,
    "registry_watches": slopes_registry.by_watches,
    "registry_changes": slopes_registry.by_change_rate,
}
# The slopes that the figures with a budget need, and one slope of each other kind.
QUICK_SLOPES = ("module", "path", "changes", "registry_watches")


def run(options: RunOptions) -> RunResult:
    """Measure how the cost of a proxy and of a registry grows; writes slopes.json."""
    started = time.monotonic()
    slopes: dict[str, Slope] = {}
    for name in QUICK_SLOPES if options.quick else SLOPES:
        slopes[name] = SLOPES[name](options)
        elapsed = time.monotonic() - started
        report_progress("slopes", f"{name}: {len(slopes[name].points)} points after {elapsed:.0f} s")
    figures = budget_figures(slopes)
    body: JsonObject = {
        "quick": options.quick,
        **{name: slope.as_dict() for name, slope in slopes.items()},
        "figures": figures,
        "duration": time.monotonic() - started,
    }
    return RunResult(figures, write_result(options.result_name("slopes"), options.seed, body, options.out))


def budget_figures(slopes: Mapping[str, Slope]) -> dict[str, float]:
    """Return the figures that have a budget, at the target size.

    `bytes_mean` is the line fitted to the bytes a second, at the target rate of changes. `change_hold` is the
    processor time of one change in milliseconds.
    """
    change_rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    line = next(fit for fit in slopes["changes"].fits("bytes") if fit.kind == LINE)
    target_point = next(point for point in slopes["module"].points if point["rows"] == topology.BACKENDS)
    return {
        "bytes_mean": max(0.0, line.intercept) + change_rate * line.slope,
        "change_hold": MILLISECONDS_PER_SECOND * target_point["change"],
    }
