"""Discovery polling: when the endpoint list is asked for; what it says is taken in by `endpoint_list`."""

from dataclasses import dataclass
from random import Random

from balancer.events import Action, PollEndpoints, SetTimer
from balancer.settings import DiscoveryMode, Settings

MAX_POLL_DELAY = 2.0  # seconds, half as much again with jitter, to the next poll: a change counts after 6 s
MAX_START_FRACTION = 0.4  # of the poll interval, over which the first polls are spread
INITIAL_BACKOFF = 1.0  # seconds
POLL_TOKEN = 1  # of the timer


@dataclass
class DiscoveryPolling:
    """One timer that asks for a poll, with an exponential backoff and jitter after failed ones."""

    rng: Random
    settings: Settings
    backoff: float = INITIAL_BACKOFF  # seconds; 1 after each poll that did not fail
    _is_scheduled: bool = False

    def start(self, now: float) -> list[Action]:
        """Schedule the first poll, spread over what the rules allow: all instances start together."""
        if self.settings.discovery is not DiscoveryMode.POLLED:
            return []
        spread = min(MAX_START_FRACTION * self.settings.rules.poll_interval, MAX_POLL_DELAY)
        return self._schedule(now, spread * self.rng.random())

    def on_failure(self, now: float) -> list[Action]:
        """Schedule a poll after one that failed, as all instances do that lost discovery at the same time."""
        delay = self.backoff * (0.5 + self.rng.random())
        self.backoff = min(2.0 * self.backoff, max(1.0, self.settings.rules.poll_interval), MAX_POLL_DELAY)
        return self._schedule(now, delay)

    def reset_backoff(self) -> None:
        """Retry soon again, as after a poll that did not fail."""
        self.backoff = INITIAL_BACKOFF

    def on_timer(self) -> list[Action]:
        """Ask for a poll, unless none is scheduled any more."""
        if not self._is_scheduled:
            return []
        self._is_scheduled = False
        return [PollEndpoints()]

    def _schedule(self, now: float, delay: float) -> list[Action]:
        if self._is_scheduled:
            return []
        self._is_scheduled = True
        return [SetTimer(now + delay, POLL_TOKEN)]
