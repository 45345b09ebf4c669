"""Slow start: an endpoint whose process is young gets less than its share; tokens are spent in `balancer`."""

from dataclasses import dataclass
from random import Random

from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import EndpointState
from balancer.endpoints import Endpoint
from balancer.settings import Rules


@dataclass
class SlowStart:
    """Which calls pass over a warming endpoint, and when it is warm."""

    rng: Random
    rules: Rules

    def warm_at(self, endpoint: Endpoint) -> float:
        """Return when an endpoint has its full capacity."""
        return endpoint.started + self.rules.warmup_duration if endpoint.started > 0.0 else 0.0

    def measure(self, now: float, pool: EndpointPool) -> None:
        """Measure how much of a pool's subset is warm, and when that changes next."""
        warm_times = [self.warm_at(state.endpoint) for state in pool.subset]
        warming = [warm_at for warm_at in warm_times if warm_at > now]
        pool.next_warm_at = min(warming, default=float("inf"))
        pool.warm_fraction = 1.0 - len(warming) / len(warm_times) if warm_times else 1.0

    def defers(self, now: float, state: EndpointState, pool: EndpointPool, pools: list[EndpointPool]) -> bool:
        """Whether a warming endpoint is passed over for a call from this pool, one of all `pools`.

        So that it does not fall over, this instance gives it at most the part of a warm peer's share that it
        can do for certain, on average (a random draw) and in any short interval (a token bucket).
        """
        rules = self.rules
        age = max(0.0, now - state.endpoint.started)
        progress = min(1.0, age / max(rules.warmup_duration, 1e-6))
        capacity = rules.warmup_initial_capacity + (1.0 - rules.warmup_initial_capacity) * progress
        # Half, as an idle endpoint wins over its rival. Draws go on until there are two candidates: where
        # many are warming up each still gets its part of what all can do, and the few warm ones only theirs.
        if self.rng.random() >= 0.5 * capacity:
            return True
        offered = sum(other.rate_per_endpoint(now) for other in pools if other.allows(state.endpoint))
        rate = (1.0 + pool.warm_fraction) * capacity * offered
        if state.refilled_at <= 0.0:
            state.warmup_tokens = self.rng.random()  # instances must not all begin at the same moment
            state.refilled_at = now
        burst = max(1.0, rate * rules.overload_interval)
        state.warmup_tokens = min(burst, state.warmup_tokens + rate * (now - state.refilled_at))
        state.refilled_at = now
        return state.warmup_tokens < 1.0
