"""Assigns processor cores to the processes of a run with real proxies; starts no process itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_SEPARATE_CORES = 3  # on fewer cores, all processes share all cores


@dataclass(slots=True, frozen=True)
class Placement:
    """The cores of each process.

    Attributes:
        backend: Cores of the stub backend.
        load_generator: Cores of the load generator.
        proxies: Cores of each proxy.
        exclusive: Whether each process has a core that no other process of the run uses.
    """

    backend: frozenset[int]
    load_generator: frozenset[int]
    proxies: Sequence[frozenset[int]]
    exclusive: bool


def place_processes(cores: Sequence[int], proxy_count: int) -> Placement:
    """Assign one core to each process if there are enough; otherwise the proxies share the other cores."""
    if len(cores) < MIN_SEPARATE_CORES:
        shared = frozenset(cores)
        return Placement(shared, shared, [shared] * proxy_count, exclusive=False)
    remaining = cores[2:]
    exclusive = len(remaining) >= proxy_count
    proxy_cores = [
        frozenset(remaining[index : index + 1]) if exclusive else frozenset(remaining)
        for index in range(proxy_count)
    ]
    return Placement(frozenset(cores[:1]), frozenset(cores[1:2]), proxy_cores, exclusive=exclusive)
