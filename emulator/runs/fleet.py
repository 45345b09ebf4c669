"""The run `fleet`: the target's size on one machine, through changes and failures.

Up to 910 simulated proxies watch three control machines. The run goes through the plans (`fleet_plans`) and
their events (`fleet_events`) in order and writes the result; `fleet_measurement` measures.
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
    """What was measured for one plan: its start, and its events by name."""

    plan: Plan
    start: FleetStart
    events: dict[str, EventMeasurement]

    def as_dict(self) -> JsonObject:
        """Return the plan as a result holds it."""
        return {
            "proxies": self.plan.proxies,
            "narrow": self.plan.narrow_view,
            "speed": self.plan.speed,
            "rows": self.plan.backends,
            "start": asdict(self.start),
            "events": {name: event.as_dict() for name, event in self.events.items()},
        }


def run(options: RunOptions) -> RunResult:
    """All plans, one after the other; writes fleet.json."""
    started = time.monotonic()
    plans = [run_plan(plan, options.seed) for plan in (QUICK_PLANS if options.quick else PLANS)]
    figures = budget_figures(plans)
    body: JsonObject = {
        "quick": options.quick,
        "plans": {each.plan.name: each.as_dict() for each in plans},
        "figures": figures,
        "duration": time.monotonic() - started,
    }
    return RunResult(figures, write_result(options.result_name("fleet"), options.seed, body, options.out))


def run_plan(plan: Plan, seed: int) -> PlanResult:
    """Start a plan's fleet and carry out its events, one after the other."""
    events: dict[str, EventMeasurement] = {}
    with ExitStack() as stack:
        fleet = SimulatedFleet(plan, seed, stack)
        report_progress("fleet", f"{plan.name}: {plan.proxies} proxies hold their lists")
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


def budget_figures(plans: list[PlanResult]) -> dict[str, float]:
    """Return the figures that have a budget: the worst of all plans and events.

    The propagation delay covers only the event `changes`.
    """
    costs = [event.proxy for plan in plans for event in plan.events.values()]
    return {
        # The busiest process's mean over its proxies, or what lists alone cost the busiest proxy.
        "processor_worst": max(max(cost.processor_worst, cost.lists_worst) for cost in costs),
        "bytes_worst": max(cost.bytes_worst for cost in costs),
        "change_age": max(plan.events["changes"].delays.last_proxy.worst or 0.0 for plan in plans),
    }
