"""The settings of one balancer as typed values, and what a request in flight keeps of them after a reload.

Nothing here decides anything, and nothing here knows a wire format (see `settings_reader`). Durations are in
seconds, rates in requests a second.
"""

from __future__ import annotations

import math
import sys
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import TYPE_CHECKING, Any

from balancer.errors import InvalidValueError
from balancer.validation import check_flag, check_index, check_number, check_text

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balancer.events import IncomingRequest

MAX_COUNT = 1 << 20  # instances, tiers or zones: one part of so many must not vanish among the figures


class Idempotency(Enum):
    """How far a class of request may be repeated once it may have run.

    KEYED requests carry an idempotency key by which the servers of a deduplication scope discard a repeat.
    """

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """Which servers recognise the repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """Whether the endpoint list is pushed or has to be polled."""

    PUSHED = "pushed"
    POLLED = "polled"


@dataclass(slots=True, frozen=True)
class Placement:
    """The machine types and zones that the endpoints of a class are restricted to (None: no restriction)."""

    machine_types: tuple[int, ...] | None
    zones: tuple[int, ...] | None


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of request.

    `latency_objective` is the time in which an answer earns its full `priority_weight`; a later one, up to
    `deadline`, earns `late_weight` of it. `deduplication_window` is how long a keyed request is recognised.
    `allowed_machine_types` and `allowed_zones` restrict the endpoints (None: no restriction).
    """

    name: str = "request"
    latency_objective: float = 1.0
    deadline: float = 5.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.CELL
    deduplication_window: float = 0.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    streaming: bool = False
    allowed_machine_types: tuple[int, ...] | None = None
    allowed_zones: tuple[int, ...] | None = None

    @property
    def placement(self) -> Placement:
        """The endpoints that the class may go to; classes of one placement share them."""
        return Placement(self.allowed_machine_types, self.allowed_zones)

    def check(self, path: str) -> None:
        """Raise InvalidValueError naming the first field, below `path`, that makes no sense."""
        check_text(f"{path}.name", self.name)
        check_flag(f"{path}.streaming", self.streaming)
        for name in ("latency_objective", "deadline", "deduplication_window", "priority_weight"):
            check_number(f"{path}.{name}", getattr(self, name))
        check_number(f"{path}.late_weight", self.late_weight, 0.0, 1.0)
        if not self.latency_objective or not self.deadline:
            raise InvalidValueError(path, "latency_objective and deadline must be above 0")
        for name in ("allowed_machine_types", "allowed_zones"):
            for i, place in enumerate(getattr(self, name) or ()):
                check_index(f"{path}.{name}[{i}]", place, sys.maxsize)


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; `quota` is its part in requests a second over all instances (0: no quota)."""

    name: str = "tenant"
    share: float = 0.0
    quota: float = 0.0

    def check(self, path: str) -> None:
        """Raise InvalidValueError naming the first field, below `path`, that makes no sense."""
        check_text(f"{path}.name", self.name)
        check_number(f"{path}.share", self.share, 0.0, 1.0)
        check_number(f"{path}.quota", self.quota)


@dataclass(slots=True, frozen=True)
class Limits:
    """What the deployment permits; `max_retry_after` 0 means that none is stated."""

    cancel: bool = False
    hedging: bool = False
    max_attempts: int = 3
    retry_after: bool = False
    max_retry_after: float = 0.0

    def check(self, path: str) -> None:
        """Raise InvalidValueError naming the first field, below `path`, that makes no sense."""
        for name in ("cancel", "hedging", "retry_after"):
            check_flag(f"{path}.{name}", getattr(self, name))
        check_number(f"{path}.max_attempts", self.max_attempts, 1)
        check_number(f"{path}.max_retry_after", self.max_retry_after)


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures behind the deployment's rules.

    A warming endpoint starts at `warmup_initial_capacity` of its full capacity and reaches it after
    `warmup_duration`; it falls over at `overload_multiple` of that capacity within `overload_interval`.
    Within `retry_budget_window`, `retry_budget_floor` retries are allowed and `retry_budget_ratio` more for
    each request (window 0: no retry budget is stated). Discovery may be polled once each `poll_interval`.
    """

    drain_grace: float = 0.0
    answer_slack: float = 0.0
    poll_interval: float = 10.0
    warmup_initial_capacity: float = 0.1
    warmup_duration: float = 30.0
    overload_multiple: float = 2.0
    overload_interval: float = 1.0
    retry_budget_floor: float = 0.0
    retry_budget_ratio: float = 0.0
    retry_budget_window: float = 0.0

    def check(self, path: str) -> None:
        """Raise InvalidValueError naming the first field, below `path`, that makes no sense."""
        check_number(f"{path}.warmup_initial_capacity", self.warmup_initial_capacity, 0.0, 1.0)
        for item in fields(self):
            check_number(f"{path}.{item.name}", getattr(self, item.name))


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything that one instance is configured with; `check()` is called by the balancer.

    The instance is number `ordinal` of `fleet_size` in its tier. `over_quota_weight` is what a request beyond
    its tenant's quota is worth. With `propagates_deadline` callers state the time that is left to them; with
    `clients_mark_retries` a request that is not marked is a client's first attempt.
    """

    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    fleet_size: int = 1
    ordinal: int = 0
    tier: int = 0
    tier_count: int = 1
    zone: int = 0
    zone_count: int = 1
    discovery: DiscoveryMode = DiscoveryMode.PUSHED
    over_quota_weight: float = 1.0
    propagates_deadline: bool = True
    clients_mark_retries: bool = False
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)

    def check(self) -> None:
        """Raise InvalidValueError naming the first field that makes no sense."""
        if not self.classes:
            raise InvalidValueError(field="classes", problem="at least one is needed")
        for i, request_class in enumerate(self.classes):
            request_class.check(f"classes[{i}]")
        for i, tenant in enumerate(self.tenants):
            tenant.check(f"tenants[{i}]")
        for name, count in (("ordinal", "fleet_size"), ("tier", "tier_count"), ("zone", "zone_count")):
            check_number(count, getattr(self, count), 1, MAX_COUNT)
            check_index(name, getattr(self, name), getattr(self, count))
        for name in ("propagates_deadline", "clients_mark_retries"):
            check_flag(name, getattr(self, name))
        check_number("over_quota_weight", self.over_quota_weight, 0.0, 1.0)
        self.limits.check("limits")
        self.rules.check("rules")

    def check_reload(self, proposed: Settings) -> None:
        """Raise InvalidValueError where a running instance can't replace these settings by the proposed ones.

        What is learned is kept by name, so classes and tenants need distinct names. Tier and discovery mode
        say which endpoints an instance has and how it hears of them: those need a new instance.
        """
        proposed.check()
        for name in ("tier", "discovery"):
            if getattr(proposed, name) != getattr(self, name):
                raise InvalidValueError(name, "a change of it needs a restart")
        for name in ("classes", "tenants"):
            names = [item.name for item in getattr(proposed, name)]
            if len(set(names)) < len(names):
                raise InvalidValueError(name, "two have the same name")

    def check_request(self, request: IncomingRequest) -> None:
        """Raise InvalidValueError naming the first field of a request that makes no sense."""
        check_index("class_index", request.class_index, len(self.classes))
        check_index("tenant", request.tenant, max(1, len(self.tenants)))
        if request.deadline is not None:
            check_number("deadline", request.deadline, -math.inf)
        check_number("cost", request.cost)


def known_fields(kind: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the entries of `values` that are fields of `kind` and not None; others are ignored."""
    names = {item.name for item in fields(kind)}
    return {k: v for k, v in values.items() if k in names and v is not None}
