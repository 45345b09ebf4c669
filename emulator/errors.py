"""Why a run of the emulator can not go on; each error carries its facts and builds its message from them."""

from __future__ import annotations

from testbed.meter import MB


class RunTimeoutError(TimeoutError):
    """A run takes longer than it may.

    Attributes:
        seconds: How long it may take.
    """

    def __init__(self, seconds: int) -> None:
        super().__init__(f"it takes more than {seconds} s")
        self.seconds = seconds


class WatchTimeoutError(RuntimeError):
    """A proxy does not watch its registry in time."""

    def __init__(self) -> None:
        super().__init__("a proxy does not watch")


class ApplyTimeoutError(RuntimeError):
    """A proxy does not apply what it was sent in time.

    Attributes:
        what: What was sent.
        seconds: How long it was waited for.
    """

    def __init__(self, what: str, seconds: float) -> None:
        super().__init__(f"{what} was not applied within {seconds:g} s")
        self.what = what
        self.seconds = seconds


class MemoryLimitError(RuntimeError):
    """The processes of a run take too much of this machine's memory.

    Attributes:
        resident: Their resident memory in bytes.
    """

    def __init__(self, resident: int) -> None:
        super().__init__(f"the processes take {resident / MB:.0f} MB")
        self.resident = resident


class TopologySizeError(ValueError):
    """A fleet can not have so many services.

    Attributes:
        services: How many services were wanted.
        backends: How many backends there are to share among them.
    """

    def __init__(self, services: int, backends: int) -> None:
        super().__init__(f"{services} services do not fit {backends} backends")
        self.services = services
        self.backends = backends


class FitPointsError(ValueError):
    """There are too few points for a fit, or unequal numbers of x and y.

    Attributes:
        xs: How many x there are.
        ys: How many y there are.
        wanted: How many of each are needed at least.
    """

    def __init__(self, xs: int, ys: int, wanted: int) -> None:
        super().__init__(f"{xs} and {ys} values: at least {wanted} of each are needed")
        self.xs = xs
        self.ys = ys
        self.wanted = wanted


class FitRangeError(ValueError):
    """An x of a fit in x log x is not above 0."""

    def __init__(self) -> None:
        super().__init__("x must be above 0")
