"""The endpoint list as discovery last sent it; each pool selects the ready endpoints that it may use."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from balancer.endpoint_state import EndpointState
from balancer.endpoints import Endpoint, EndpointId, EndpointStatus, UpdateKind
from balancer.slow_start import SlowStart


@dataclass
class EndpointList:
    """The endpoints that are listed, have attempts in flight, or may be listed again while warming up.

    Attributes:
        slow_start: Gives the time at which an endpoint has warmed up.
        states: The endpoints by their ids, in the order in which they were first listed.
    """

    slow_start: SlowStart
    states: dict[EndpointId, EndpointState] = field(default_factory=dict)

    def update(self, now: float, kind: UpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """Apply a complete list, or a change to it.

        Args:
            now: The time in seconds.
            kind: Whether `endpoints` is a complete list or a change; not `UpdateKind.FAILED`.
            endpoints: The entries, each the complete state of its endpoint.
        """
        if kind is not UpdateKind.DELTA:
            self._remove_unlisted({endpoint.id for endpoint in endpoints})
        for endpoint in endpoints:
            state = self.states.get(endpoint.id)
            if state is None:
                self.states[endpoint.id] = EndpointState(endpoint)
                continue
            if endpoint.started > state.endpoint.started:
                state.reset()
            state.endpoint = endpoint
        self._delete_removed(now)

    def _remove_unlisted(self, listed: set[EndpointId]) -> None:
        """Mark the endpoints that are not in a complete list as removed.

        They stay in `states`: the same process may be listed again while it is still warming up.
        """
        for state in self.states.values():
            if state.endpoint.id not in listed:
                state.endpoint = replace(state.endpoint, status=EndpointStatus.REMOVED)

    def _delete_removed(self, now: float) -> None:
        """Delete removed endpoints, because new ids would otherwise use up the memory over time.

        An endpoint is retained while attempts at it are in flight, and until it has warmed up: the same
        process may be listed again before that.
        """
        for endpoint_id, state in tuple(self.states.items()):
            is_removed = state.endpoint.status is EndpointStatus.REMOVED
            if is_removed and not state.in_flight and self.slow_start.warm_at(state.endpoint) <= now:
                del self.states[endpoint_id]
