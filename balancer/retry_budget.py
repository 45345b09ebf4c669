"""Retry budgets: how many retries may be started; which, and where they may go, is decided in `balancer`."""

from collections import deque
from copy import deepcopy
from dataclasses import dataclass, field

from balancer.settings import Rules

DEFAULT_FLOOR = 5.0  # retries in any window, where the rules state no retry budget
DEFAULT_RATIO = 0.2  # retries for each request in the window: more would feed an overload
DEFAULT_WINDOW = 10.0  # seconds
HEDGE_FLOOR, HEDGE_RATIO = 1.0, 0.05  # the same of hedged requests
CLOCK_TOLERANCE = 1e-5  # seconds by which a window is read to the budget's disadvantage: clocks are rounded


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Retries against requests, in any window: they must not feed an overload, nor break a stated rule.

    It can do harm where many first attempts fail for other causes than load: a retry would have saved them.
    """

    floor: float = DEFAULT_FLOOR
    ratio: float = DEFAULT_RATIO
    window: float = DEFAULT_WINDOW  # all three may be changed; what was spent still counts
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)
    _latest_forgotten: float = float("-inf")  # when the latest retry that has left the window was started

    def merge(self, other: "RetryBudget") -> None:
        """Count what another budget has spent on the same requests."""
        self._retries = deque(sorted((*self._retries, *other._retries)))
        self._latest_forgotten = max(self._latest_forgotten, other._latest_forgotten)

    def record_request(self, now: float) -> None:
        """Count a request, rejected ones too."""
        self._requests.append(now)
        self._expire(now)

    def allows(self, now: float) -> bool:
        """Whether one more retry may be started now."""
        self._expire(now)
        # After the window has grown, nobody knows how many retries of its older part were forgotten.
        if self._latest_forgotten >= now - self.window - CLOCK_TOLERANCE:
            return False
        return len(self._retries) + 1.0 <= self.floor + self.ratio * len(self._requests)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._retries.append(now)

    def _expire(self, now: float) -> None:
        while self._requests and self._requests[0] <= now - self.window + CLOCK_TOLERANCE:
            self._requests.popleft()
        while self._retries and self._retries[0] < now - self.window - CLOCK_TOLERANCE:
            self._latest_forgotten = self._retries.popleft()


class RetryBudgets:
    """The budget of retries and that of hedged requests; one and the same where the rules state a budget."""

    def __init__(self) -> None:
        self.retries = self.hedges = RetryBudget()

    def configure(self, rules: Rules) -> None:
        """Take over the rules; what was spent still counts."""
        retries, hedges = self.retries, self.hedges
        if rules.retry_budget_window > 0.0:
            retries.floor, retries.ratio = rules.retry_budget_floor, rules.retry_budget_ratio
            retries.window = rules.retry_budget_window
            if hedges is not retries:
                retries.merge(hedges)
            self.hedges = retries  # the rule counts hedged requests too
            return
        retries.floor, retries.ratio, retries.window = DEFAULT_FLOOR, DEFAULT_RATIO, DEFAULT_WINDOW
        # Hedged requests must not use up the budget by which failed requests are retried.
        self.hedges = hedges = deepcopy(retries) if hedges is retries else hedges
        hedges.floor, hedges.ratio, hedges.window = HEDGE_FLOOR, HEDGE_RATIO, DEFAULT_WINDOW

    def next_attempt(self, open_attempts: int) -> RetryBudget:
        """Return what a further attempt counts against: with others open it is a hedged request."""
        return self.hedges if open_attempts else self.retries

    def record_request(self, now: float) -> None:
        """Count a request, rejected ones too."""
        self.retries.record_request(now)
        if self.hedges is not self.retries:
            self.hedges.record_request(now)
