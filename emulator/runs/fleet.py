"""The run `fleet`: cost of changes and failures in a fleet of the target size, simulated on one machine.

Up to 910 simulated proxies watch three registries. The run carries out all plans (`fleet_plans`) and their
events (`fleet_events`) in order, measures them (`fleet_measurement`) and writes the result.
"""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from emulator.measurement.result import write_result
from emulator.runs.common import RunOptions, RunResult, report_progress
from emulator.runs.fleet_events import EVENTS
from emulator.runs.fleet_measurement import measure
from emulator.runs.fleet_plans import PLANS, QUICK_PLANS, Plan
from emulator.runs.simulated_fleet import FleetStart, SimulatedFleet

if TYPE_CHECKING:
    from emulator.measurement.json_values import JsonObject
    from emulator.runs.fleet_figures import EventMeasurement


@dataclass(slots=True, frozen=True)
class PlanResult:
    """Measurements of one plan: the cost of its start, and its events by name."""

    plan: Plan
    start: FleetStart
    events: dict[str, EventMeasurement]

    def as_dict(self) -> JsonObject:
        """Return the measurements as stored in the result file."""
        return {
            "proxies": self.plan.proxies,
            "narrow": self.plan.only_called_services,
            "speed": self.plan.change_rate_factor,
            "rows": self.plan.backends,
            "start": asdict(self.start),
            "events": {name: event.as_dict() for name, event in self.events.items()},
        }


def run(options: RunOptions) -> RunResult:
    """Measure changes and failures in simulated fleets of the target size; writes fleet.json."""
    started = time.monotonic()
    results = [run_plan(plan, options.seed) for plan in (QUICK_PLANS if options.quick else PLANS)]
    figures = budget_figures(results)
    body: JsonObject = {
        "quick": options.quick,
        "plans": {result.plan.name: result.as_dict() for result in results},
        "figures": figures,
        "duration": time.monotonic() - started,
    }
    return RunResult(figures, write_result(options.result_name("fleet"), options.seed, body, options.out))


def run_plan(plan: Plan, seed: int) -> PlanResult:
    """Start the fleet of a plan, and carry out and measure its events in order."""
    events: dict[str, EventMeasurement] = {}
    with ExitStack() as stack:
        fleet = SimulatedFleet(plan, seed, stack)
        report_progress("fleet", f"{plan.name}: {plan.proxies} proxies have their endpoint lists")
        for name in plan.events:
            events[name] = measure(fleet, EVENTS[name])
            _report_event(plan, name, events[name])
    return PlanResult(plan, fleet.start, events)


def _report_event(plan: Plan, name: str, event: EventMeasurement) -> None:
    delay = event.delays.last_proxy.worst or 0.0
    report_progress(
        "fleet",
        f"{plan.name}: {name}: longest propagation delay {delay:.3f} s; cost of a proxy in the worst 10 s: "
        f"{event.proxy.processor_worst:.2f} % of a core, {event.proxy.bytes_worst:.0f} B/s",
    )


def budget_figures(results: list[PlanResult]) -> dict[str, float]:
    """Return the figures that have a budget: the worst of all plans and events.

    The propagation delay covers only the event `changes`.
    """
    costs = [event.proxy for result in results for event in result.events.values()]
    return {
        # The greater of two costs: the mean over the proxies of the busiest process, and the list updates of
        # the busiest proxy.
        "processor_worst": max(max(cost.processor_worst, cost.lists_worst) for cost in costs),
        "bytes_worst": max(cost.bytes_worst for cost in costs),
        "change_age": max(result.events["changes"].delays.last_proxy.worst or 0.0 for result in results),
    }
