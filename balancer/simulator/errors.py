"""Errors for violations of the simulator's protocol; each states what was read and what is expected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.errors import RowandealError

if TYPE_CHECKING:
    from collections.abc import Iterable


class ProtocolError(RowandealError):
    """Base of the errors for a line, or an end of the input, that violates the protocol."""


class InvalidMessageError(ProtocolError):
    """A line is not a JSON object with the key `m`."""

    def __init__(self) -> None:
        super().__init__("not a message: expected a JSON object with the key 'm'")


class OutsideBatchError(ProtocolError):
    """A message other than `Tick` was sent between two batches.

    Attributes:
        name: The name of the message.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"{name!r} outside a batch")
        self.name = name


class NestedBatchError(ProtocolError):
    """A `Tick` was sent before the `Flush` of the previous batch."""

    def __init__(self) -> None:
        super().__init__("a Tick inside a batch")


class UnfinishedBatchError(ProtocolError):
    """The input ended before the `Flush` of a batch."""

    def __init__(self) -> None:
        super().__init__("the input ended inside a batch")


class ClockError(ProtocolError):
    """The time of a batch is earlier than that of a previous batch, or not a number.

    Attributes:
        now: The time of the batch in seconds.
        latest: The time of the previous batch in seconds.
    """

    def __init__(self, now: float, latest: float) -> None:
        super().__init__(f"the clock goes backwards: {now} after {latest}")
        self.now = now
        self.latest = latest


class UnknownInstanceError(ProtocolError):
    """A message is for an instance that was never opened, or was closed.

    Attributes:
        instance: The number of the instance.
    """

    def __init__(self, instance: int) -> None:
        super().__init__(f"instance {instance} was never opened or is closed")
        self.instance = instance


class UnknownMessageError(ProtocolError):
    """A message has an unknown name.

    Attributes:
        name: The name.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown message {name!r}")
        self.name = name


class UnknownListError(ProtocolError):
    """An update names an endpoint list that was never registered.

    Attributes:
        number: The number of the list.
    """

    def __init__(self, number: int) -> None:
        super().__init__(f"unknown list number {number}")
        self.number = number


class MissingFieldError(ProtocolError):
    """A message lacks a required key.

    Attributes:
        key: The missing key.
    """

    def __init__(self, key: str) -> None:
        super().__init__(f"missing field {key!r}")
        self.key = key


class UnknownValueError(ProtocolError):
    """The value of a key is not one of its allowed values.

    Attributes:
        key: The key.
        value: Its value.
        expected: The allowed values.
    """

    def __init__(self, key: str, value: str, expected: Iterable[str]) -> None:
        self.key = key
        self.value = value
        self.expected = tuple(expected)
        super().__init__(f"{key}: {value!r} is none of {', '.join(self.expected)}")
