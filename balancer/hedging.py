"""Hedging: decides when a request gets a second attempt while one is open; `attempt_dispatch` starts it.

See docs/postmortems.md, "Views waited for responses that never came". The combination of hedging at every
tier, sooner where time was short, and from the budget of retries made fewer requests succeed in time.
"""

from dataclasses import dataclass, field

from balancer.attempts import RequestState
from balancer.discovery_polling import POLL_TOKEN
from balancer.endpoint_state import AttemptState
from balancer.events import Action, SetTimer
from balancer.latency_statistics import LatencyStatistics
from balancer.settings import Idempotency, Settings

#: Mean deviations above the tier's mean latency after which an attempt is hedged: by then the response is
#: most probably lost. After 3 deviations, hedged requests cost more than they saved, even where endpoints
#: hang.
HEDGE_DEVIATIONS = 5.0
#: Lower bound of the delay, as a multiple of the tier's mean latency. Where latencies hardly vary, the
#: deviations are too small to show that a response is lost.
HEDGE_LATENCY_MULTIPLE = 2.0
#: Time that has to be left for a hedged request, as a multiple of the tier's mean latency. A hedged request
#: without time for a response only adds load.
MIN_TIME_LEFT_MULTIPLE = 1.5


@dataclass
class Hedging:
    """Sets a timer for each attempt that may be hedged, and returns the request to hedge when it fires.

    Hedging saves idempotent requests from a hung endpoint or a lost response, for which they would wait until
    no time is left. It acts only at the last tier: at a higher tier it repeats the work of all tiers below.

    Limitation: where all endpoints are slow, hedged requests add load. Therefore a retry budget limits
    them, and none are sent where the mean latency is a large fraction of the time left.

    Attributes:
        statistics: The measured latencies.
        settings: The settings in force.
        pending: The request and the attempt of each timer that is set, by the timer's token.
    """

    statistics: LatencyStatistics
    settings: Settings
    pending: dict[int, tuple[RequestState, AttemptState]] = field(default_factory=dict)
    _last_token: int = POLL_TOKEN  # the tokens of hedging timers are above it

    def schedule(self, now: float, request: RequestState, attempt: AttemptState) -> list[Action]:
        """Return the action that sets a timer for a request's only open attempt; none if it is not hedged."""
        request_class, latency = request.request_class, self.statistics.tier_latency
        if self.settings.tier < self.settings.tier_count - 1 or not request.limits.hedging or latency <= 0.0:
            return []
        delay = max(
            latency + HEDGE_DEVIATIONS * self.statistics.tier_deviation, HEDGE_LATENCY_MULTIPLE * latency
        )
        in_time = now + delay + MIN_TIME_LEFT_MULTIPLE * latency <= request.useful_until
        if request_class.idempotency is not Idempotency.IDEMPOTENT or request_class.streaming or not in_time:
            return []
        self._last_token += 1
        self.pending[self._last_token] = request, attempt
        return [SetTimer(now + delay, self._last_token)]

    def request_to_hedge(self, token: int) -> RequestState | None:
        """Return the request to hedge when a timer fires; None if it needs no hedging or may not be hedged.

        The limits and the class are checked again, as a reload may have changed them since the timer was set.
        """
        request, attempt = self.pending.pop(token, (None, None))
        if request is None or attempt is None or not attempt.is_open or not request.limits.hedging:
            return None
        return request if request.request_class.idempotency is Idempotency.IDEMPOTENT else None
