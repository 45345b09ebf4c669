"""Reconfiguration: replaces the settings of a running balancer, also for the requests in flight.

The learned state of a class or a tenant follows its name, not its index. A request in flight may do only what
both the settings that admitted it and the new ones allow, so that nothing is retried, sent or cancelled that
either of them forbids.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from balancer.admission_control import AdmissionControl
from balancer.attempts import RequestState
from balancer.client_timeouts import ClientTimeouts
from balancer.discovery_polling import DiscoveryPolling
from balancer.events import MisplacedAttempt, RequestId
from balancer.hedging import Hedging
from balancer.latency_statistics import LatencyStatistics
from balancer.pool_assignment import PoolAssignment
from balancer.retry_budget import RetryBudgets
from balancer.settings import Idempotency, Limits, RequestClass, Settings
from balancer.slow_start import SlowStart
from balancer.subsetting import Subsetting
from balancer.tenant_quota import TenantQuotas

NEW_CLASS = -1  # the previous index of a class that the previous settings do not have
REMOVED_CLASS = -1  # the current index of a class that the settings in force no longer have


@dataclass(slots=True, kw_only=True, eq=False, repr=False)
class Reconfiguration:
    """Applies new settings to all parts of a balancer that depend on them.

    Attributes:
        requests: The requests in flight, by their ids.
        assignment: The endpoint pools, and which pool each class uses.
        tenant_quotas: The token buckets of the tenants.
        client_timeouts: The observed client timeouts of each class.
        statistics: The measured latencies, overall and of each class.
        admission: Admission control.
        retry_budgets: The budgets of retries and of hedged requests.
        slow_start: The rules for endpoints that are warming up.
        subsetting: The choice of the pools' subsets.
        polling: The timer that polls discovery.
        hedging: The timers of hedged requests.
    """

    requests: Mapping[RequestId, RequestState]
    assignment: PoolAssignment
    tenant_quotas: TenantQuotas
    client_timeouts: ClientTimeouts
    statistics: LatencyStatistics
    admission: AdmissionControl
    retry_budgets: RetryBudgets
    slow_start: SlowStart
    subsetting: Subsetting
    polling: DiscoveryPolling
    hedging: Hedging

    def apply(self, now: float, previous: Settings, settings: Settings) -> None:
        """Put settings in force; classes and tenants that are not in the previous ones have no learned state.

        Args:
            now: The time in seconds.
            previous: The settings in force until now; for a new balancer, settings without classes.
            settings: The settings to put in force, already checked.
        """
        previous_index_by_name = _indices_by_name(previous)
        previous_indices = [previous_index_by_name.get(each.name, NEW_CLASS) for each in settings.classes]
        self.tenant_quotas.configure(now, previous.tenants, settings)
        self.client_timeouts.configure(settings, previous_indices)
        self.statistics.configure(previous_indices)
        self.admission.configure(settings)
        self.retry_budgets.configure(settings.rules)
        self.slow_start.rules = settings.rules
        self.subsetting.settings = self.polling.settings = self.hedging.settings = settings
        self._restrict_requests(settings)
        self.assignment.configure(settings, previous_indices, self.requests.values())

    def _restrict_requests(self, settings: Settings) -> None:
        """Restrict the requests in flight to what both their own and the new settings allow."""
        index_by_name = _indices_by_name(settings)
        for request in self.requests.values():
            request.limits = restrict_limits(request.limits, settings.limits)
            request.class_index = index = index_by_name.get(request.request_class.name, REMOVED_CLASS)
            if index != REMOVED_CLASS:  # a request of a removed class retains the class it was admitted with
                request.request_class = restrict_class(request.request_class, settings.classes[index])

    def misplaced_attempts(self) -> list[MisplacedAttempt]:
        """Return the open attempts at endpoints that the pools of their requests no longer allow."""
        return [
            MisplacedAttempt(request.id, number)
            for request in self.requests.values()
            for number, attempt in enumerate(request.attempts)
            if attempt.is_open and not request.pool.allows(attempt.target.endpoint)
        ]


def _indices_by_name(settings: Settings) -> dict[str, int]:
    return {request_class.name: index for index, request_class in enumerate(settings.classes)}


def restrict_class(admitted: RequestClass, current: RequestClass) -> RequestClass:
    """Return the class of a request in flight after a reload, which allows only what both classes allow.

    If the two differ in idempotency or deduplication scope, the result is non-idempotent.

    Args:
        admitted: The class that the request was admitted with, restricted by all reloads since then.
        current: The class of the same name in the settings in force.
    """
    idempotency_differs = admitted.idempotency is not current.idempotency
    is_keyed = current.idempotency is Idempotency.KEYED
    scope_differs = is_keyed and admitted.deduplication_scope is not current.deduplication_scope
    is_non_idempotent = idempotency_differs or scope_differs
    return replace(
        admitted,
        idempotency=Idempotency.NON_IDEMPOTENT if is_non_idempotent else admitted.idempotency,
        deduplication_window=min(admitted.deduplication_window, current.deduplication_window),
        streaming=admitted.streaming or current.streaming,
        allowed_machine_types=_intersection(admitted.allowed_machine_types, current.allowed_machine_types),
        allowed_zones=_intersection(admitted.allowed_zones, current.allowed_zones),
    )


def restrict_limits(admitted: Limits, current: Limits) -> Limits:
    """Return the limits of a request in flight after a reload, which permit only what both limits permit.

    Args:
        admitted: The limits that the request was admitted with, restricted by all reloads since then.
        current: The limits in force.
    """
    return replace(
        admitted,
        cancel=admitted.cancel and current.cancel,
        hedging=admitted.hedging and current.hedging,
        max_attempts=min(admitted.max_attempts, current.max_attempts),
    )


def _intersection(first: tuple[int, ...] | None, second: tuple[int, ...] | None) -> tuple[int, ...] | None:
    """Return the indices that both restrictions allow; None means no restriction."""
    if first is None or second is None:
        return second if first is None else first
    return tuple(index for index in first if index in second)
