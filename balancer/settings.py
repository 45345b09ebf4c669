"""The settings of one balancer as typed values, and their checks.

This module does not depend on a file or wire format (see `settings_reader`). Durations are in seconds, rates
in requests per second.
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

#: Upper limit of the number of instances, tiers or zones: far above any deployment, and small enough that a
#: sum of 1 / count over all of them loses no term to rounding.
MAX_COUNT = 1 << 20


class Idempotency(Enum):
    """Whether a request may be retried after an attempt that may have been executed.

    IDEMPOTENT requests may always be retried. KEYED requests carry an idempotency key, by which the endpoints
    of a deduplication scope discard duplicates. NON_IDEMPOTENT requests must never be executed twice.
    """

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """Which endpoints discard a duplicate of a keyed request: all, or those of the same zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """Whether discovery pushes the endpoint list, or the instance polls it."""

    PUSHED = "pushed"
    POLLED = "polled"


@dataclass(slots=True, frozen=True)
class Placement:
    """Which endpoints the requests of a class may use.

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
        name: Its name. In a reload, the class of the same name in the new settings continues with the latency
            statistics and client timeouts of this class, and with its pool if the placement is the same.
        latency_objective: The latency within which a response earns its full weight, in seconds.
        deadline: When a client gives up, in seconds from its first attempt.
        idempotency: Whether its requests may be retried after they may have been executed.
        deduplication_scope: Which endpoints discard a duplicate of a keyed request.
        deduplication_window: For how long they do so, in seconds from the first attempt that may have been
            executed.
        priority_weight: The value of a response within the latency objective, in a unit that all classes
            share.
        late_weight: The fraction of that weight that a response earns between the objective and the deadline,
            from 0 to 1.
        streaming: Whether the response is a stream, which is bound to one attempt after it has started.
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
        """Which endpoints the class may use; classes with the same placement share a pool."""
        return Placement(self.allowed_machine_types, self.allowed_zones)

    def check(self, path: str) -> None:
        """Raise InvalidValueError with the path of the first invalid field, below `path`."""
        check_string(f"{path}.name", self.name)
        check_bool(f"{path}.streaming", self.streaming)
        for name in ("latency_objective", "deadline", "deduplication_window", "priority_weight"):
            check_number(f"{path}.{name}", getattr(self, name))
        check_number(f"{path}.late_weight", self.late_weight, 0.0, 1.0)
        if not self.latency_objective or not self.deadline:
            raise InvalidValueError(path, "latency_objective and deadline must be above 0")
        for name in ("allowed_machine_types", "allowed_zones"):
            for i, index in enumerate(getattr(self, name) or ()):
                check_index(f"{path}.{name}[{i}]", index, sys.maxsize)


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant.

    Attributes:
        name: Its name. In a reload, the tenant of the same name in the new settings continues with the quota
            tokens of this tenant.
        share: Its fraction of the service, from 0 to 1.
        quota: The requests per second that it may send to all instances together; 0: no quota.
    """

    name: str = "tenant"
    share: float = 0.0
    quota: float = 0.0

    def check(self, path: str) -> None:
        """Raise InvalidValueError with the path of the first invalid field, below `path`."""
        check_string(f"{path}.name", self.name)
        check_number(f"{path}.share", self.share, 0.0, 1.0)
        check_number(f"{path}.quota", self.quota)


@dataclass(slots=True, frozen=True)
class Limits:
    """What the deployment permits.

    Attributes:
        cancel: Whether attempts may be cancelled.
        hedging: Whether a request may have two open attempts.
        max_attempts: The largest number of attempts of one request.
        retry_after: Whether clients follow the advice of a rejection when to retry.
        max_retry_after: The longest advised delay that they follow, in seconds; 0: no limit is stated.
    """

    cancel: bool = False
    hedging: bool = False
    max_attempts: int = 3
    retry_after: bool = False
    max_retry_after: float = 0.0

    def check(self, path: str) -> None:
        """Raise InvalidValueError with the path of the first invalid field, below `path`."""
        for name in ("cancel", "hedging", "retry_after"):
            check_bool(f"{path}.{name}", getattr(self, name))
        check_number(f"{path}.max_attempts", self.max_attempts, 1)
        check_number(f"{path}.max_retry_after", self.max_retry_after)


@dataclass(slots=True, frozen=True)
class Rules:
    """The parameters of the deployment's rules; durations are in seconds.

    Attributes:
        drain_grace: How long after the list shows an endpoint as draining it may still get new requests.
        response_grace: How long after the client's deadline the final response still counts.
        poll_interval: The interval at which discovery may be polled.
        warmup_initial_capacity: The fraction of its full capacity that a new process has at the start, from 0
            to 1.
        warmup_duration: After how long a new process has its full capacity at the latest.
        overload_multiple: The multiple of its current capacity at which a warming endpoint fails.
        overload_interval: How long it has to get that much work before it fails.
        retry_budget_floor: The number of retries that are allowed in any window.
        retry_budget_ratio: The number of further retries that are allowed for each request in the window.
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
        """Raise InvalidValueError with the path of the first invalid field, below `path`."""
        check_number(f"{path}.warmup_initial_capacity", self.warmup_initial_capacity, 0.0, 1.0)
        for item in fields(self):
            check_number(f"{path}.{item.name}", getattr(self, item.name))


@dataclass(slots=True, frozen=True)
class Settings:
    """The complete settings of one instance; the balancer calls `check()`.

    Attributes:
        classes: The classes of requests; a request refers to its class by index.
        tenants: The tenants; a request refers to its tenant by index.
        fleet_size: The number of instances that share the tier.
        ordinal: The number of this instance among them, counted from 0.
        tier: The tier that this instance sends to, counted from 0; clients call tier 0.
        tier_count: The number of tiers.
        zone: The zone of this instance, by index.
        zone_count: The number of zones.
        discovery: How this instance gets the endpoint list.
        over_quota_weight: The fraction of its weight that a request beyond its tenant's quota has, from 0 to
            1.
        propagates_deadline: Whether callers of lower tiers send the time that their own request has left.
        clients_mark_retries: Whether clients mark their retries, so that an unmarked request is a first
            attempt.
        limits: What the deployment permits.
        rules: The parameters of the deployment's rules.
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
        """Raise InvalidValueError with the first invalid field."""
        if not self.classes:
            raise InvalidValueError(field="classes", problem="at least one class is required")
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
        """Raise InvalidValueError if a running instance cannot replace these settings by the proposed ones.

        Learned state follows the names of classes and tenants, so their names must be distinct. The tier and
        the discovery mode determine which endpoints an instance has and how it gets their list: changing
        them needs a new instance.
        """
        proposed.check()
        for name in ("tier", "discovery"):
            if getattr(proposed, name) != getattr(self, name):
                raise InvalidValueError(name, "a change needs a restart")
        for name in ("classes", "tenants"):
            names = [item.name for item in getattr(proposed, name)]
            if len(set(names)) < len(names):
                raise InvalidValueError(name, "two entries have the same name")

    def check_request(self, request: IncomingRequest) -> None:
        """Raise InvalidValueError with the first invalid field of a request."""
        check_index("class_index", request.class_index, len(self.classes))
        check_index("tenant", request.tenant, max(1, len(self.tenants)))
        if request.deadline is not None:
            check_number("deadline", request.deadline, -math.inf)
        check_number("cost", request.cost)
