"""Tenant quotas; what is beyond one is not rejected here, but weighs less in `admission_control`."""

from math import inf

from balancer.settings import Settings, Tenant

BURST_SPAN = 5.0  # seconds of its quota that a tenant may use at once: a burst, not a surplus


class TenantQuotas:
    """Token buckets, filled at this instance's part of each quota: no tenant's burst may harm the others.

    They can do harm where one instance has most of a tenant's traffic: its part is soon used up.
    """

    def __init__(self) -> None:
        self._rates: list[float] = []  # tokens a second, by tenant; 0: no quota
        self.tokens: list[float] = []  # requests that are left of each quota
        self._refilled_at: list[float] = []  # when the tokens were last refilled

    def configure(self, now: float, previous: tuple[Tenant, ...], settings: Settings) -> None:
        """Take over new settings; tenants that the previous ones name too keep the tokens they have left."""
        tenants = () if settings.tier else settings.tenants  # only the first tier goes by quota
        indices = {tenant.name: index for index, tenant in enumerate(previous)}
        kept = [self._refilled(now, indices[t.name]) if t.name in indices else inf for t in tenants]
        self._rates = [tenant.quota / settings.fleet_size for tenant in tenants]
        bursts = [1.0 + BURST_SPAN * rate for rate in self._rates]
        self.tokens = [min(tokens, burst) for tokens, burst in zip(kept, bursts, strict=True)]
        self._refilled_at = [now] * len(tenants)

    def take_token(self, now: float, tenant: int) -> bool:
        """Take a token for a request, and return whether there was one."""
        if not self._rates or self._rates[tenant] <= 0.0:
            return True
        self.tokens[tenant] = tokens = self._refilled(now, tenant)
        self._refilled_at[tenant] = now
        if tokens < 1.0:
            return False
        self.tokens[tenant] -= 1.0
        return True

    def _refilled(self, now: float, tenant: int) -> float:
        """Return how many requests of a tenant are within its quota now."""
        rate = self._rates[tenant]
        return min(self.tokens[tenant] + rate * (now - self._refilled_at[tenant]), 1.0 + BURST_SPAN * rate)
