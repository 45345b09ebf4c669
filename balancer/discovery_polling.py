"""Discovery polling: when to poll discovery for the endpoint list, which `endpoint_list` then applies.

The bounds follow from one rule: a proxy must apply a change of the list within 6 s of the time when discovery
has it and is reachable. The delay before a poll is a part of these 6 s, and a crowded discovery may take most
of them to respond. After its first poll, a proxy watches discovery without polling (see `proxy.discovery`).
"""

from dataclasses import dataclass
from random import Random

from balancer.events import Action, PollEndpoints, SetTimer
from balancer.settings import DiscoveryMode, Settings

#: Longest delay in seconds before the next poll, without jitter. With jitter it is at most 2.55 s, so that a
#: response which takes 3.4 s is still in time. It also limits a longer `poll_interval` in the settings (see
#: docs/postmortems.md, "The first poll, or the next one after a failure, came after the change counted").
MAX_POLL_DELAY = 1.7
#: Fraction of the poll interval over which the first polls are spread at random, because all instances may
#: start at the same time.
FIRST_POLL_SPREAD_FRACTION = 0.4
#: Longest delay in seconds before the first poll. A first poll that gets no response, and a second one with a
#: response after 3 s, must still fit into the 6 s of the rule.
MAX_FIRST_POLL_DELAY = 0.25
INITIAL_BACKOFF = 1.0  # seconds of delay after the first failed poll, before jitter
BACKOFF_FACTOR = 2.0  # factor by which the delay grows with each further failed poll (exponential backoff)
#: Smallest random factor of the delay; the largest is 1 more, so it is from 0.5 to 1.5. Without jitter, all
#: instances that lose discovery at the same time would poll it at the same time.
MIN_JITTER_FACTOR = 0.5
POLL_TOKEN = 1  # the token of the poll timer; the tokens of `hedging` are larger


@dataclass
class DiscoveryPolling:
    """The timer of the next poll, with exponential backoff and jitter after failed polls.

    Attributes:
        rng: The balancer's source of randomness.
        settings: The settings in force.
        backoff: The delay in seconds that follows the next failed poll, before jitter.
    """

    rng: Random
    settings: Settings
    backoff: float = INITIAL_BACKOFF
    _is_scheduled: bool = False

    def start(self, now: float) -> list[Action]:
        """Schedule the first poll; no actions if discovery pushes the list."""
        if self.settings.discovery is not DiscoveryMode.POLLED:
            return []
        spread = min(FIRST_POLL_SPREAD_FRACTION * self.settings.rules.poll_interval, MAX_FIRST_POLL_DELAY)
        return self._schedule(now, spread * self.rng.random())

    def on_failure(self, now: float) -> list[Action]:
        """Schedule the next poll after a failed poll or a watch that ended."""
        delay = self.backoff * (MIN_JITTER_FACTOR + self.rng.random())
        max_backoff = max(INITIAL_BACKOFF, self.settings.rules.poll_interval)
        self.backoff = min(BACKOFF_FACTOR * self.backoff, max_backoff, MAX_POLL_DELAY)
        return self._schedule(now, delay)

    def reset_backoff(self) -> None:
        """Reset the backoff after discovery has responded, so that a failed poll is soon repeated."""
        self.backoff = INITIAL_BACKOFF

    def on_timer(self) -> list[Action]:
        """Request the poll that is due; no actions if no poll is scheduled."""
        if not self._is_scheduled:
            return []
        self._is_scheduled = False
        return [PollEndpoints()]

    def _schedule(self, now: float, delay: float) -> list[Action]:
        """Set the timer, unless a poll is already scheduled."""
        if self._is_scheduled:
            return []
        self._is_scheduled = True
        return [SetTimer(now + delay, POLL_TOKEN)]
