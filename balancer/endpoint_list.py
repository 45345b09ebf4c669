"""The endpoint list as last delivered; which of the endpoints are up for a class is kept in its pool."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from balancer.endpoint_state import EndpointState
from balancer.endpoints import Endpoint, EndpointId, EndpointStatus, UpdateKind
from balancer.slow_start import SlowStart


@dataclass
class EndpointList:
    """Every endpoint that may still get calls, has some in flight, or may come back warming up."""

    slow_start: SlowStart
    states: dict[EndpointId, EndpointState] = field(default_factory=dict)

    def update(self, now: float, kind: UpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """Take in a list, or a change to it."""
        if kind is not UpdateKind.DELTA:
            self._mark_gone({endpoint.id for endpoint in endpoints})
        for endpoint in endpoints:
            state = self.states.get(endpoint.id)
            if state is None:
                self.states[endpoint.id] = EndpointState(endpoint)
                continue
            if endpoint.started > state.endpoint.started:
                state.reset()
            state.endpoint = endpoint
        self._forget(now)

    def _mark_gone(self, listed: set[EndpointId]) -> None:
        """Mark what a complete list does not name; it may come back as the same process, still warming up."""
        for state in self.states.values():
            if state.endpoint.id not in listed:
                state.endpoint = replace(state.endpoint, status=EndpointStatus.GONE)

    def _forget(self, now: float) -> None:
        """Forget what is gone: endpoints are replaced under new ids for as long as the program runs.

        One stays while attempts are in flight, and while it may come back as the same process, warming up.
        """
        for endpoint_id, state in tuple(self.states.items()):
            gone = state.endpoint.status is EndpointStatus.GONE
            if gone and not state.in_flight and self.slow_start.warm_at(state.endpoint) <= now:
                del self.states[endpoint_id]
