"""Which processor cores each process of a trial runs on; nothing is started or moved here."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_SEPARATE_CORES = 3  # fewer are shared by all


@dataclass(slots=True, frozen=True)
class Placement:
    """The cores of each role.

    Attributes:
        backend: Of the stub backend.
        load_generator: Of the load generator.
        proxies: Of each proxy.
        exclusive: Whether no process shares its core with another one of the trial.
    """

    backend: frozenset[int]
    load_generator: frozenset[int]
    proxies: Sequence[frozenset[int]]
    exclusive: bool


def place(cores: Sequence[int], proxies: int) -> Placement:
    """Give each process a core where there are enough; else the proxies share the cores that are left."""
    if len(cores) < MIN_SEPARATE_CORES:
        shared = frozenset(cores)
        return Placement(shared, shared, [shared] * proxies, exclusive=False)
    remaining = cores[2:]
    exclusive = len(remaining) >= proxies
    proxy_cores = [
        frozenset(remaining[n : n + 1]) if exclusive else frozenset(remaining) for n in range(proxies)
    ]
    return Placement(frozenset(cores[:1]), frozenset(cores[1:2]), proxy_cores, exclusive=exclusive)
