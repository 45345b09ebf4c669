"""Client timeouts: how long clients wait, and so until when an answer is of use; no attempt is ended here."""

from math import log

from balancer.settings import Settings

OBJECTIVE_PART = 0.98  # of the latency objective in which attempts end: the answer has to reach the client
MAX_LATE_WEIGHT = 0.5  # classes whose late answers keep more of their weight are waited for
BUCKETS_PER_E_FOLD = 50.0  # timeouts are counted in buckets of 2%
MAX_BUCKETS = 256  # buckets of one class; the rarer ones are forgotten first
MIN_USUAL_COUNT = 4  # requests with the usual timeout before another one says anything


class ClientTimeouts:
    """The timeouts of each class's requests, and the commonest of them."""

    def __init__(self) -> None:
        self.counts: list[dict[int, int]] = []  # by class: requests by bucket of their timeout
        self.usual: list[int] = []  # by class: the bucket that holds most requests

    def configure(self, settings: Settings, previous: list[int]) -> None:
        """Keep what was learned of each class by its index in the settings before, -1 for a new class."""
        self.counts = [self.counts[n] if n >= 0 else {} for n in previous]
        self.usual = [self.usual[n] if n >= 0 else 0 for n in previous]
        self._settings = settings

    def useful_until(self, now: float, class_index: int, deadline: float, *, is_retry: bool) -> float:
        """Return until when an answer to a new request is of use.

        Classes whose late answers lose half of their weight or more are not waited for beyond their latency
        objective: endpoints full of work for answers of little use keep timely ones waiting.
        """
        request_class = self._settings.classes[class_index]
        if request_class.late_weight > MAX_LATE_WEIGHT or request_class.streaming:
            return deadline
        began = now
        if self._settings.tier == 0:
            may_be_retry = is_retry or not self._settings.clients_mark_retries
            if self._is_unusual(class_index, deadline - now) and may_be_retry:
                began = min(now, deadline - request_class.deadline)
        elif self._settings.propagates_deadline:
            return deadline
        return min(deadline, began + OBJECTIVE_PART * request_class.latency_objective)

    def _is_unusual(self, class_index: int, timeout: float) -> bool:
        """Count a timeout and return whether it differs from the usual one of its class.

        The first attempts of a class's clients last alike and are the commonest; another length is a client's
        last, begun a class deadline before its end. An unmarked one is the first where clients mark retries.
        """
        counts, bucket = self.counts[class_index], round(BUCKETS_PER_E_FOLD * log(max(timeout, 1e-6)))
        counts[bucket] = counts.get(bucket, 0) + 1
        if len(counts) > MAX_BUCKETS:  # callers that never ask for the same time must not fill the memory
            self.counts[class_index] = counts = {b: count // 2 for b, count in counts.items() if count > 1}
        if counts[bucket] > counts.get(self.usual[class_index], 0):
            self.usual[class_index] = bucket
        usual = self.usual[class_index]
        return abs(bucket - usual) > 1 and counts[usual] >= MIN_USUAL_COUNT
