"""One endpoint and the attempts at it; `endpoint_selection` decides whether it is selected."""

from dataclasses import dataclass, field

from balancer.circuit_breaker import RECENT_SAMPLES, CircuitBreaker
from balancer.endpoints import Endpoint
from balancer.events import Outcome

#: Seconds without a sample after which half of an endpoint's mean latency counts, and half of the tier's:
#: an endpoint that was slow once gets no calls that could show that it has recovered. Chosen: it came with
#: the program, and no derivation is known.
LATENCY_HALF_LIFE = 5.0


@dataclass(slots=True, eq=False, repr=False)
class AttemptState:
    """One attempt of a request, at one endpoint.

    Attributes:
        target: The endpoint as it is known now.
        endpoint: The endpoint as it was listed when the attempt was started.
        started_at: When it was started, in seconds.
        is_open: Whether it has not ended.
        may_have_run: Whether the endpoint may have done the work; False once its outcome proves otherwise.
        indicates_overload: Whether its end indicates that the endpoints have more work than they can do.
    """

    target: "EndpointState"
    endpoint: Endpoint
    started_at: float
    is_open: bool = True
    may_have_run: bool = True
    indicates_overload: bool = False


@dataclass(slots=True, eq=False, repr=False)
class EndpointState:
    """One endpoint of the next tier as this instance knows it.

    Attributes:
        endpoint: Its entry in the endpoint list.
        breaker: Its circuit breaker, created by the first call: in a long list most endpoints get none.
        in_flight: The open attempts at it, the oldest first (an ordered set).
        mean_latency: The recent mean latency in seconds; 0 before the first sample. A failure counts as the
            latency objective at least.
        measured_at: When that mean was last updated, in seconds.
        warmup_tokens: The calls that it may get now while it is warming up (see `slow_start`).
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
        """Forget what was learned of the previous process at this endpoint.

        Its warm-up tokens go too: full at all instances at once, they would overload the new process.
        """
        self.breaker, self.mean_latency = None, 0.0
        self.warmup_tokens = self.refilled_at = 0.0

    def score(self, now: float, tier_latency: float, unseen: float = 0.0) -> float:
        """Return latency x (in flight + 1), the attempt to send being the 1; lower is better.

        The mean of an endpoint without samples drifts to the tier's, so that a recovered one is tried again.
        The age of the oldest attempt in flight is a sample of its own where it is above the mean: a hung
        endpoint shows before its attempts end.

        Args:
            now: The time in seconds.
            tier_latency: The mean latency over all endpoints, in seconds.
            unseen: How many attempts other instances are estimated to have in flight there.
        """
        latency = tier_latency
        if self.mean_latency > 0.0:
            freshness = LATENCY_HALF_LIFE / (LATENCY_HALF_LIFE + now - self.measured_at)
            latency += (self.mean_latency - tier_latency) * freshness
        in_flight = self.in_flight
        if in_flight:
            latency = max(latency, now - next(iter(in_flight)).started_at)
        return latency * (len(in_flight) + unseen + 1.0)

    def is_outlier(self, now: float) -> bool:
        """Whether most of the recent calls from this instance failed."""
        return self.breaker is not None and self.breaker.is_outlier(now)

    def finish_attempt(
        self, now: float, attempt: AttemptState, outcome: Outcome, latency: float, penalty: float, tier: float
    ) -> bool:
        """Take an attempt out of flight and learn from it.

        Args:
            now: The time in seconds.
            attempt: The attempt.
            outcome: How it ended.
            latency: How long it was open, in seconds.
            penalty: What a failure counts as at least, in seconds: one that fails fast must not look fast.
            tier: The mean latency over all endpoints in seconds; 0 where it is not known.

        Returns:
            Whether it was learned from; False where it shows nothing of the process that runs there now.
        """
        self.in_flight.pop(attempt, None)
        breaker = self.breaker
        if breaker is None or outcome is Outcome.NOT_SENT or attempt.started_at < self.endpoint.started:
            return False
        if outcome is Outcome.SUCCESS:
            breaker.record_accepted(now)
            if breaker.current_latency <= 0.0 and tier > 0.0:
                # One slow first answer alone must not become the baseline (DESIGN: "a fair first sample").
                breaker.record_latency(min(latency, tier))
            breaker.record_latency(latency)
            self.record_latency(now, latency)
        elif outcome is Outcome.CANCELLED:
            # At a hung endpoint attempts end as the hedged request is answered: they took at least this long.
            if latency > self.mean_latency:
                self.record_latency(now, latency)
        else:
            breaker.record_failure(now)
            self.record_latency(now, max(latency, penalty))
        return True

    def record_latency(self, now: float, latency: float) -> None:
        """Move the mean latency towards a sample, in seconds."""
        gap = latency - self.mean_latency
        self.mean_latency += gap / RECENT_SAMPLES if self.mean_latency > 0.0 else latency
        self.measured_at = now
