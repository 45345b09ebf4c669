"""Discovery polling: when to poll discovery for the endpoint list, which `endpoint_list` then applies.

The bounds follow from one rule: a change counts as known 6 s after discovery had it and could be reached
(PROTOCOL, STANDING). A poll that stays silent is given up after 2.5 s (`proxy.discovery`), so the longest
delay and one such poll leave time for a second one.
"""

from dataclasses import dataclass
from random import Random

from balancer.events import Action, PollEndpoints, SetTimer
from balancer.settings import DiscoveryMode, Settings

#: Seconds to the next poll at most, 3 with the jitter, so that two polls fit into the 6 s of the rule. The
#: settings may state a longer interval, which the rule goes before (docs/postmortems.md, "The first poll,
#: or the next one after a failure, came after the change counted").
MAX_POLL_DELAY = 2.0
#: Part of the poll interval over which the first polls are spread, as all instances start together. Chosen.
MAX_START_FRACTION = 0.4
INITIAL_BACKOFF = 1.0  # seconds of delay after the first failed poll, before jitter. Chosen.
BACKOFF_FACTOR = 2.0  # by which the delay grows with each further failed poll: the usual exponential backoff
#: The delay is multiplied by a random factor from 0.5 to 1.5, as all instances lose discovery at the same
#: moment.
MIN_JITTER = 0.5
POLL_TOKEN = 1  # the token of the poll timer; those of `hedging` are above it


@dataclass
class DiscoveryPolling:
    """One timer that requests a poll, with exponential backoff and jitter after failed polls.

    Attributes:
        rng: The balancer's source of randomness.
        settings: The settings in force.
        backoff: Seconds to the next poll after a failed one, before jitter.
    """

    rng: Random
    settings: Settings
    backoff: float = INITIAL_BACKOFF
    _is_scheduled: bool = False

    def start(self, now: float) -> list[Action]:
        """Schedule the first poll; no actions where discovery pushes the list."""
        if self.settings.discovery is not DiscoveryMode.POLLED:
            return []
        spread = min(MAX_START_FRACTION * self.settings.rules.poll_interval, MAX_POLL_DELAY)
        return self._schedule(now, spread * self.rng.random())

    def on_failure(self, now: float) -> list[Action]:
        """Schedule a poll after one that failed, or after a watch that ended."""
        delay = self.backoff * (MIN_JITTER + self.rng.random())
        longest = max(INITIAL_BACKOFF, self.settings.rules.poll_interval)
        self.backoff = min(BACKOFF_FACTOR * self.backoff, longest, MAX_POLL_DELAY)
        return self._schedule(now, delay)

    def reset_backoff(self) -> None:
        """Note that discovery has answered: the next failed poll is followed by another one soon."""
        self.backoff = INITIAL_BACKOFF

    def on_timer(self) -> list[Action]:
        """Request the poll that is due; no actions if none is scheduled any more."""
        if not self._is_scheduled:
            return []
        self._is_scheduled = False
        return [PollEndpoints()]

    def _schedule(self, now: float, delay: float) -> list[Action]:
        """Set the timer, unless a poll is scheduled already."""
        if self._is_scheduled:
            return []
        self._is_scheduled = True
        return [SetTimer(now + delay, POLL_TOKEN)]
