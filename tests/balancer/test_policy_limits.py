"""The deploy file lists exactly the modules that make decisions, and each of them stays small."""

import re
import tomllib

import pytest

from testbed.paths import PROJECT_ROOT

MAX_NON_BLANK_LINES = 300  # per module
MAX_LINE_LENGTH = 110  # characters
DEPLOYED_POLICY = tomllib.loads((PROJECT_ROOT / "deploy" / "balancer.toml").read_text())["policy"]
#: The modules that make decisions, in the order of the deploy file.
DECISION_MODULES = [
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
OTHER_MODULES = [
    f"balancer/{name}.py"
    for name in ("__init__", "endpoints", "errors", "events", "settings", "settings_reader", "validation")
]


def violations(text: str) -> list[str]:
    """Return what exceeds the limits in the source of a decision module."""
    lines = text.splitlines()
    excesses = [
        f"line {number} has {len(line)} characters"
        for number, line in enumerate(lines, 1)
        if len(line) > MAX_LINE_LENGTH
    ]
    non_blank_lines = sum(1 for line in lines if line.strip())
    if non_blank_lines > MAX_NON_BLANK_LINES:
        excesses.append(f"{non_blank_lines} lines are not blank")
    return excesses


def test_deploy_file_lists_all_decision_modules_and_each_is_within_the_limits() -> None:
    assert DEPLOYED_POLICY == DECISION_MODULES
    modules = {f"balancer/{path.name}" for path in (PROJECT_ROOT / "balancer").glob("*.py")}
    assert modules == {*DECISION_MODULES, *OTHER_MODULES}, "a module is in neither list"
    excesses = {name: violations((PROJECT_ROOT / name).read_text()) for name in DEPLOYED_POLICY}
    assert not any(excesses.values()), excesses


@pytest.mark.parametrize(("text", "count"), [("x\n\n" * 300, 0), ("x\n" * 301, 1), ("x" * 111, 1)])
def test_limits_are_inclusive_and_can_be_violated(text: str, count: int) -> None:
    assert len(violations(text)) == count


def test_docstring_of_the_first_module_names_the_modules_of_its_interface() -> None:
    head = (PROJECT_ROOT / DEPLOYED_POLICY[0]).read_text().splitlines()[:5]
    assert re.search(r"balancer/settings\.py", "\n".join(head))
