"""Random changes of settings for the tests of reconfiguration."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple

from hypothesis import strategies as st

from balancer.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    RequestClass,
    Settings,
    Tenant,
)
from tests.support.random_events import (
    CLASSES,
    RULES,
    WITH_RETRY_BUDGET,
)


class SettingsChange(NamedTuple):
    """One change of settings, chosen by `kind` (0 to 11); what the two numbers choose depends on it."""

    kind: int
    first: int
    second: int


CHANGES = st.builds(SettingsChange, st.integers(0, 11), st.integers(0, 3), st.integers(0, 3))
PLACES: tuple[tuple[int, ...] | None, ...] = (None, (0,), (1,), (0, 1))
MACHINE_TYPES: tuple[tuple[int, ...] | None, ...] = (None, (0,), (1, 2), (9,))
RULES_TO_SET = (
    RULES,
    WITH_RETRY_BUDGET,
    replace(WITH_RETRY_BUDGET, retry_budget_window=4.0),
    replace(WITH_RETRY_BUDGET, retry_budget_floor=0.0),
)


def change_classes(classes: list[RequestClass], change: SettingsChange) -> list[RequestClass]:
    """Return the classes after a change of kind 0 to 6."""
    kind, _, second = change
    index = (change.first + 4 * second) % len(classes)
    before, chosen, after = classes[:index], classes[index], classes[index + 1 :]
    if kind == 0:
        return [chosen, *after, *before]
    if kind == 1:
        return [*before, *after] or [chosen]
    if kind == 2:
        missing = [row for row in CLASSES if row.name not in {known.name for known in classes}]
        return [*before, *missing[:1], chosen, *after]
    changes: dict[int, dict[str, Any]] = {
        3: {"idempotency": list(Idempotency)[second % 3]},
        4: {
            "deduplication_scope": list(DeduplicationScope)[second % 3],
            "deduplication_window": 0.2 + second,
        },
        5: {"allowed_zones": PLACES[second]},
        6: {"allowed_machine_types": MACHINE_TYPES[second]},
    }
    return [*before, replace(chosen, **changes[kind]), *after]


def change_settings(stated: Settings, change: SettingsChange) -> Settings:
    """Return the settings after one change of their classes, tenants, limits, rules or places."""
    kind, first, second = change
    if kind <= 6:
        return replace(stated, classes=tuple(change_classes(list(stated.classes), change)))
    if kind == 7:
        return replace(stated, fleet_size=1 + 3 * first, ordinal=second % (1 + 3 * first))
    if kind == 8:
        limits = Limits(cancel=bool(first & 1), hedging=bool(first & 2), max_attempts=1 + second)
        return replace(stated, limits=limits)
    if kind == 9:
        return replace(stated, rules=RULES_TO_SET[second])
    if kind == 10:
        tenants = (Tenant("b", 0.4, 3.0 * first), Tenant("a", 0.6, 5.0), Tenant("c"))
        return replace(stated, tenants=tenants[second % 3 :])
    return replace(stated)
