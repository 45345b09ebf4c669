"""Latency statistics: over all endpoints, of each class, and for each unit of cost; they decide nothing.

All baselines fall fast and rise slowly (`circuit_breaker.FALL_SAMPLES`, `RISE_SAMPLES`), as DESIGN has it
for one endpoint. "Chosen" means that no rule and no trial of another value is known.
"""

from balancer.circuit_breaker import FALL_SAMPLES, RISE_SAMPLES

#: Samples that a mean latency covers: enough to be a mean where work varies, few enough to follow a
#: slowdown within seconds. Chosen with the first use of means (commits 9d14eff, f0137cc).
MEAN_SPAN = 32
#: Answers before a baseline rejects anything, as the first ones may have stood in a queue: a baseline needs
#: the "fair first sample" that DESIGN names. Chosen.
MIN_SAMPLES = 16
#: Part of the baseline by cost that work needs at least: costs are estimates, and endpoints differ in
#: speed. Chosen.
MIN_COST_PART = 0.6
#: What a rejection leaves of the baseline by cost. A rejected request brings no sample, so without this an
#: unfair baseline would reject for ever. Chosen.
COST_BASELINE_DECAY = 0.94
#: Part of the first latency that the mean deviation starts from, before there is a second one to compare.
#: Chosen, and the same as for the round-trip time of TCP (RFC 6298).
FIRST_DEVIATION = 0.5


class LatencyStatistics:
    """Mean latencies and their baselines, in seconds.

    Attributes:
        class_latency: By class index, the mean latency of the recent answers to the class.
        class_samples: By class index, how many answers that mean covers, MEAN_SPAN at most.
        tier_latency: The mean latency of all successful attempts; 0 before the first.
        tier_deviation: The mean deviation from it.
        response_latency: The mean latency of the recent answers of all classes.
        response_baseline: The baseline of that mean.
        latency_per_cost: The baseline of the latency for each unit of cost.
        sample_count: How many answers the baselines cover.
    """

    def __init__(self) -> None:
        self.class_latency: list[float] = []
        self.class_samples: list[int] = []
        self._reset()

    def _reset(self) -> None:
        """Forget what was learned of all classes together."""
        self.tier_latency = self.tier_deviation = 0.0
        self.response_latency = self.response_baseline = 0.0
        self.latency_per_cost = 0.0
        self.sample_count = 0

    def configure(self, previous: list[int]) -> None:
        """Keep what was learned of the classes that stay.

        Args:
            previous: The index of each new class in the previous settings, -1 for a class that they did not
                have.
        """
        self.class_latency = [self.class_latency[n] if n >= 0 else 0.0 for n in previous]
        self.class_samples = [self.class_samples[n] if n >= 0 else 0 for n in previous]
        if max(previous) < 0:  # other classes are other work: the common latencies do not apply to it
            self._reset()

    def record_attempt(self, latency: float) -> None:
        """Learn from a successful attempt; `latency` is in seconds."""
        if self.tier_latency > 0.0:
            self.tier_deviation += (abs(latency - self.tier_latency) - self.tier_deviation) / MEAN_SPAN
            self.tier_latency += (latency - self.tier_latency) / MEAN_SPAN
        else:
            self.tier_latency, self.tier_deviation = latency, latency * FIRST_DEVIATION

    def record_response(self, class_index: int, latency: float, cost: float) -> None:
        """Learn from the answer to a request.

        Args:
            class_index: The class of the request, which is one of the settings in force.
            latency: The latency of its successful attempt, in seconds.
            cost: The work that the request was expected to need.
        """
        gap = latency / cost - self.latency_per_cost
        self.latency_per_cost += (
            gap / (FALL_SAMPLES if gap < 0.0 else RISE_SAMPLES) if self.sample_count else gap
        )
        self.sample_count += 1
        self.class_samples[class_index] = seen = min(self.class_samples[class_index] + 1, MEAN_SPAN)
        self.class_latency[class_index] += (latency - self.class_latency[class_index]) / seen
        self.response_latency += (latency - self.response_latency) / min(self.sample_count, MEAN_SPAN)
        gap = self.response_latency - self.response_baseline
        samples = FALL_SAMPLES if gap < 0.0 else RISE_SAMPLES
        self.response_baseline += gap / samples if self.sample_count > MIN_SAMPLES else gap

    def min_latency(self, cost: float) -> float:
        """Return the seconds that work of this cost needs at least; 0 while too little is known."""
        return MIN_COST_PART * self.latency_per_cost * cost if self.sample_count >= MIN_SAMPLES else 0.0

    def record_rejection(self) -> None:
        """Lower the baseline by cost after it has rejected a request (see COST_BASELINE_DECAY)."""
        self.latency_per_cost *= COST_BASELINE_DECAY
