"""What the simulator's wire does not allow; each error names what was read and what is wanted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.errors import RowandealError

if TYPE_CHECKING:
    from collections.abc import Iterable


class WireError(RowandealError):
    """Base of the errors for a line, or an end of the input, that the wire does not allow."""


class NotAMessageError(WireError):
    """A line holds no JSON object with the key `m`."""

    def __init__(self) -> None:
        super().__init__("not a message")


class OutsideBatchError(WireError):
    """A message other than `Tick` came between two batches.

    Attributes:
        name: The name of the message.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"{name!r} outside a batch")
        self.name = name


class NestedBatchError(WireError):
    """A `Tick` came before the `Flush` of the batch before it."""

    def __init__(self) -> None:
        super().__init__("a Tick inside a batch")


class UnfinishedBatchError(WireError):
    """The input ended before the `Flush` of a batch."""

    def __init__(self) -> None:
        super().__init__("the input ended inside a batch")


class ClockError(WireError):
    """The time of a batch is before that of an earlier one, or no number.

    Attributes:
        now: The time of the batch in seconds.
        latest: That of the latest batch before it.
    """

    def __init__(self, now: float, latest: float) -> None:
        super().__init__(f"the clock goes backwards: {now} after {latest}")
        self.now = now
        self.latest = latest


class UnknownInstanceError(WireError):
    """A message is for an instance that was never opened, or was closed.

    Attributes:
        instance: Its number.
    """

    def __init__(self, instance: int) -> None:
        super().__init__(f"instance {instance} was never opened")
        self.instance = instance


class UnknownMessageError(WireError):
    """A message has a name that the wire does not know.

    Attributes:
        name: That name.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown message {name!r}")
        self.name = name


class UnknownListError(WireError):
    """An update names an endpoint list that was never registered.

    Attributes:
        number: The number of the list.
    """

    def __init__(self, number: int) -> None:
        super().__init__(f"unknown list number {number}")
        self.number = number


class MissingFieldError(WireError):
    """A message lacks a key that the wire requires.

    Attributes:
        key: That key.
    """

    def __init__(self, key: str) -> None:
        super().__init__(f"missing field {key!r}")
        self.key = key


class UnknownWordError(WireError):
    """The value of a key is none of the words that the wire knows there.

    Attributes:
        key: The key.
        value: Its value.
        wanted: The words that it may have.
    """

    def __init__(self, key: str, value: str, wanted: Iterable[str]) -> None:
        self.key = key
        self.value = value
        self.wanted = tuple(wanted)
        super().__init__(f"{key}: {value!r} is none of {', '.join(self.wanted)}")
