"""Hedging: when a second attempt is considered while one is open; `attempt_dispatch` starts it.

The page docs/postmortems.md ("Views waited for responses that never came") has the trials behind the
constants. The first form hedged at every tier, sooner where time ran short, and from the budget of retries:
it cost 31 simulated days 0.025 of their score on average. In this form they lose 0.005 (standard error
0.006), and the day that it was made for gains.
"""

from dataclasses import dataclass, field

from balancer.attempts import RequestState
from balancer.discovery_polling import POLL_TOKEN
from balancer.endpoint_state import AttemptState
from balancer.events import Action, SetTimer
from balancer.latency_statistics import LatencyStatistics
from balancer.settings import Idempotency, Settings

#: Mean deviations above the tier's mean latency after which an attempt is hedged: such an answer is most
#: probably lost. After three deviations hedged requests cost the simulated day with hung endpoints 0.03
#: (commit 8fe6389).
HEDGE_DEVIATIONS = 5.0
#: The delay is at least this multiple of the tier's mean latency, as where latencies hardly vary five
#: deviations are little. Set in the same trials, not derived.
HEDGE_MULTIPLE = 2.0
#: Multiple of the tier's mean latency that must be left for the hedged request: one that can not be
#: answered in time only adds to the queue. Set in the same trials, not derived.
HEDGE_TIME_LEFT = 1.5


@dataclass
class Hedging:
    """The attempts to look at again, by the token of their timer.

    Hedging saves idempotent requests from a hung endpoint or a lost answer, for which they would wait until
    no time is left. It acts at the last tier alone: at a higher tier it repeats the work of all tiers
    below. It can do harm where all endpoints are slow, so it has a retry budget of its own, and stops where
    the latency is a large part of the time left.

    Attributes:
        statistics: The latencies measured.
        settings: The settings in force.
        pending: The request and the attempt of each timer that is set, by its token.
    """

    statistics: LatencyStatistics
    settings: Settings
    pending: dict[int, tuple[RequestState, AttemptState]] = field(default_factory=dict)
    _last_token: int = POLL_TOKEN  # the tokens given here are above it

    def schedule(self, now: float, request: RequestState, attempt: AttemptState) -> list[Action]:
        """Set a timer for a request's only open attempt, if hedging it is allowed and in time."""
        request_class, latency = request.request_class, self.statistics.tier_latency
        if self.settings.tier < self.settings.tier_count - 1 or not request.limits.hedging or latency <= 0.0:
            return []
        delay = max(latency + HEDGE_DEVIATIONS * self.statistics.tier_deviation, HEDGE_MULTIPLE * latency)
        in_time = now + delay + HEDGE_TIME_LEFT * latency <= request.useful_until
        if request_class.idempotency is not Idempotency.IDEMPOTENT or request_class.streaming or not in_time:
            return []
        self._last_token += 1
        self.pending[self._last_token] = request, attempt
        return [SetTimer(now + delay, self._last_token)]

    def request_to_hedge(self, token: int) -> RequestState | None:
        """Return the request to hedge as its timer fires; None where it needs none, or may have none.

        The rules are asked again here, as a reload may have changed them since the timer was set.
        """
        request, attempt = self.pending.pop(token, (None, None))
        if request is None or attempt is None or not attempt.is_open or not request.limits.hedging:
            return None
        return request if request.request_class.idempotency is Idempotency.IDEMPOTENT else None
