"""The modules that decide are those that the deploy file names, and each of them stays small."""

import re
import tomllib

import pytest

from testbed.paths import PROJECT_ROOT

MAX_FILLED_LINES = 300  # lines that are not blank, of one module
MAX_LINE_LENGTH = 110  # characters
POLICY = tomllib.loads((PROJECT_ROOT / "deploy" / "balancer.toml").read_text())["policy"]
#: The modules that decide, in the order of the deploy file: the way of a request, then what it needs.
DECIDING = [
    "balancer/balancer.py",
    "balancer/reconfiguration.py",
    "balancer/admission_control.py",
    "balancer/tenant_quota.py",
    "balancer/client_timeouts.py",
    "balancer/latency_statistics.py",
    "balancer/attempts.py",
    "balancer/attempt_dispatch.py",
    "balancer/send_rejection.py",
    "balancer/endpoint_selection.py",
    "balancer/subsetting.py",
    "balancer/slow_start.py",
    "balancer/circuit_breaker.py",
    "balancer/retry_budget.py",
    "balancer/hedging.py",
    "balancer/endpoint_state.py",
    "balancer/endpoint_pool.py",
    "balancer/pool_assignment.py",
    "balancer/endpoint_list.py",
    "balancer/discovery_polling.py",
    "balancer/rate_estimators.py",
]
#: The other modules of the package: typed values, their checks, and the reader of the settings.
NOT_DECIDING = [
    f"balancer/{name}.py"
    for name in ("__init__", "endpoints", "errors", "events", "settings", "settings_reader", "validation")
]


def violations(text: str) -> list[str]:
    """Return what is over the limits in the text of one of the modules that decide."""
    lines = text.splitlines()
    found = [
        f"line {number} has {len(line)} characters"
        for number, line in enumerate(lines, 1)
        if len(line) > MAX_LINE_LENGTH
    ]
    filled_lines = sum(1 for line in lines if line.strip())
    if filled_lines > MAX_FILLED_LINES:
        found.append(f"{filled_lines} lines are not blank")
    return found


def test_modules_that_decide_are_named_and_within_the_limits() -> None:
    assert POLICY == DECIDING
    modules = {f"balancer/{path.name}" for path in (PROJECT_ROOT / "balancer").glob("*.py")}
    assert modules == {*DECIDING, *NOT_DECIDING}, "a module that neither list names"
    found = {name: violations((PROJECT_ROOT / name).read_text()) for name in POLICY}
    assert not any(found.values()), found


@pytest.mark.parametrize(("text", "count"), [("x\n\n" * 300, 0), ("x\n" * 301, 1), ("x" * 111, 1)])
def test_limits_are_inclusive_and_can_be_violated(text: str, count: int) -> None:
    assert len(violations(text)) == count


def test_first_module_names_its_interface_at_the_top() -> None:
    head = (PROJECT_ROOT / POLICY[0]).read_text().splitlines()[:5]
    assert re.search(r"balancer/settings\.py", "\n".join(head))
