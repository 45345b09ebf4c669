"""Records a signal that arrives before the process can handle it.

By default SIGHUP ends a process, and operators send it to complete fleets, some of whose processes are just
starting. This module owns whether the signal has arrived; the code that installs the final handler acts on
it.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType


class EarlySignal:
    """Records that a signal has arrived, until another handler is installed for it.

    Attributes:
        was_received: Whether the signal has arrived.
    """

    def __init__(self, number: signal.Signals) -> None:
        self.was_received = False
        signal.signal(number, self._record)

    def _record(self, _number: int, _frame: FrameType | None) -> None:
        self.was_received = True
