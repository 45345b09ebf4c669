"""The components that the dispatcher and the action executor use; `proxy.proxy` owns them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balancer.balancer import Balancer
    from proxy.clock import EpochClock
    from proxy.endpoint_table import EndpointTable
    from proxy.event_log import EventLog
    from proxy.invariants import InvariantMonitor
    from proxy.upstream import ConnectionPool


@dataclass(slots=True, frozen=True, kw_only=True)
class DispatchContext:
    """The components that the dispatcher and the action executor share.

    Attributes:
        balancer: Decides where each request is sent, and whether it is rejected or retried.
        clock: Converts between the event loop's time and the balancer's.
        endpoint_table: The backends that attempts go to.
        pool: Sends the attempts.
        poll_endpoints: Asks discovery for the endpoint list.
        monitor: Checks the attempts and responses that are written.
        event_log: Records the events of each request.
        max_abandoned_ids: The largest number of ids of abandoned requests that are remembered.
    """

    balancer: Balancer
    clock: EpochClock
    endpoint_table: EndpointTable
    pool: ConnectionPool
    poll_endpoints: Callable[[], None]
    monitor: InvariantMonitor
    event_log: EventLog
    max_abandoned_ids: int
