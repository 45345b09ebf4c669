"""Reads settings from the nested JSON object that the platform gives to proxies and to the simulator alike.

The platform's names are used in this module alone; all other modules use those of `balancer.settings`.
Unknown keys are ignored, and absent ones (or null) take the defaults of `balancer.settings`. What values
make sense is checked by `Settings.check`, and by the proxy as it reads its configuration file.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict, TypeVar, cast

from balancer.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")

IDEMPOTENCIES = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
DISCOVERY_MODES = {"pushed": DiscoveryMode.PUSHED, "on_request": DiscoveryMode.POLLED}


class RawClass(TypedDict, total=False):
    """One entry of `Services`: a class of requests."""

    Name: str
    Aim: float
    HardLimit: float
    Repeat: str
    Group: str
    Window: float
    Credit: float
    LateWorth: float
    Streaming: bool
    BoundTo: list[int]
    AllowedIn: list[int]


class RawTenant(TypedDict, total=False):
    """One entry of `Orgs`: a tenant."""

    Name: str
    Share: float
    AllowancePerS: float


class RawLimits(TypedDict, total=False):
    """`Bounds`: what the deployment permits; `ConnIdle` and `DialTimeout` are for the proxy alone."""

    Cancel: bool
    SecondCopies: bool
    MaxAttempts: int
    RetryAfter: bool
    MaxRetryAfter: float
    ConnIdle: float
    DialTimeout: float


class RawRules(TypedDict, total=False):
    """`Rules`: the figures behind the deployment's rules."""

    DrainGrace: float
    GraceToAnswer: float
    AskEvery: float
    ColdFrom: float
    Cold: float
    FallMultiple: float
    TipAfter: float
    ExtraFree: float
    ExtraPerRequest: float
    RatioSpan: float


class RawServiceDetails(TypedDict, total=False):
    """`FamilyInfo`: details of this kind of service."""

    PassesDeadline: bool


class RawClientHabits(TypedDict, total=False):
    """`ClientHabits`: how clients behave."""

    MarksRetry: bool


class RawSettings(TypedDict, total=False):
    """The settings as the platform states them, as far as this project uses them.

    The proxy alone uses `HostTypes`: it numbers the machine types in their order.
    """

    Services: list[RawClass]
    Orgs: list[RawTenant]
    Instances: int
    Ordinal: int
    Tier: int
    Tiers: list[str]
    Zone: int
    Zones: list[str]
    HostTypes: list[str]
    RegistryMode: str
    OverShareWorth: float
    FamilyInfo: RawServiceDetails
    ClientHabits: RawClientHabits
    Bounds: RawLimits
    Rules: RawRules


DEFAULT_CLASS = RequestClass()
DEFAULT_TENANT = Tenant()
DEFAULT_LIMITS = Limits()
DEFAULT_RULES = Rules()
DEFAULT_SETTINGS = Settings()


def _stated(value: T | None, default: T) -> T:
    """Return a value of the settings, or its default where it is absent."""
    return default if value is None else value


def _indices(allowed: list[int] | None) -> tuple[int, ...] | None:
    return None if allowed is None else tuple(allowed)


def _read_class(raw: RawClass) -> RequestClass:
    default = DEFAULT_CLASS
    return RequestClass(
        name=_stated(raw.get("Name"), default.name),
        latency_objective=_stated(raw.get("Aim"), default.latency_objective),
        deadline=_stated(raw.get("HardLimit"), default.deadline),
        idempotency=IDEMPOTENCIES.get(raw.get("Repeat", ""), default.idempotency),
        deduplication_scope=DEDUPLICATION_SCOPES.get(raw.get("Group", ""), default.deduplication_scope),
        deduplication_window=_stated(raw.get("Window"), default.deduplication_window),
        priority_weight=_stated(raw.get("Credit"), default.priority_weight),
        late_weight=_stated(raw.get("LateWorth"), default.late_weight),
        streaming=_stated(raw.get("Streaming"), default.streaming),
        allowed_machine_types=_indices(raw.get("BoundTo")),
        allowed_zones=_indices(raw.get("AllowedIn")),
    )


def _read_tenant(raw: RawTenant) -> Tenant:
    return Tenant(
        name=_stated(raw.get("Name"), DEFAULT_TENANT.name),
        share=_stated(raw.get("Share"), DEFAULT_TENANT.share),
        quota=_stated(raw.get("AllowancePerS"), DEFAULT_TENANT.quota),
    )


def _read_limits(raw: RawLimits) -> Limits:
    default = DEFAULT_LIMITS
    return Limits(
        cancel=_stated(raw.get("Cancel"), default.cancel),
        hedging=_stated(raw.get("SecondCopies"), default.hedging),
        max_attempts=_stated(raw.get("MaxAttempts"), default.max_attempts),
        retry_after=_stated(raw.get("RetryAfter"), default.retry_after),
        max_retry_after=_stated(raw.get("MaxRetryAfter"), default.max_retry_after),
    )


def _read_rules(raw: RawRules) -> Rules:
    default = DEFAULT_RULES
    return Rules(
        drain_grace=_stated(raw.get("DrainGrace"), default.drain_grace),
        response_grace=_stated(raw.get("GraceToAnswer"), default.response_grace),
        poll_interval=_stated(raw.get("AskEvery"), default.poll_interval),
        warmup_initial_capacity=_stated(raw.get("ColdFrom"), default.warmup_initial_capacity),
        warmup_duration=_stated(raw.get("Cold"), default.warmup_duration),
        overload_multiple=_stated(raw.get("FallMultiple"), default.overload_multiple),
        overload_interval=_stated(raw.get("TipAfter"), default.overload_interval),
        retry_budget_floor=_stated(raw.get("ExtraFree"), default.retry_budget_floor),
        retry_budget_ratio=_stated(raw.get("ExtraPerRequest"), default.retry_budget_ratio),
        retry_budget_window=_stated(raw.get("RatioSpan"), default.retry_budget_window),
    )


def read_settings(raw: Mapping[str, object]) -> Settings:
    """Return the settings that a JSON object of the platform states."""
    stated, default = cast("RawSettings", raw), DEFAULT_SETTINGS
    service, habits = stated.get("FamilyInfo") or {}, stated.get("ClientHabits") or {}
    return Settings(
        classes=tuple(_read_class(each) for each in stated.get("Services") or ()) or default.classes,
        tenants=tuple(_read_tenant(each) for each in stated.get("Orgs") or ()),
        fleet_size=_stated(stated.get("Instances"), default.fleet_size),
        ordinal=_stated(stated.get("Ordinal"), default.ordinal),
        tier=_stated(stated.get("Tier"), default.tier),
        tier_count=len(stated.get("Tiers") or ()) or default.tier_count,
        zone=_stated(stated.get("Zone"), default.zone),
        zone_count=len(stated.get("Zones") or ()) or default.zone_count,
        discovery=DISCOVERY_MODES.get(stated.get("RegistryMode", "pushed"), default.discovery),
        over_quota_weight=_stated(stated.get("OverShareWorth"), default.over_quota_weight),
        propagates_deadline=_stated(service.get("PassesDeadline"), default.propagates_deadline),
        clients_mark_retries=_stated(habits.get("MarksRetry"), default.clients_mark_retries),
        limits=_read_limits(stated.get("Bounds") or {}),
        rules=_read_rules(stated.get("Rules") or {}),
    )
