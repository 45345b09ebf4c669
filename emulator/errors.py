"""The errors that end a run of the emulator."""

from __future__ import annotations

from testbed.meter import MB


class RunTimeoutError(TimeoutError):
    """A run exceeds its time limit.

    Attributes:
        seconds: The time limit.
    """

    def __init__(self, seconds: int) -> None:
        super().__init__(f"the run exceeded its time limit of {seconds} s")
        self.seconds = seconds


class SnapshotTimeoutError(RuntimeError):
    """A proxy does not receive its endpoint list in time."""

    def __init__(self) -> None:
        super().__init__("a proxy did not receive its endpoint list in time")


class ApplyTimeoutError(RuntimeError):
    """A proxy does not apply an update in time.

    Attributes:
        update: The kind of update.
        seconds: The time that was waited for it.
    """

    def __init__(self, update: str, seconds: float) -> None:
        super().__init__(f"{update} was not applied within {seconds:g} s")
        self.update = update
        self.seconds = seconds


class MemoryLimitError(RuntimeError):
    """The processes of a run use too much of this machine's memory.

    Attributes:
        resident: Resident memory of the processes in bytes.
    """

    def __init__(self, resident: int) -> None:
        super().__init__(f"the processes use too much memory: {resident / MB:.0f} MB")
        self.resident = resident


class TopologySizeError(ValueError):
    """A fleet has too many services for its backends, or no service.

    Attributes:
        services: Number of services.
        backends: Number of backends.
    """

    def __init__(self, services: int, backends: int) -> None:
        super().__init__(f"{services} services do not fit {backends} backends")
        self.services = services
        self.backends = backends


class FitPointsError(ValueError):
    """A fit has too few points, or different numbers of x and y values.

    Attributes:
        xs: Number of x values.
        ys: Number of y values.
        min_points: Smallest number of points for a fit.
    """

    def __init__(self, xs: int, ys: int, min_points: int) -> None:
        super().__init__(f"{xs} x and {ys} y values: at least {min_points} of each are needed")
        self.xs = xs
        self.ys = ys
        self.min_points = min_points


class FitRangeError(ValueError):
    """A value of x is not greater than 0, so that x log x is undefined."""

    def __init__(self) -> None:
        super().__init__("x must be greater than 0")
