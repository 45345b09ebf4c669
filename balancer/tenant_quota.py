"""Tenant quotas; a request beyond one is not rejected here, but has less weight in `admission_control`."""

from math import inf

from balancer.settings import Settings, Tenant

#: Seconds of its quota that a tenant may use at once: uneven traffic within a quota is no excess. Chosen:
#: it came with the program, and no derivation is known.
BURST_SPAN = 5.0


class TenantQuotas:
    """Token buckets, refilled at this instance's part of each quota: no tenant's burst may harm the others.

    They can do harm where one instance gets most of a tenant's traffic: its part is used up soon.

    Attributes:
        tokens: By tenant index, the requests that are left of the quota.
    """

    def __init__(self) -> None:
        self._rates: list[float] = []  # by tenant: tokens a second; 0: no quota
        self.tokens: list[float] = []
        self._refilled_at: list[float] = []  # by tenant: when the tokens were last refilled, in seconds

    def configure(self, now: float, previous: tuple[Tenant, ...], settings: Settings) -> None:
        """Apply new settings; a tenant that the previous ones name too retains the tokens that it has left.

        Args:
            now: The time in seconds.
            previous: The tenants of the previous settings, in their order.
            settings: The new settings.
        """
        tenants = () if settings.tier else settings.tenants  # quotas apply at the first tier alone
        indices = {tenant.name: index for index, tenant in enumerate(previous)}
        retained = [self._refilled(now, indices[t.name]) if t.name in indices else inf for t in tenants]
        self._rates = [tenant.quota / settings.fleet_size for tenant in tenants]
        bursts = [1.0 + BURST_SPAN * rate for rate in self._rates]
        self.tokens = [min(tokens, burst) for tokens, burst in zip(retained, bursts, strict=True)]
        self._refilled_at = [now] * len(tenants)

    def take_token(self, now: float, tenant: int) -> bool:
        """Take a token for a request of a tenant, given by its index, and return whether there was one."""
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
