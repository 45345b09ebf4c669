"""Client timeouts: how long clients wait, and so until when an answer is useful; no attempt is ended here."""

from math import log

from balancer.settings import Settings

#: Part of the latency objective in which attempts have to end: an answer after the objective earns little,
#: and it still has to reach the client. "Chosen", here and below: the value came with the program as the
#: operator handed it over; it is not derived from a rule, and no trial of other values is known.
OBJECTIVE_PART = 0.98
#: Attempts of a class whose late answers keep more than this part of their weight are not ended at its
#: latency objective, but at the client's deadline. Chosen.
MAX_LATE_WEIGHT = 0.5
#: Timeouts are counted in buckets on a logarithmic scale, this many for each factor of e: they are 2% wide.
#: Equal timeouts differ by the time that requests take to arrive, which has to be less than that. Chosen.
BUCKETS_PER_E_FOLD = 50.0
#: Buckets counted for one class; the rarer ones are forgotten first, so that clients that never ask for the
#: same timeout do not fill the memory. Chosen.
MAX_BUCKETS = 256
#: Requests with the usual timeout before a different one indicates a retry: less is no usual timeout. Chosen.
MIN_USUAL_COUNT = 4
#: Seconds: shorter timeouts, also those that are already over, are counted as this, as 0 has no logarithm.
MIN_TIMEOUT = 1e-6
#: Buckets by which equal timeouts may differ, as they can lie on both sides of a boundary.
SAME_TIMEOUT_BUCKETS = 1


class ClientTimeouts:
    """The timeouts of each class's requests, and the commonest of them.

    Attributes:
        bucket_counts: By class index, the requests counted by the bucket of their timeout.
        usual_buckets: By class index, the bucket that holds most requests.
    """

    def __init__(self) -> None:
        self.bucket_counts: list[dict[int, int]] = []
        self.usual_buckets: list[int] = []

    def configure(self, settings: Settings, previous: list[int]) -> None:
        """Apply new settings, and keep what was learned of the classes that stay.

        Args:
            settings: The new settings.
            previous: The index of each of their classes in the previous settings, -1 for a new class.
        """
        self.bucket_counts = [self.bucket_counts[n] if n >= 0 else {} for n in previous]
        self.usual_buckets = [self.usual_buckets[n] if n >= 0 else 0 for n in previous]
        self._settings = settings

    def useful_until(self, now: float, class_index: int, deadline: float, *, is_retry: bool) -> float:
        """Return until when an answer to a new request is useful, in seconds on the caller's clock.

        Classes whose late answers lose half of their weight or more are not waited for beyond their latency
        objective: endpoints that are busy with answers of little use delay the timely ones.

        Args:
            now: The time in seconds.
            class_index: The class of the request.
            deadline: When its client gives up.
            is_retry: Whether the client has marked it as a retry.
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

        The objective counts from a client's first attempt. First attempts of a class's clients have one
        timeout, which is the commonest. Another timeout is that of a client's last attempt, which ends when
        the class's deadline is over: the client began that much earlier. Where clients mark retries, an
        unmarked request is always a first attempt.

        Args:
            class_index: The class.
            timeout: How long the client waits from now on, in seconds.
        """
        counts, bucket = (
            self.bucket_counts[class_index],
            round(BUCKETS_PER_E_FOLD * log(max(timeout, MIN_TIMEOUT))),
        )
        counts[bucket] = counts.get(bucket, 0) + 1
        if len(counts) > MAX_BUCKETS:
            self.bucket_counts[class_index] = counts = {
                b: count // 2 for b, count in counts.items() if count > 1
            }
        if counts[bucket] > counts.get(self.usual_buckets[class_index], 0):
            self.usual_buckets[class_index] = bucket
        usual = self.usual_buckets[class_index]
        return abs(bucket - usual) > SAME_TIMEOUT_BUCKETS and counts[usual] >= MIN_USUAL_COUNT
