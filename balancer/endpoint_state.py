"""The state of one endpoint and of the attempts at it; `endpoint_selection` selects endpoints by it."""

from dataclasses import dataclass, field

from balancer.circuit_breaker import RECENT_SAMPLES, CircuitBreaker
from balancer.endpoints import Endpoint
from balancer.events import Outcome

#: Seconds without a sample after which an endpoint's latency is estimated half by its own mean, half by that
#: of the tier. If its own mean counted fully, a slow endpoint would get no attempts to show its recovery.
LATENCY_HALF_LIFE = 5.0


@dataclass(slots=True, eq=False, repr=False)
class AttemptState:
    """One attempt of a request, at one endpoint.

    Attributes:
        target: The state of its endpoint.
        endpoint: The endpoint's entry in the list at the time when the attempt was started.
        started_at: When it was started, in seconds.
        is_open: Whether it has not ended.
        may_have_run: Whether the endpoint may have done the work; False once its outcome rules that out.
        indicates_overload: Whether its end indicates that the endpoints are overloaded.
    """

    target: "EndpointState"
    endpoint: Endpoint
    started_at: float
    is_open: bool = True
    may_have_run: bool = True
    indicates_overload: bool = False


@dataclass(slots=True, eq=False, repr=False)
class EndpointState:
    """One endpoint of the next tier, as this proxy sees it.

    Attributes:
        endpoint: Its entry in the endpoint list.
        breaker: Its circuit breaker, created for the first attempt: most endpoints of a long list need none.
        in_flight: The open attempts at it, the oldest first; a dict serves as an ordered set.
        mean_latency: The recent mean latency in seconds; 0 before the first sample. A failure counts as at
            least the latency objective.
        measured_at: When the mean latency was last updated, in seconds.
        warmup_tokens: The attempts that it may get now while it is warming up (see `slow_start`).
        refilled_at: When the tokens were last refilled, in seconds; 0 before the first time.
    """

    endpoint: Endpoint
    breaker: CircuitBreaker | None = None
    in_flight: dict[AttemptState, None] = field(default_factory=dict)
    mean_latency: float = 0.0
    measured_at: float = 0.0
    warmup_tokens: float = 0.0
    refilled_at: float = 0.0

    def reset(self) -> None:
        """Discard the measurements of the previous process at this endpoint.

        The warm-up tokens are discarded too: if they were full at all proxies, the new process would be
        overloaded.
        """
        self.breaker, self.mean_latency = None, 0.0
        self.warmup_tokens = self.refilled_at = 0.0

    def score(self, now: float, tier_latency: float, others_in_flight: float = 0.0) -> float:
        """Return the latency times the number of attempts in flight plus the one to be sent; lower is better.

        Without new samples, the latency of an endpoint approaches that of the tier, so that a recovered
        endpoint is tried again. The age of the oldest attempt in flight replaces a lower latency, so that a
        hung endpoint is noticed before its attempts end.

        Args:
            now: The time in seconds.
            tier_latency: The mean latency over all endpoints, in seconds.
            others_in_flight: The estimated number of attempts that other proxies have in flight there.
        """
        latency = tier_latency
        if self.mean_latency > 0.0:
            freshness = LATENCY_HALF_LIFE / (LATENCY_HALF_LIFE + now - self.measured_at)
            latency += (self.mean_latency - tier_latency) * freshness
        in_flight = self.in_flight
        if in_flight:
            latency = max(latency, now - next(iter(in_flight)).started_at)
        return latency * (len(in_flight) + others_in_flight + 1.0)

    def is_outlier(self, now: float) -> bool:
        """Whether most of the recent attempts of this proxy failed."""
        return self.breaker is not None and self.breaker.is_outlier(now)

    def finish_attempt(
        self,
        now: float,
        attempt: AttemptState,
        outcome: Outcome,
        latency: float,
        min_failure_latency: float,
        tier_latency: float,
    ) -> bool:
        """Remove an attempt from those in flight, and record how it ended.

        A failure counts as at least `min_failure_latency`: an endpoint that fails fast must not appear fast.
        `tier_latency` is the mean over all endpoints, 0 if unknown. All latencies are in seconds. Return
        False, and record nothing, if the attempt was never written, or went to a previous process of the
        endpoint.
        """
        self.in_flight.pop(attempt, None)
        breaker = self.breaker
        if breaker is None or outcome is Outcome.NOT_SENT or attempt.started_at < self.endpoint.started:
            return False
        if outcome is Outcome.SUCCESS:
            breaker.record_accepted(now)
            if breaker.current_latency <= 0.0 and tier_latency > 0.0:
                # A single slow response must not become the baseline.
                breaker.record_latency(min(latency, tier_latency))
            breaker.record_latency(latency)
            self.record_latency(now, latency)
        elif outcome is Outcome.CANCELLED:
            # At a hung endpoint, the hedged request succeeds first: this attempt would have taken longer.
            if latency > self.mean_latency:
                self.record_latency(now, latency)
        else:
            breaker.record_failure(now)
            self.record_latency(now, max(latency, min_failure_latency))
        return True

    def record_latency(self, now: float, latency: float) -> None:
        """Update the mean latency with a sample, in seconds."""
        difference = latency - self.mean_latency
        self.mean_latency += difference / RECENT_SAMPLES if self.mean_latency > 0.0 else latency
        self.measured_at = now
