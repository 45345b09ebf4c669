"""One endpoint and the attempts at it; whether it is picked is decided in `endpoint_selection`."""

from dataclasses import dataclass, field

from balancer.circuit_breaker import RECENT_SAMPLES, CircuitBreaker
from balancer.endpoints import Endpoint
from balancer.events import Outcome

LATENCY_HALF_LIFE = 5.0  # seconds of silence after which a mean latency counts half, the tier's the rest


@dataclass(slots=True, eq=False, repr=False)
class AttemptState:
    """One attempt of a request, at one endpoint."""

    target: "EndpointState"
    endpoint: Endpoint  # as it was listed when the attempt was started
    started_at: float
    is_open: bool = True
    may_have_run: bool = True  # until its outcome proves otherwise
    overloaded: bool = False  # whether its end speaks of more work than the endpoints can do


@dataclass(slots=True, eq=False, repr=False)
class EndpointState:
    """One endpoint of the next tier as this instance sees it."""

    endpoint: Endpoint
    breaker: CircuitBreaker | None = None  # made at the first call: in a long list most endpoints see none
    in_flight: dict[AttemptState, None] = field(default_factory=dict)  # oldest first
    mean_latency: float = 0.0  # failures count as the latency objective
    measured_at: float = 0.0  # when the mean was last moved
    warmup_tokens: float = 0.0  # calls that it may get while it warms up
    refilled_at: float = 0.0  # when the tokens were last refilled

    def reset(self) -> None:
        """Forget the process before: its warm-up tokens, full at all instances, would push this one over."""
        self.breaker, self.mean_latency = None, 0.0
        self.warmup_tokens = self.refilled_at = 0.0

    def score(self, now: float, tier_latency: float, unseen: float = 0.0) -> float:
        """Return latency x (in flight + 1), with what others are taken to have there; lower is better.

        The mean of a silent endpoint drifts to the tier's, so that a recovered one is tried again. An attempt
        that is out for longer than the mean is a sample of its own: a hung endpoint shows before it ends.
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
        """Whether most of the calls from here failed lately."""
        return self.breaker is not None and self.breaker.is_outlier(now)

    def finish_attempt(
        self, now: float, attempt: AttemptState, outcome: Outcome, latency: float, penalty: float, tier: float
    ) -> bool:
        """Take an attempt out of flight and learn from it; False where it says nothing of this process."""
        self.in_flight.pop(attempt, None)
        breaker = self.breaker
        if breaker is None or outcome is Outcome.NOT_SENT or attempt.started_at < self.endpoint.started:
            return False
        if outcome is Outcome.SUCCESS:
            breaker.record_accepted(now)
            if breaker.current_latency <= 0.0 and tier > 0.0:
                breaker.record_latency(min(latency, tier))  # no baseline from one slow answer alone
            breaker.record_latency(latency)
            self._record_latency(now, latency)
        elif outcome is Outcome.CANCELLED:
            # At a hung endpoint attempts end as the hedged request is answered: they took at least this long.
            if latency > self.mean_latency:
                self._record_latency(now, latency)
        else:
            breaker.record_failure(now)
            # An endpoint that fails fast must not look quick: the penalty is the latency objective.
            self._record_latency(now, max(latency, penalty))
        return True

    def _record_latency(self, now: float, latency: float) -> None:
        gap = latency - self.mean_latency
        self.mean_latency += gap / RECENT_SAMPLES if self.mean_latency > 0.0 else latency
        self.measured_at = now
