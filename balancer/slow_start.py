"""Slow start: a recently started endpoint gets fewer attempts than its peers until it has warmed up.

A warming endpoint fails if all proxies together send it more than `overload_multiple` times its present
capacity within any `overload_interval`. No proxy knows how many attempts the others send. Therefore each
proxy sends it on average at most the share of a warm endpoint, scaled by the capacity that the settings
guarantee at its age, and in a short interval at most twice that. The multiple is the margin for chance and
for uneven traffic. `attempt_dispatch` spends the tokens.
"""

from dataclasses import dataclass
from random import Random

from balancer.endpoint_pool import EndpointPool
from balancer.endpoint_state import EndpointState
from balancer.endpoints import Endpoint
from balancer.settings import Rules

#: Probability with which a drawn endpoint that is almost warm is accepted as a candidate. An idle endpoint
#: wins the comparison with a busy one: if it were drawn as often as its peers, it would get twice its share.
#: The probability applies to each draw. If it were divided by the number of draws, the few warm endpoints
#: would be overloaded where most are warming up (see docs/postmortems.md, "Slow start put too much load on
#: the few warm backends").
ACCEPTANCE_PROBABILITY = 0.5
MIN_WARMUP_DURATION = 1e-6  # seconds; avoids a division by 0 where the settings state a warm-up of 0 s
TOKENS_PER_ATTEMPT = 1.0  # tokens that one attempt needs and spends


@dataclass
class SlowStart:
    """Limits the attempts at warming endpoints.

    Attributes:
        rng: The balancer's source of randomness.
        rules: The rules in force, which state how endpoints warm up.
    """

    rng: Random
    rules: Rules

    def warm_at(self, endpoint: Endpoint) -> float:
        """Return when an endpoint reaches full capacity, in seconds; 0 if it has no recent start."""
        return endpoint.started + self.rules.warmup_duration if endpoint.started > 0.0 else 0.0

    def update_warm_fraction(self, now: float, pool: EndpointPool) -> None:
        """Update the warm fraction of a pool's subset, and the time of its next change."""
        warm_times = [self.warm_at(state.endpoint) for state in pool.subset]
        warming = [warm_at for warm_at in warm_times if warm_at > now]
        pool.next_warm_at = min(warming, default=float("inf"))
        pool.warm_fraction = 1.0 - len(warming) / len(warm_times) if warm_times else 1.0

    def should_skip(
        self, now: float, state: EndpointState, pool: EndpointPool, pools: list[EndpointPool]
    ) -> bool:
        """Whether not to consider a warming endpoint that was drawn for an attempt.

        Its share is bounded on average by a random draw, and in any short interval by a token bucket. The
        selection draws further endpoints until it has two candidates. Where many endpoints are warming up,
        each of them therefore still gets its share, and the few warm ones get no more than theirs.

        Args:
            now: The time in seconds.
            state: The endpoint.
            pool: The pool of the request.
            pools: All pools; those that allow the endpoint share its tokens.
        """
        rules = self.rules
        age = max(0.0, now - state.endpoint.started)
        progress = min(1.0, age / max(rules.warmup_duration, MIN_WARMUP_DURATION))
        capacity = rules.warmup_initial_capacity + (1.0 - rules.warmup_initial_capacity) * progress
        if self.rng.random() >= ACCEPTANCE_PROBABILITY * capacity:
            return True
        full_rate = sum(other.rate_per_endpoint(now) for other in pools if other.allows(state.endpoint))
        # Up to twice its share while the other endpoints of the subset are warm. Only its share where all are
        # warming up, since the offered rate does not show then what warm endpoints can serve.
        rate = (1.0 + pool.warm_fraction) * capacity * full_rate
        if state.refilled_at <= 0.0:
            state.warmup_tokens = self.rng.random()  # so that not all proxies send at the same moment
            state.refilled_at = now
        burst = max(TOKENS_PER_ATTEMPT, rate * rules.overload_interval)
        state.warmup_tokens = min(burst, state.warmup_tokens + rate * (now - state.refilled_at))
        state.refilled_at = now
        return state.warmup_tokens < TOKENS_PER_ATTEMPT
