"""Hedging: when a second attempt is considered while one is open; whether it starts `balancer` decides."""

from dataclasses import dataclass, field

from balancer.attempts import RequestState
from balancer.discovery_polling import POLL_TOKEN
from balancer.endpoint_state import AttemptState
from balancer.events import Action, SetTimer
from balancer.latency_statistics import LatencyStatistics
from balancer.settings import Idempotency, Settings

HEDGE_DEVIATIONS = 5.0  # mean deviations over the tier's latency after which a hedged request goes out
HEDGE_MULTIPLE = 2.0  # multiple of the tier's latency that it waits at least
HEDGE_TIME_LEFT = 1.5  # multiple of it that must be left then: in a queue hedging adds to it


@dataclass
class Hedging:
    """The attempts that are to be looked at again, by the token of their timer.

    It saves idempotent requests from a hung endpoint or a lost answer, for which they wait until no time is
    left. It acts at the last tier alone: further up it repeats the work of all tiers below. It can do harm
    where all are slow: it has a budget of its own, and rests where latency is a large part of the time left.
    """

    statistics: LatencyStatistics
    settings: Settings
    hedges: dict[int, tuple[RequestState, AttemptState]] = field(default_factory=dict)
    _last_token: int = POLL_TOKEN  # tokens above it are given here

    def schedule(self, now: float, request: RequestState, attempt: AttemptState) -> list[Action]:
        """Set a timer for an attempt that is alone, where a hedged request may be sent in time."""
        request_class, latency = request.request_class, self.statistics.tier_latency
        if self.settings.tier < self.settings.tier_count - 1 or not request.limits.hedging or latency <= 0.0:
            return []
        delay = max(latency + HEDGE_DEVIATIONS * self.statistics.tier_deviation, HEDGE_MULTIPLE * latency)
        in_time = now + delay + HEDGE_TIME_LEFT * latency <= request.useful_until
        if request_class.idempotency is not Idempotency.IDEMPOTENT or request_class.streaming or not in_time:
            return []
        self._last_token += 1
        self.hedges[self._last_token] = request, attempt
        return [SetTimer(now + delay, self._last_token)]

    def due(self, token: int) -> RequestState | None:
        """Return the request to hedge as its timer fires; None where it is none, or may not be hedged now."""
        request, attempt = self.hedges.pop(token, (None, None))
        if request is None or attempt is None or not attempt.is_open or not request.limits.hedging:
            return None
        return request if request.request_class.idempotency is Idempotency.IDEMPOTENT else None
