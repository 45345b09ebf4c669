"""Retry budgets: how many retries may be started; `attempt_dispatch` decides which ones, and where."""

from collections import deque
from copy import deepcopy
from dataclasses import dataclass, field

from balancer.settings import Rules

#: Retries in any window, where the rules state no retry budget: a proxy with few calls can retry a few.
#: Chosen: it came with the program, and no derivation is known.
DEFAULT_FLOOR = 5.0
#: Retries for each request in the window: a tier that fails under load gets a fifth more of it at most.
#: Chosen.
DEFAULT_RATIO = 0.2
DEFAULT_WINDOW = 10.0  # seconds; as long as a breaker looks back (`circuit_breaker.ERROR_WINDOW`). Chosen.
#: The same of hedged requests: one request in twenty. Their own budget keeps them from using up that of
#: failed requests, which was one of three causes of a loss on simulated days (docs/postmortems.md, "Views
#: waited for responses").
HEDGE_FLOOR, HEDGE_RATIO = 1.0, 0.05
#: Seconds by which the window counts as longer for retries and as shorter for requests. The rule is checked
#: with clocks that are rounded to microseconds (WIRE): what lies on the edge of a window has to count
#: against the budget.
CLOCK_TOLERANCE = 1e-5


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Retries against requests, in any window: they must not feed an overload, nor break a stated rule.

    It can do harm where many first attempts fail for other causes than load: a retry would have saved them.

    Attributes:
        floor: Retries that are allowed in any window.
        ratio: Further retries for each request in the window.
        window: Seconds. All three may be changed; what was spent still counts.
        request_times: When the requests in the window came, in seconds.
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
        """Count what another budget has spent on the same requests."""
        self.retry_times = deque(sorted((*self.retry_times, *other.retry_times)))
        self.latest_expired_retry = max(self.latest_expired_retry, other.latest_expired_retry)

    def record_request(self, now: float) -> None:
        """Count a request; rejected ones count too."""
        self.request_times.append(now)
        self._expire(now)

    def allows(self, now: float) -> bool:
        """Whether one more retry may be started now."""
        self._expire(now)
        # After the window has grown, the retries of its older part are no longer counted: allow none until
        # they have left the longer window as well.
        if self.latest_expired_retry >= now - self.window - CLOCK_TOLERANCE:
            return False
        return len(self.retry_times) + 1.0 <= self.floor + self.ratio * len(self.request_times)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self.retry_times.append(now)

    def _expire(self, now: float) -> None:
        """Drop what has left the window."""
        while self.request_times and self.request_times[0] <= now - self.window + CLOCK_TOLERANCE:
            self.request_times.popleft()
        while self.retry_times and self.retry_times[0] < now - self.window - CLOCK_TOLERANCE:
            self.latest_expired_retry = self.retry_times.popleft()


class RetryBudgets:
    """The budget of retries and that of hedged requests.

    Attributes:
        retries: The budget of retries.
        hedges: The budget of hedged requests; the same object as `retries` where the rules state a budget,
            as the rule counts hedged requests as retries.
    """

    def __init__(self) -> None:
        self.retries = self.hedges = RetryBudget()

    def configure(self, rules: Rules) -> None:
        """Apply new rules; what was spent still counts."""
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
        """Return the budget of another attempt: while others are open, it is a hedged request."""
        return self.hedges if open_attempts else self.retries

    def record_request(self, now: float) -> None:
        """Count a request; rejected ones count too."""
        self.retries.record_request(now)
        if self.hedges is not self.retries:
            self.hedges.record_request(now)
