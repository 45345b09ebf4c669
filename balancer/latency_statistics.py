"""Latency statistics: of all endpoints, of each class, for each unit of cost; they decide nothing."""

from balancer.circuit_breaker import FALL_SAMPLES, RISE_SAMPLES

MEAN_SPAN = 32  # answers that a mean latency goes over
MIN_SAMPLES = 16  # answers before a baseline rejects anything: the first may have stood in a queue
MIN_COST_PART = 0.6  # part of the cost baseline that work needs at least: costs are hints, endpoints differ
COST_BASELINE_DECAY = 0.94  # what a rejection leaves of that baseline


class LatencyStatistics:
    """Mean latencies and their baselines; a baseline falls fast and rises slowly."""

    def __init__(self) -> None:
        self.class_latency: list[float] = []  # mean of the recent answers to each class
        self.class_samples: list[int] = []  # how many answers that mean goes over
        self._reset()

    def _reset(self) -> None:
        self.tier_latency = self.tier_deviation = 0.0  # mean of all attempts, and its mean deviation
        self.answer_latency = self.answer_baseline = 0.0  # mean of all answers of late, and its baseline
        self.latency_per_cost = 0.0  # baseline for each unit of cost
        self.sample_count = 0  # answers behind the baselines

    def configure(self, previous: list[int]) -> None:
        """Keep what was learned of each class by its index in the settings before, -1 for a new class."""
        self.class_latency = [self.class_latency[n] if n >= 0 else 0.0 for n in previous]
        self.class_samples = [self.class_samples[n] if n >= 0 else 0 for n in previous]
        if max(previous) < 0:  # none is left: what was learned of all of them together goes too
            self._reset()

    def record_attempt(self, latency: float) -> None:
        """Learn from a successful attempt."""
        if self.tier_latency > 0.0:
            self.tier_deviation += (abs(latency - self.tier_latency) - self.tier_deviation) / MEAN_SPAN
            self.tier_latency += (latency - self.tier_latency) / MEAN_SPAN
        else:
            self.tier_latency, self.tier_deviation = latency, latency / 2.0

    def record_answer(self, class_index: int, latency: float, cost: float) -> None:
        """Learn from the successful attempt of a request whose class is in force."""
        gap = latency / cost - self.latency_per_cost
        self.latency_per_cost += (
            gap / (FALL_SAMPLES if gap < 0.0 else RISE_SAMPLES) if self.sample_count else gap
        )
        self.sample_count += 1
        self.class_samples[class_index] = seen = min(self.class_samples[class_index] + 1, MEAN_SPAN)
        self.class_latency[class_index] += (latency - self.class_latency[class_index]) / seen
        self.answer_latency += (latency - self.answer_latency) / min(self.sample_count, MEAN_SPAN)
        gap = self.answer_latency - self.answer_baseline
        samples = FALL_SAMPLES if gap < 0.0 else RISE_SAMPLES
        self.answer_baseline += gap / samples if self.sample_count > MIN_SAMPLES else gap

    def min_latency(self, cost: float) -> float:
        """Return the latency that work of this cost needs at least; 0 while too little is known."""
        return MIN_COST_PART * self.latency_per_cost * cost if self.sample_count >= MIN_SAMPLES else 0.0

    def record_rejection(self) -> None:
        """Lower the baseline by cost: a rejection teaches nothing, and no unfair one must stay for good."""
        self.latency_per_cost *= COST_BASELINE_DECAY
