"""Latency statistics over all endpoints: of all attempts, of each class, and for each unit of cost.

They make no decisions. All baselines fall fast and rise slowly, with `circuit_breaker.FALL_SAMPLES` and
`RISE_SAMPLES`, as the baseline of a single endpoint does.
"""

from balancer.circuit_breaker import FALL_SAMPLES, RISE_SAMPLES

#: Samples that a mean latency covers: enough for a stable mean where work varies, and few enough to follow a
#: slowdown within seconds.
MEAN_SAMPLES = 32
#: Responses that a baseline has to cover before it is used: the first requests may have waited in a queue.
MIN_SAMPLES = 16
#: Lower bound of a latency, as a fraction of the latency expected by cost: costs are estimates, and endpoints
#: differ in speed.
MIN_LATENCY_FRACTION = 0.6
#: Factor applied to the latency per cost after each request that is rejected because of it. A rejected
#: request brings no sample, so a value that is too high would otherwise reject requests permanently.
COST_BASELINE_DECAY = 0.94
#: Ratio of the mean deviation to the first latency before there is a second one, as for the round-trip time
#: of TCP (RFC 6298).
INITIAL_DEVIATION_RATIO = 0.5


class LatencyStatistics:
    """Mean latencies and their baselines, in seconds.

    Attributes:
        class_latency: The mean latency of recent responses of each class, by class index.
        class_samples: The number of responses that this mean covers, at most MEAN_SAMPLES, by class index.
        tier_latency: The mean latency of all successful attempts; 0 before the first.
        tier_deviation: The mean deviation from tier_latency.
        response_latency: The mean latency of recent responses of all classes.
        response_baseline: The baseline of response_latency.
        latency_per_cost: The baseline of the latency for each unit of cost.
        sample_count: The number of responses that the baselines cover.
    """

    def __init__(self) -> None:
        self.class_latency: list[float] = []
        self.class_samples: list[int] = []
        self._reset()

    def _reset(self) -> None:
        """Discard the statistics over all classes."""
        self.tier_latency = self.tier_deviation = 0.0
        self.response_latency = self.response_baseline = 0.0
        self.latency_per_cost = 0.0
        self.sample_count = 0

    def configure(self, previous_indices: list[int]) -> None:
        """Apply new settings; classes that both settings have retain their statistics.

        Args:
            previous_indices: The index of each new class in the previous settings, -1 for a class that they
                did not have.
        """
        self.class_latency = [self.class_latency[index] if index >= 0 else 0.0 for index in previous_indices]
        self.class_samples = [self.class_samples[index] if index >= 0 else 0 for index in previous_indices]
        if max(previous_indices) < 0:  # all classes are new: the latencies of the old ones do not apply
            self._reset()

    def record_attempt(self, latency: float) -> None:
        """Record a successful attempt; `latency` is in seconds."""
        if self.tier_latency > 0.0:
            self.tier_deviation += (abs(latency - self.tier_latency) - self.tier_deviation) / MEAN_SAMPLES
            self.tier_latency += (latency - self.tier_latency) / MEAN_SAMPLES
        else:
            self.tier_latency, self.tier_deviation = latency, latency * INITIAL_DEVIATION_RATIO

    def record_response(self, class_index: int, latency: float, cost: float) -> None:
        """Record the response to a request.

        Args:
            class_index: The class of the request in the settings in force.
            latency: The latency of its successful attempt, in seconds.
            cost: The work that the request was expected to need.
        """
        per_cost_difference = latency / cost - self.latency_per_cost
        per_cost_samples = FALL_SAMPLES if per_cost_difference < 0.0 else RISE_SAMPLES
        self.latency_per_cost += (
            per_cost_difference / per_cost_samples if self.sample_count else per_cost_difference
        )
        self.sample_count += 1
        self.class_samples[class_index] = samples_of_class = min(
            self.class_samples[class_index] + 1, MEAN_SAMPLES
        )
        self.class_latency[class_index] += (latency - self.class_latency[class_index]) / samples_of_class
        self.response_latency += (latency - self.response_latency) / min(self.sample_count, MEAN_SAMPLES)
        baseline_difference = self.response_latency - self.response_baseline
        baseline_samples = FALL_SAMPLES if baseline_difference < 0.0 else RISE_SAMPLES
        self.response_baseline += (
            baseline_difference / baseline_samples if self.sample_count > MIN_SAMPLES else baseline_difference
        )

    def min_latency(self, cost: float) -> float:
        """Return the seconds that work of this cost needs at least; 0 while there are too few samples."""
        return (
            MIN_LATENCY_FRACTION * self.latency_per_cost * cost if self.sample_count >= MIN_SAMPLES else 0.0
        )

    def record_rejection(self) -> None:
        """Lower the latency per cost after it has led to a rejection (see COST_BASELINE_DECAY)."""
        self.latency_per_cost *= COST_BASELINE_DECAY
