"""Keeps a signal that comes before there is anything that could act on it.

By default SIGHUP ends a process, and operators send it to whole fleets, some of whose processes are just
starting. Owns whether the signal has come; what follows from that is up to whoever takes the signal over.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType


class EarlySignal:
    """Notes that a signal has come, until another handler takes it over.

    Attributes:
        was_received: Whether it has come.
    """

    def __init__(self, number: signal.Signals) -> None:
        self.was_received = False
        signal.signal(number, self._note)

    def _note(self, _number: int, _frame: FrameType | None) -> None:
        self.was_received = True
