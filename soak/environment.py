"""The test environment of a run: the parts that faults are injected into."""

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
    """The parts of a run.

    Attributes:
        proxies: The proxies.
        backends: The process of the backends, which runs a `BackendFleet`.
        endpoints: The endpoint list and its discovery.
        clients: The clients.
        discovery_ports: The two places of discovery of each proxy, by its number.
    """

    proxies: ProxyFleet
    backends: ChildProcess
    endpoints: EndpointList
    clients: Clients
    discovery_ports: list[tuple[int, int]]
