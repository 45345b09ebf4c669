"""Retry budgets: limit how many retries are started; `attempt_dispatch` decides which ones, and where."""

from collections import deque
from copy import deepcopy
from dataclasses import dataclass, field

from balancer.settings import Rules

#: Retries in any window where the rules state no retry budget, so that a proxy with few requests can retry.
DEFAULT_FLOOR = 5.0
#: Further retries for each request in the window, so that a tier that fails under load gets at most a fifth
#: more load.
DEFAULT_RATIO = 0.2
DEFAULT_WINDOW = 10.0  # seconds; as for a circuit breaker, `circuit_breaker.ERROR_WINDOW`
#: Floor and ratio for hedged requests where the rules state no retry budget. Hedged requests that shared the
#: budget of retries used it up, so that failed requests were not retried.
HEDGE_FLOOR, HEDGE_RATIO = 1.0, 0.05
#: Seconds by which the window is extended for retries and shortened for requests. The budget is verified with
#: times that are rounded to microseconds, so events on the edge of a window have to count against the budget.
CLOCK_TOLERANCE = 1e-5


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Limits retries in proportion to requests in a sliding window, so that they do not worsen an overload.

    Limitation: where many first attempts fail for other reasons than load, requests fail that further retries
    would have saved.

    Floor, ratio and window may be changed at any time; retries that were started before still count.

    Attributes:
        floor: Retries that are allowed in any window.
        ratio: Further retries for each request in the window.
        window: The length of the window in seconds.
        request_times: When the requests in the window arrived, in seconds.
        retry_times: When the retries in the window were started, in seconds.
        latest_expired_retry: When the latest retry that has left the window was started, in seconds.
    """

    floor: float = DEFAULT_FLOOR
    ratio: float = DEFAULT_RATIO
    window: float = DEFAULT_WINDOW
    request_times: deque[float] = field(default_factory=deque)
    retry_times: deque[float] = field(default_factory=deque)
    latest_expired_retry: float = float("-inf")

    def merge(self, other: "RetryBudget") -> None:
        """Count the retries of another budget as well, which counted the same requests."""
        self.retry_times = deque(sorted((*self.retry_times, *other.retry_times)))
        self.latest_expired_retry = max(self.latest_expired_retry, other.latest_expired_retry)

    def record_request(self, now: float) -> None:
        """Count a request, also if it is rejected."""
        self.request_times.append(now)
        self._expire(now)

    def allows(self, now: float) -> bool:
        """Whether one more retry may be started now."""
        self._expire(now)
        # After a reload to a longer window, some retries in it have been dropped already. Allow none until
        # the latest of those has left the longer window as well.
        if self.latest_expired_retry >= now - self.window - CLOCK_TOLERANCE:
            return False
        return len(self.retry_times) + 1.0 <= self.floor + self.ratio * len(self.request_times)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self.retry_times.append(now)

    def _expire(self, now: float) -> None:
        """Drop the requests and retries that have left the window."""
        while self.request_times and self.request_times[0] <= now - self.window + CLOCK_TOLERANCE:
            self.request_times.popleft()
        while self.retry_times and self.retry_times[0] < now - self.window - CLOCK_TOLERANCE:
            self.latest_expired_retry = self.retry_times.popleft()


class RetryBudgets:
    """The budget of retries and that of hedged requests.

    Attributes:
        retries: The budget of retries.
        hedges: The budget of hedged requests; the same object as `retries` where the rules state a budget,
            which counts hedged requests as retries.
    """

    def __init__(self) -> None:
        self.retries = self.hedges = RetryBudget()

    def configure(self, rules: Rules) -> None:
        """Apply new rules; retries that were started before still count."""
        retries, hedges = self.retries, self.hedges
        if rules.retry_budget_window > 0.0:
            retries.floor, retries.ratio = rules.retry_budget_floor, rules.retry_budget_ratio
            retries.window = rules.retry_budget_window
            if hedges is not retries:
                retries.merge(hedges)
            self.hedges = retries
            return
        retries.floor, retries.ratio, retries.window = DEFAULT_FLOOR, DEFAULT_RATIO, DEFAULT_WINDOW
        self.hedges = hedges = deepcopy(retries) if hedges is retries else hedges
        hedges.floor, hedges.ratio, hedges.window = HEDGE_FLOOR, HEDGE_RATIO, DEFAULT_WINDOW

    def budget_for_next_attempt(self, open_attempts: int) -> RetryBudget:
        """Return the budget of another attempt, which is a hedged request while others are open."""
        return self.hedges if open_attempts else self.retries

    def record_request(self, now: float) -> None:
        """Count a request, also if it is rejected."""
        self.retries.record_request(now)
        if self.hedges is not self.retries:
            self.hedges.record_request(now)
