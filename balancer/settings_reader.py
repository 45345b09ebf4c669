"""Reads settings from the nested JSON object that the platform gives to proxies and to the simulator alike.

The names of the platform stand here and nowhere else; the rest of the program uses `balancer.settings`.
"""

from __future__ import annotations

from typing import Any

from balancer.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    RequestClass,
    Rules,
    Settings,
    Tenant,
    known_fields,
)

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

TENANT_NAMES = {"name": "Name", "share": "Share", "quota": "AllowancePerS"}
RULE_NAMES = {
    "drain_grace": "DrainGrace",
    "answer_slack": "GraceToAnswer",
    "poll_interval": "AskEvery",
    "warmup_initial_capacity": "ColdFrom",
    "warmup_duration": "Cold",
    "overload_multiple": "FallMultiple",
    "overload_interval": "TipAfter",
    "retry_budget_floor": "ExtraFree",
    "retry_budget_ratio": "ExtraPerRequest",
    "retry_budget_window": "RatioSpan",
}
LIMIT_NAMES = {
    "cancel": "Cancel",
    "hedging": "SecondCopies",
    "max_attempts": "MaxAttempts",
    "retry_after": "RetryAfter",
    "max_retry_after": "MaxRetryAfter",
}


def _read(kind: Any, names: dict[str, str], values: dict[str, Any]) -> Any:
    """Return a `kind` from the entries of `values` that `names` maps its fields to."""
    return kind(**known_fields(kind, {field: values.get(name) for field, name in names.items()}))


def _indices(allowed: list[int] | None) -> tuple[int, ...] | None:
    return None if allowed is None else tuple(allowed)


def _read_class(raw: dict[str, Any]) -> RequestClass:
    """Return one entry of `Services`."""
    values = {
        "name": raw.get("Name"),
        "latency_objective": raw.get("Aim"),
        "deadline": raw.get("HardLimit"),
        "idempotency": IDEMPOTENCIES.get(raw.get("Repeat", ""), Idempotency.NON_IDEMPOTENT),
        "deduplication_scope": DEDUPLICATION_SCOPES.get(raw.get("Group", ""), DeduplicationScope.CELL),
        "deduplication_window": raw.get("Window"),
        "priority_weight": raw.get("Credit"),
        "late_weight": raw.get("LateWorth"),
        "streaming": raw.get("Streaming"),
        "allowed_machine_types": _indices(raw.get("BoundTo")),
        "allowed_zones": _indices(raw.get("AllowedIn")),
    }
    return RequestClass(**known_fields(RequestClass, values))


def read_settings(raw: dict[str, Any]) -> Settings:
    """Return the settings that the platform states; unknown keys are ignored, absent ones defaulted."""
    values = {
        "classes": tuple(_read_class(row) for row in raw.get("Services") or ()) or None,
        "tenants": tuple(_read(Tenant, TENANT_NAMES, row) for row in raw.get("Orgs") or ()),
        "fleet_size": raw.get("Instances"),
        "ordinal": raw.get("Ordinal"),
        "tier": raw.get("Tier"),
        "tier_count": len(raw.get("Tiers") or ()) or None,
        "zone": raw.get("Zone"),
        "zone_count": len(raw.get("Zones") or ()) or None,
        "discovery": DISCOVERY_MODES.get(raw.get("RegistryMode", "pushed"), DiscoveryMode.PUSHED),
        "over_quota_weight": raw.get("OverShareWorth"),
        "propagates_deadline": (raw.get("FamilyInfo") or {}).get("PassesDeadline"),
        "clients_mark_retries": (raw.get("ClientHabits") or {}).get("MarksRetry"),
        "limits": _read(Limits, LIMIT_NAMES, raw.get("Bounds") or {}),
        "rules": _read(Rules, RULE_NAMES, raw.get("Rules") or {}),
    }
    return Settings(**known_fields(Settings, values))
