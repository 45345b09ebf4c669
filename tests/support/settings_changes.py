"""Random changes of settings for the tests of reconfiguration."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

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
    RULES_WITH_RETRY_BUDGET,
)


class SettingsChange(NamedTuple):
    """One change of settings.

    Attributes:
        kind: What changes, from 0 to 11: see `change_classes` (0 to 6) and `change_settings` (7 to 11).
        first: Selects the class or the new value, depending on the kind.
        second: Selects the new value, depending on the kind.
    """

    kind: int
    first: int
    second: int


CHANGES = st.builds(SettingsChange, st.integers(0, 11), st.integers(0, 3), st.integers(0, 3))
ALLOWED_ZONES: tuple[tuple[int, ...] | None, ...] = (None, (0,), (1,), (0, 1))
ALLOWED_MACHINE_TYPES: tuple[tuple[int, ...] | None, ...] = (None, (0,), (1, 2), (9,))
RULES_CHOICES = (
    RULES,
    RULES_WITH_RETRY_BUDGET,
    replace(RULES_WITH_RETRY_BUDGET, retry_budget_window=4.0),
    replace(RULES_WITH_RETRY_BUDGET, retry_budget_floor=0.0),
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
        missing = [each for each in CLASSES if each.name not in {present.name for present in classes}]
        return [*before, *missing[:1], chosen, *after]
    return [*before, change_class(chosen, kind, second), *after]


def change_class(request_class: RequestClass, kind: int, value: int) -> RequestClass:
    """Return a class after a change of kind 3 to 6."""
    match kind:
        case 3:
            return replace(request_class, idempotency=list(Idempotency)[value % 3])
        case 4:
            scope = list(DeduplicationScope)[value % 3]
            return replace(request_class, deduplication_scope=scope, deduplication_window=0.2 + value)
        case 5:
            return replace(request_class, allowed_zones=ALLOWED_ZONES[value])
        case _:
            return replace(request_class, allowed_machine_types=ALLOWED_MACHINE_TYPES[value])


def change_settings(settings: Settings, change: SettingsChange) -> Settings:
    """Return the settings after one change of their classes, tenants, limits, rules or fleet size."""
    kind, first, second = change
    if kind <= 6:
        return replace(settings, classes=tuple(change_classes(list(settings.classes), change)))
    if kind == 7:
        return replace(settings, fleet_size=1 + 3 * first, ordinal=second % (1 + 3 * first))
    if kind == 8:
        limits = Limits(cancel=bool(first & 1), hedging=bool(first & 2), max_attempts=1 + second)
        return replace(settings, limits=limits)
    if kind == 9:
        return replace(settings, rules=RULES_CHOICES[second])
    if kind == 10:
        tenants = (Tenant("b", 0.4, 3.0 * first), Tenant("a", 0.6, 5.0), Tenant("c"))
        return replace(settings, tenants=tenants[second % 3 :])
    return replace(settings)
