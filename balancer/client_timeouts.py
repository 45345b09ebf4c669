"""Client timeouts: estimates until when the response to a request is useful to its client.

`attempt_dispatch` sets the timeouts of attempts from that time; no attempt is ended here.
"""

from math import log

from balancer.settings import Settings

#: Fraction of the latency objective after which attempts time out. The remaining time is for the response to
#: reach the client, as a response after the objective earns little.
ATTEMPT_TIME_FRACTION = 0.98
#: Classes whose late responses keep more than this fraction of their weight are served until the client's
#: deadline instead of the latency objective.
MAX_LATE_WEIGHT = 0.5
#: Timeouts are counted in buckets on a logarithmic scale, this many for each factor of e, so a bucket is 2%
#: wide. Equal timeouts have to fall into one bucket although requests take different times to arrive.
BUCKETS_PER_E_FOLD = 50.0
#: Buckets that are counted for each class. Beyond that all counts are halved, and buckets with a count of 1
#: are dropped, so that clients that send a different timeout with each request do not use up the memory.
MAX_BUCKETS = 256
#: Requests with the commonest timeout that are needed before a different timeout indicates a retry.
MIN_USUAL_COUNT = 4
#: Seconds; shorter timeouts, also those that are over already, count as this, as 0 has no logarithm.
MIN_TIMEOUT = 1e-6
#: Buckets by which equal timeouts may differ, as they can lie on both sides of a bucket's boundary.
SAME_TIMEOUT_BUCKETS = 1


class ClientTimeouts:
    """Counts the timeouts of each class's requests, and knows the commonest of them.

    Attributes:
        bucket_counts: The number of requests in each bucket of timeouts, by class index.
        usual_buckets: The bucket with most requests, by class index.
    """

    def __init__(self) -> None:
        self.bucket_counts: list[dict[int, int]] = []
        self.usual_buckets: list[int] = []

    def configure(self, settings: Settings, previous_indices: list[int]) -> None:
        """Apply new settings; classes that both settings have retain their counts.

        Args:
            settings: The new settings.
            previous_indices: The index of each of their classes in the previous settings, -1 for a new class.
        """
        self.bucket_counts = [self.bucket_counts[index] if index >= 0 else {} for index in previous_indices]
        self.usual_buckets = [self.usual_buckets[index] if index >= 0 else 0 for index in previous_indices]
        self._settings = settings

    def useful_until(self, now: float, class_index: int, deadline: float, *, is_retry: bool) -> float:
        """Return until when a response to a new request is useful, in seconds on the caller's clock.

        For a class whose late responses lose half of their weight or more, that is its latency objective:
        endpoints that work on responses of little use delay those that are still in time. It is the deadline
        for all other classes, and at lower tiers whose callers propagate their deadline.

        Args:
            now: The time in seconds.
            class_index: The class of the request.
            deadline: When its client gives up, in seconds.
            is_retry: Whether the client has marked it as a retry.
        """
        request_class = self._settings.classes[class_index]
        if request_class.late_weight > MAX_LATE_WEIGHT or request_class.streaming:
            return deadline
        first_attempt_at = now
        if self._settings.tier == 0:
            may_be_retry = is_retry or not self._settings.clients_mark_retries
            if self._is_unusual(class_index, deadline - now) and may_be_retry:
                first_attempt_at = min(now, deadline - request_class.deadline)
        elif self._settings.propagates_deadline:
            return deadline
        return min(deadline, first_attempt_at + ATTEMPT_TIME_FRACTION * request_class.latency_objective)

    def _is_unusual(self, class_index: int, timeout: float) -> bool:
        """Count a timeout and return whether it differs from the usual one of its class.

        The latency objective counts from a client's first attempt. The first attempts of all clients of a
        class have the same timeout, which is therefore the commonest. A different timeout indicates a
        client's last attempt: it ends at the deadline of the class, so the first attempt was earlier. Where
        clients mark retries, an unmarked request is always a first attempt.

        Args:
            class_index: The class.
            timeout: How long the client waits from now on, in seconds.
        """
        counts = self.bucket_counts[class_index]
        bucket = round(BUCKETS_PER_E_FOLD * log(max(timeout, MIN_TIMEOUT)))
        counts[bucket] = counts.get(bucket, 0) + 1
        if len(counts) > MAX_BUCKETS:
            self.bucket_counts[class_index] = counts = {
                each: count // 2 for each, count in counts.items() if count > 1
            }
        if counts[bucket] > counts.get(self.usual_buckets[class_index], 0):
            self.usual_buckets[class_index] = bucket
        usual_bucket = self.usual_buckets[class_index]
        is_different = abs(bucket - usual_bucket) > SAME_TIMEOUT_BUCKETS
        return is_different and counts[usual_bucket] >= MIN_USUAL_COUNT
