"""Tenant quotas: counts which requests are within them.

A request over its tenant's quota is not rejected here; `admission_control` gives it a shorter wait budget
while requests fail from overload.
"""

from math import inf

from balancer.settings import Settings, Tenant

#: Seconds of its quota that a tenant may use in one burst, as traffic within a quota is uneven.
BURST_SECONDS = 5.0


class TenantQuotas:
    """A token bucket for each tenant, so that a burst of one tenant takes no capacity from the others.

    Each bucket is refilled at the tenant's quota divided by the number of proxies.

    Limitation: where one proxy gets most of a tenant's traffic, its fraction of the quota is used up although
    the tenant is within its total quota.

    Attributes:
        tokens: The requests that each tenant may send now within its quota, by tenant index.
    """

    def __init__(self) -> None:
        self._rates: list[float] = []  # by tenant index: tokens per second; 0 means no quota
        self.tokens: list[float] = []
        self._refilled_at: list[float] = []  # by tenant index, in seconds

    def configure(self, now: float, previous: tuple[Tenant, ...], settings: Settings) -> None:
        """Apply new settings; a tenant that the previous settings name as well keeps its tokens.

        Args:
            now: The time in seconds.
            previous: The tenants of the previous settings, in their order.
            settings: The new settings.
        """
        tenants = () if settings.tier else settings.tenants  # quotas apply only at the first tier
        indices = {tenant.name: index for index, tenant in enumerate(previous)}
        retained = [
            self._refilled_tokens(now, indices[tenant.name]) if tenant.name in indices else inf
            for tenant in tenants
        ]
        self._rates = [tenant.quota / settings.fleet_size for tenant in tenants]
        bursts = [1.0 + BURST_SECONDS * rate for rate in self._rates]
        self.tokens = [min(tokens, burst) for tokens, burst in zip(retained, bursts, strict=True)]
        self._refilled_at = [now] * len(tenants)

    def take_token(self, now: float, tenant: int) -> bool:
        """Take a token for a request of the tenant with this index; return False if there is none."""
        if not self._rates or self._rates[tenant] <= 0.0:
            return True
        self.tokens[tenant] = tokens = self._refilled_tokens(now, tenant)
        self._refilled_at[tenant] = now
        if tokens < 1.0:
            return False
        self.tokens[tenant] -= 1.0
        return True

    def _refilled_tokens(self, now: float, tenant: int) -> float:
        """Return the tokens of a tenant as of now."""
        rate = self._rates[tenant]
        return min(self.tokens[tenant] + rate * (now - self._refilled_at[tenant]), 1.0 + BURST_SECONDS * rate)
