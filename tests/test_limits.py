"""The modules that decide stay small enough to read: the limits that the users set."""

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
#: The modules that decide, in the order of the deploy file: the way of a request, then what it needs.
DECIDING = [
    "balancer/balancer.py",
    "balancer/admission_control.py",
    "balancer/tenant_quota.py",
    "balancer/client_timeouts.py",
    "balancer/latency_statistics.py",
    "balancer/attempts.py",
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


def faults(text: str) -> list[str]:
    """What is over the limits: 1,200 lines that are not blank, 110 characters a line."""
    lines = text.splitlines()
    found = [f"line {n} has {len(line)} characters" for n, line in enumerate(lines, 1) if len(line) > 110]
    count = sum(1 for line in lines if line.strip())
    if count > 1200:
        found.append(f"{count} lines are not blank")
    return found


def test_policy_files_keep_the_limits() -> None:
    assert POLICY == DECIDING
    modules = {f"balancer/{path.name}" for path in (ROOT / "balancer").glob("*.py")}
    assert modules == {*DECIDING, *NOT_DECIDING}, "a module that neither list names"
    assert faults("\n".join((ROOT / name).read_text() for name in POLICY)) == []


@pytest.mark.parametrize(("text", "count"), [("x\n\n" * 1200, 0), ("x\n" * 1201, 1), ("x" * 111, 1)])
def test_the_check_itself_can_fail(text: str, count: int) -> None:
    assert len(faults(text)) == count


def test_the_module_names_its_interface_at_the_top() -> None:
    head = (ROOT / POLICY[0]).read_text().splitlines()[:5]
    assert re.search(r"balancer/settings\.py", "\n".join(head))
