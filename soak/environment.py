"""The test environment of a run: the components into which faults are injected."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.clients import Clients
    from soak.endpoint_list import EndpointList
    from soak.proxy_fleet import ProxyFleet
    from testbed.child_process import ChildProcess


@dataclass(slots=True)
class TestEnvironment:
    """The components of a run.

    Attributes:
        proxies: The proxies.
        backends: The process of the backends, which runs a `BackendFleet`.
        endpoints: The endpoint list and the registry that serves it.
        clients: The clients.
        discovery_ports: The ports of the two discovery agents of each proxy, by the proxy's number.
    """

    proxies: ProxyFleet
    backends: ChildProcess
    endpoints: EndpointList
    clients: Clients
    discovery_ports: list[tuple[int, int]]
