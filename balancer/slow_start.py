"""Slow start: a recently started endpoint gets less than its share of calls until it has warmed up.

The rule (WIRE, "Careful fail-back"; STANDING): within any `overload_interval`, all instances together send
a warming endpoint at most `overload_multiple` times what it can do then, else it falls over. No instance
knows the calls of the others. So each gives the endpoint at most the part of a warm endpoint's share that
the settings guarantee it can do, which leaves the multiple for chance and for uneven traffic.
`attempt_dispatch` spends the tokens.
"""

from dataclasses import dataclass
from random import Random

from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import EndpointState
from balancer.endpoints import Endpoint
from balancer.settings import Rules

#: Probability with which a drawn endpoint that is almost warm is accepted as a candidate. An idle endpoint
#: wins the comparison of two candidates over a busy one, so one that is drawn as often as its peers would
#: get twice its share. Half of its capacity for each draw, not divided by the number of draws, gained on a
#: day on which most endpoints were warming up (docs/postmortems.md, "Slow start put too much load on the
#: few warm backends").
ACCEPTANCE = 0.5
MIN_WARMUP_DURATION = 1e-6  # seconds: a warm-up of 0 s, which the settings may state, must not divide by 0
TOKENS_PER_CALL = 1.0  # tokens that one call needs and spends


@dataclass
class SlowStart:
    """Which calls a warming endpoint does not get, and when it is warm.

    Attributes:
        rng: The balancer's source of randomness.
        rules: How endpoints warm up, and how much a warming one bears.
    """

    rng: Random
    rules: Rules

    def warm_at(self, endpoint: Endpoint) -> float:
        """Return when an endpoint reaches its full capacity, in seconds; 0 where it started long ago."""
        return endpoint.started + self.rules.warmup_duration if endpoint.started > 0.0 else 0.0

    def update_warm_fraction(self, now: float, pool: EndpointPool) -> None:
        """Measure which share of a pool's subset is warm, and when that changes next."""
        warm_times = [self.warm_at(state.endpoint) for state in pool.subset]
        warming = [warm_at for warm_at in warm_times if warm_at > now]
        pool.next_warm_at = min(warming, default=float("inf"))
        pool.warm_fraction = 1.0 - len(warming) / len(warm_times) if warm_times else 1.0

    def should_skip(
        self, now: float, state: EndpointState, pool: EndpointPool, pools: list[EndpointPool]
    ) -> bool:
        """Whether a warming endpoint that was drawn is passed over for this call.

        Its share is bounded in two ways: on average by a random draw, and in any short interval by a token
        bucket. Draws go on until there are two candidates: where many endpoints are warming up, each of them
        still gets its part of what all can do, and the few warm ones get only theirs.

        Args:
            now: The time in seconds.
            state: The endpoint.
            pool: The pool of the call.
            pools: All pools of the instance; the calls of each that allows the endpoint count.
        """
        rules = self.rules
        age = max(0.0, now - state.endpoint.started)
        progress = min(1.0, age / max(rules.warmup_duration, MIN_WARMUP_DURATION))
        capacity = rules.warmup_initial_capacity + (1.0 - rules.warmup_initial_capacity) * progress
        if self.rng.random() >= ACCEPTANCE * capacity:
            return True
        offered = sum(other.rate_per_endpoint(now) for other in pools if other.allows(state.endpoint))
        # Up to twice its part of a warm endpoint's share while the other endpoints of the subset are warm;
        # its part alone where all are warming up, as the calls offered then are no measure of what warm
        # endpoints bear.
        rate = (1.0 + pool.warm_fraction) * capacity * offered
        if state.refilled_at <= 0.0:
            state.warmup_tokens = self.rng.random()  # not the same moment at all instances
            state.refilled_at = now
        burst = max(TOKENS_PER_CALL, rate * rules.overload_interval)
        state.warmup_tokens = min(burst, state.warmup_tokens + rate * (now - state.refilled_at))
        state.refilled_at = now
        return state.warmup_tokens < TOKENS_PER_CALL
