"""The `settings` object of the configuration files of a run's proxies."""

from __future__ import annotations

from soak.history import RetrySafety

ZONES = ("a", "b")
DEADLINE = 2.0  # seconds; the same for each request class
DEDUPLICATION_WINDOW = 0.8  # seconds for which backends recognise a repeated idempotency key
WARMUP = 1.0  # seconds

Settings = dict[str, object]  # a JSON object of the configuration file


def proxy_settings(
    proxies: int, number: int, *, allows_keyed_retries: bool = True, allows_cancelling: bool = True
) -> Settings:
    """Return the `settings` of one proxy's configuration file.

    Args:
        proxies: The number of proxies in the run.
        number: The number of this proxy.
        allows_keyed_retries: Whether requests with an idempotency key may be retried; otherwise they are
            treated like non-idempotent requests.
        allows_cancelling: Whether attempts may be cancelled.
    """
    return {
        "Instances": proxies,
        "Ordinal": number,
        "Services": _request_classes(allows_keyed_retries=allows_keyed_retries),
        "ClientHabits": {"MarksRetry": True},
        "Bounds": {
            "Cancel": allows_cancelling,
            "SecondCopies": True,
            "MaxAttempts": 4,
            "ConnIdle": 10.0,
            "DialTimeout": 0.25,
            "RetryAfter": True,
            "MaxRetryAfter": 1.0,
        },
        "Rules": {"DrainGrace": 0.25, "ColdFrom": 0.5, "Cold": WARMUP, "FallMultiple": 3.0, "TipAfter": 2.0},
        "RegistryMode": "pushed",
        "Tier": 0,
        "Tiers": ["front"],
        "Zone": 0,
        "Zones": list(ZONES),
        "HostTypes": ["k"],
    }


def _request_classes(*, allows_keyed_retries: bool) -> list[Settings]:
    """Return one request class for each member of `RetrySafety`, with its value as the class name."""
    keyed = RetrySafety.KEYED if allows_keyed_retries else RetrySafety.NON_IDEMPOTENT
    retry_rules: dict[RetrySafety, Settings] = {
        RetrySafety.IDEMPOTENT: {"Repeat": str(RetrySafety.IDEMPOTENT)},
        RetrySafety.KEYED: {"Repeat": str(keyed), "Group": "all", "Window": DEDUPLICATION_WINDOW},
        RetrySafety.NON_IDEMPOTENT: {"Repeat": str(RetrySafety.NON_IDEMPOTENT)},
    }
    return [
        {
            "Aim": 1.0,
            "HardLimit": DEADLINE,
            "LateWorth": 1.0,
            "Credit": 1.0,
            "Name": str(safety),
            **retry_rule,
        }
        for safety, retry_rule in retry_rules.items()
    ]
