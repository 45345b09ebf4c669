"""Reads settings from the nested JSON object that the platform gives to proxies and to the simulator.

Only this module uses the platform's names; all other modules use those of `balancer.settings`. Unknown keys
are ignored. Absent keys, null and unknown words get the defaults of `balancer.settings`. The values are
checked by `Settings.check`, and by the proxy when it reads its configuration file.
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
    """`Bounds`: what the deployment permits; only the proxy uses `ConnIdle` and `DialTimeout`."""

    Cancel: bool
    SecondCopies: bool
    MaxAttempts: int
    RetryAfter: bool
    MaxRetryAfter: float
    ConnIdle: float
    DialTimeout: float


class RawRules(TypedDict, total=False):
    """`Rules`: the parameters of the deployment's rules."""

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
    """`FamilyInfo`: properties of this kind of service."""

    PassesDeadline: bool


class RawClientHabits(TypedDict, total=False):
    """`ClientHabits`: how clients behave."""

    MarksRetry: bool


class RawSettings(TypedDict, total=False):
    """The platform's settings that this project uses.

    Only the proxy uses `HostTypes`: a machine type's position in it is its index.
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


def _or_default(value: T | None, default: T) -> T:
    """Return a value of the settings, or its default if it is absent."""
    return default if value is None else value


def _indices(values: list[int] | None) -> tuple[int, ...] | None:
    return None if values is None else tuple(values)


def _read_class(raw: RawClass) -> RequestClass:
    default = DEFAULT_CLASS
    return RequestClass(
        name=_or_default(raw.get("Name"), default.name),
        latency_objective=_or_default(raw.get("Aim"), default.latency_objective),
        deadline=_or_default(raw.get("HardLimit"), default.deadline),
        idempotency=IDEMPOTENCIES.get(raw.get("Repeat", ""), default.idempotency),
        deduplication_scope=DEDUPLICATION_SCOPES.get(raw.get("Group", ""), default.deduplication_scope),
        deduplication_window=_or_default(raw.get("Window"), default.deduplication_window),
        priority_weight=_or_default(raw.get("Credit"), default.priority_weight),
        late_weight=_or_default(raw.get("LateWorth"), default.late_weight),
        streaming=_or_default(raw.get("Streaming"), default.streaming),
        allowed_machine_types=_indices(raw.get("BoundTo")),
        allowed_zones=_indices(raw.get("AllowedIn")),
    )


def _read_tenant(raw: RawTenant) -> Tenant:
    return Tenant(
        name=_or_default(raw.get("Name"), DEFAULT_TENANT.name),
        share=_or_default(raw.get("Share"), DEFAULT_TENANT.share),
        quota=_or_default(raw.get("AllowancePerS"), DEFAULT_TENANT.quota),
    )


def _read_limits(raw: RawLimits) -> Limits:
    default = DEFAULT_LIMITS
    return Limits(
        cancel=_or_default(raw.get("Cancel"), default.cancel),
        hedging=_or_default(raw.get("SecondCopies"), default.hedging),
        max_attempts=_or_default(raw.get("MaxAttempts"), default.max_attempts),
        retry_after=_or_default(raw.get("RetryAfter"), default.retry_after),
        max_retry_after=_or_default(raw.get("MaxRetryAfter"), default.max_retry_after),
    )


def _read_rules(raw: RawRules) -> Rules:
    default = DEFAULT_RULES
    return Rules(
        drain_grace=_or_default(raw.get("DrainGrace"), default.drain_grace),
        response_grace=_or_default(raw.get("GraceToAnswer"), default.response_grace),
        poll_interval=_or_default(raw.get("AskEvery"), default.poll_interval),
        warmup_initial_capacity=_or_default(raw.get("ColdFrom"), default.warmup_initial_capacity),
        warmup_duration=_or_default(raw.get("Cold"), default.warmup_duration),
        overload_multiple=_or_default(raw.get("FallMultiple"), default.overload_multiple),
        overload_interval=_or_default(raw.get("TipAfter"), default.overload_interval),
        retry_budget_floor=_or_default(raw.get("ExtraFree"), default.retry_budget_floor),
        retry_budget_ratio=_or_default(raw.get("ExtraPerRequest"), default.retry_budget_ratio),
        retry_budget_window=_or_default(raw.get("RatioSpan"), default.retry_budget_window),
    )


def read_settings(raw: Mapping[str, object]) -> Settings:
    """Return the settings that a JSON object of the platform contains."""
    raw_settings, default = cast("RawSettings", raw), DEFAULT_SETTINGS
    service, habits = raw_settings.get("FamilyInfo") or {}, raw_settings.get("ClientHabits") or {}
    return Settings(
        classes=tuple(_read_class(each) for each in raw_settings.get("Services") or ()) or default.classes,
        tenants=tuple(_read_tenant(each) for each in raw_settings.get("Orgs") or ()),
        fleet_size=_or_default(raw_settings.get("Instances"), default.fleet_size),
        ordinal=_or_default(raw_settings.get("Ordinal"), default.ordinal),
        tier=_or_default(raw_settings.get("Tier"), default.tier),
        tier_count=len(raw_settings.get("Tiers") or ()) or default.tier_count,
        zone=_or_default(raw_settings.get("Zone"), default.zone),
        zone_count=len(raw_settings.get("Zones") or ()) or default.zone_count,
        discovery=DISCOVERY_MODES.get(raw_settings.get("RegistryMode", "pushed"), default.discovery),
        over_quota_weight=_or_default(raw_settings.get("OverShareWorth"), default.over_quota_weight),
        propagates_deadline=_or_default(service.get("PassesDeadline"), default.propagates_deadline),
        clients_mark_retries=_or_default(habits.get("MarksRetry"), default.clients_mark_retries),
        limits=_read_limits(raw_settings.get("Bounds") or {}),
        rules=_read_rules(raw_settings.get("Rules") or {}),
    )
