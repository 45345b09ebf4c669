"""Records a signal that arrives before the process can handle it.

By default, SIGHUP ends a process. Operators send it to all processes of a fleet, some of which may still be
starting. This module only records that the signal has arrived; the code that installs the final handler acts
on it.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType


class EarlySignal:
    """Records whether a signal has arrived, until another handler is installed for this signal.

    Attributes:
        was_received: Whether the signal has arrived.
    """

    def __init__(self, number: signal.Signals) -> None:
        self.was_received = False
        signal.signal(number, self._record)

    def _record(self, _number: int, _frame: FrameType | None) -> None:
        self.was_received = True
