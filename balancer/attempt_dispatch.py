"""Attempt dispatch: starts first attempts, retries and hedged requests within the rules and budgets."""

from dataclasses import dataclass
from random import Random

from balancer.attempts import RequestState
from balancer.circuit_breaker import CircuitBreaker
from balancer.endpoint_selection import EndpointSelection
from balancer.endpoint_state import AttemptState, EndpointState
from balancer.events import Action, StartAttempt
from balancer.hedging import Hedging
from balancer.retry_budget import RetryBudgets
from balancer.slow_start import TOKENS_PER_ATTEMPT


@dataclass(slots=True, eq=False, repr=False)
class AttemptDispatch:
    """Starts attempts, and records each one in the budgets and rates that count it.

    Attributes:
        rng: The balancer's source of randomness; the circuit breakers draw from it.
        selection: Ranks the candidates for an attempt.
        retry_budgets: The budgets of retries and of hedged requests.
        hedging: Sets the timers of hedged requests.
    """

    rng: Random
    selection: EndpointSelection
    retry_budgets: RetryBudgets
    hedging: Hedging

    def start(self, now: float, request: RequestState, endpoints: list[EndpointState]) -> list[Action]:
        """Start an attempt at the best candidate whose circuit breaker admits it; no actions if none does.

        Args:
            now: The time in seconds.
            request: The request; the endpoints of its earlier attempts are excluded.
            endpoints: The list of the request's pool from which to draw candidates.
        """
        objective = request.request_class.latency_objective
        for target in self.selection.rank(now, request, endpoints):
            if target.breaker is None:
                target.breaker = CircuitBreaker()
            if not target.breaker.rejects(now, objective, self.rng):
                break
        else:
            return []
        if target.warmup_tokens > 0.0:
            target.warmup_tokens -= TOKENS_PER_ATTEMPT
        if request.attempts:
            self.retry_budgets.budget_for_next_attempt(request.open_attempts).record_retry(now)
        attempt = AttemptState(target, target.endpoint, now)
        target.in_flight[attempt] = None
        pool = request.pool
        pool.sent_rate.add(now)
        pool.warm_rate.add(now, is_warm=pool.warm_fraction >= 1.0)
        request.attempts.append(attempt)
        request.open_attempts += 1
        timeout = request.useful_until - now if request.useful_until < request.deadline else 0.0
        hedge_timer = self.hedging.schedule(now, request, attempt) if request.open_attempts == 1 else []
        return [StartAttempt(request.id, target.endpoint.id, timeout), *hedge_timer]

    def retry(self, now: float, request: RequestState) -> list[Action]:
        """Start another attempt if the rules and the retry budget allow it; no actions if they do not."""
        if request.responded or request.response_started or now >= request.useful_until:
            return []
        within_budget = self.retry_budgets.budget_for_next_attempt(request.open_attempts).allows(now)
        if not within_budget or len(request.attempts) >= request.limits.max_attempts:
            return []
        return self.start(now, request, request.retry_endpoints(now))
