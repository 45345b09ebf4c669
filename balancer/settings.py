"""The settings of one balancer as typed values, and their checks.

Nothing here decides anything, and nothing here depends on a wire format (see `settings_reader`). Durations
are in seconds, rates in requests a second.
"""

from __future__ import annotations

import math
import sys
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import TYPE_CHECKING

from balancer.errors import InvalidValueError
from balancer.validation import check_bool, check_index, check_number, check_string

if TYPE_CHECKING:
    from balancer.events import IncomingRequest

#: Instances, tiers or zones at most: far more than any deployment has, and one part of so many is still a
#: number that a sum over all of them does not round away.
MAX_COUNT = 1 << 20


class Idempotency(Enum):
    """How far a class of requests may be repeated once it may have run.

    IDEMPOTENT ones may be repeated at will. KEYED ones carry an idempotency key, by which the endpoints of a
    deduplication scope discard a repeat. NON_IDEMPOTENT ones must never run twice.
    """

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """Which endpoints discard the repeat of a keyed request: all, or those of the same zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """Whether discovery pushes the endpoint list, or it has to be polled."""

    PUSHED = "pushed"
    POLLED = "polled"


@dataclass(slots=True, frozen=True)
class Placement:
    """What the endpoints of a class are restricted to.

    Attributes:
        machine_types: The allowed machine types, by index; None: no restriction.
        zones: The allowed zones, by index; None: no restriction.
    """

    machine_types: tuple[int, ...] | None
    zones: tuple[int, ...] | None


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: Its name; after a reload, what was learned of a class belongs to the class of the same name.
        latency_objective: The time in which an answer earns its full weight, in seconds.
        deadline: When a client gives up, in seconds from its first attempt.
        idempotency: How far its requests may be repeated.
        deduplication_scope: Which endpoints discard the repeat of a keyed request.
        deduplication_window: For how long they do, in seconds from the first attempt that may have run.
        priority_weight: What an answer within the latency objective is worth, in any unit that all classes
            share.
        late_weight: The part of that weight that an answer earns between objective and deadline, from 0 to 1.
        streaming: Whether the response is a stream, which belongs to one attempt once it has begun.
        allowed_machine_types: The machine types that may serve it, by index; None: no restriction.
        allowed_zones: The zones that may serve it, by index; None: no restriction.
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
        """What the class's endpoints are restricted to; classes with the same placement share a pool."""
        return Placement(self.allowed_machine_types, self.allowed_zones)

    def check(self, path: str) -> None:
        """Raise InvalidValueError naming the first field, below `path`, that makes no sense."""
        check_string(f"{path}.name", self.name)
        check_bool(f"{path}.streaming", self.streaming)
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
    """One tenant.

    Attributes:
        name: Its name; after a reload, the tokens of a tenant belong to the tenant of the same name.
        share: Its part of the service, from 0 to 1.
        quota: Requests a second over all instances; 0: no quota.
    """

    name: str = "tenant"
    share: float = 0.0
    quota: float = 0.0

    def check(self, path: str) -> None:
        """Raise InvalidValueError naming the first field, below `path`, that makes no sense."""
        check_string(f"{path}.name", self.name)
        check_number(f"{path}.share", self.share, 0.0, 1.0)
        check_number(f"{path}.quota", self.quota)


@dataclass(slots=True, frozen=True)
class Limits:
    """What the deployment permits.

    Attributes:
        cancel: Whether attempts may be cancelled.
        hedging: Whether a request may have two open attempts.
        max_attempts: Attempts of one request at most.
        retry_after: Whether clients follow the advice when to come back.
        max_retry_after: The longest such wait that they follow, in seconds; 0: none is stated.
    """

    cancel: bool = False
    hedging: bool = False
    max_attempts: int = 3
    retry_after: bool = False
    max_retry_after: float = 0.0

    def check(self, path: str) -> None:
        """Raise InvalidValueError naming the first field, below `path`, that makes no sense."""
        for name in ("cancel", "hedging", "retry_after"):
            check_bool(f"{path}.{name}", getattr(self, name))
        check_number(f"{path}.max_attempts", self.max_attempts, 1)
        check_number(f"{path}.max_retry_after", self.max_retry_after)


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures behind the deployment's rules; durations are in seconds.

    Attributes:
        drain_grace: How long new requests may still go to an endpoint after the list has it draining.
        response_grace: How long after the client's deadline its final answer still counts.
        poll_interval: How often discovery may be polled.
        warmup_initial_capacity: The part of its full capacity that a new process has at least, from 0 to 1.
        warmup_duration: After how long it has all of it at the latest.
        overload_multiple: The multiple of its present capacity at which a warming endpoint falls over.
        overload_interval: How long it has to get that much work to fall over.
        retry_budget_floor: Retries that are allowed in any window.
        retry_budget_ratio: Further retries for each request in the window.
        retry_budget_window: The length of the window; 0: no retry budget is stated.
    """

    drain_grace: float = 0.0
    response_grace: float = 0.0
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
    """Everything that one instance is configured with; the balancer calls `check()`.

    Attributes:
        classes: The classes of requests; requests name theirs by its index.
        tenants: The tenants; requests name theirs by its index.
        fleet_size: How many instances share the tier.
        ordinal: The number of this instance among them, counted from 0.
        tier: The tier that this instance sends to, counted from 0; 0 is the one that clients call.
        tier_count: How many tiers there are.
        zone: The zone of this instance, by index.
        zone_count: How many zones there are.
        discovery: How this instance learns the endpoint list.
        over_quota_weight: The part of its weight that a request beyond its tenant's quota has, from 0 to 1.
        propagates_deadline: Whether callers of lower tiers state the time that their own request has left.
        clients_mark_retries: Whether clients mark their retries, so that an unmarked request is a first
            attempt.
        limits: What the deployment permits.
        rules: The figures behind its rules.
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
            check_bool(name, getattr(self, name))
        check_number("over_quota_weight", self.over_quota_weight, 0.0, 1.0)
        self.limits.check("limits")
        self.rules.check("rules")

    def check_reload(self, proposed: Settings) -> None:
        """Raise InvalidValueError where a running instance can't replace these settings by the proposed ones.

        What was learned follows the names of classes and tenants, so these need distinct names. The tier
        and the discovery mode determine which endpoints an instance has and how it learns of them: to
        change those takes a new instance.
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
