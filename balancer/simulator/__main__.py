"""Answers batches of the simulator on standard input and output: `python -m balancer.simulator`.

A batch is a `Tick` with the time, events, and a `Flush`; the reply to it is a line for each action and an
`Eor`. A line that the wire does not allow ends the process with exit code 2 and one line on standard error.
A defect of the balancer is reported for its instance alone (`BailOut`).
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, BinaryIO, TextIO

import orjson

from balancer.simulator.action_messages import write_action, write_bail_out
from balancer.simulator.errors import (
    ClockError,
    MissingFieldError,
    NestedBatchError,
    NotAMessageError,
    OutsideBatchError,
    UnfinishedBatchError,
    WireError,
)
from balancer.simulator.session import Session

if TYPE_CHECKING:
    from balancer.simulator.event_messages import EventMessage, Message

END_OF_REPLY = b'{"m":"Eor"}\n'
WIRE_ERROR_EXIT_CODE = 2


class BatchServer:
    """Answers one simulator: the open batch, its time, and the replies to it so far."""

    def __init__(self, sink: BinaryIO) -> None:
        self._sink = sink
        self._session = Session()
        self._now: float | None = None  # None between two batches
        self._latest = float("-inf")
        self._replies: list[bytes] = []

    def feed(self, line: bytes) -> None:
        """Take one line.

        Raises:
            WireError: The wire does not allow the line.
            ValueError: It is no JSON, or holds a text where a number is wanted.
            TypeError: It holds a value of another type than the wire requires.
        """
        message: Message = orjson.loads(line)
        if not isinstance(message, dict) or "m" not in message:
            raise NotAMessageError
        try:
            if message["m"] == "Tick":
                self._begin(float(message["Time"]))
            elif self._now is None:
                raise OutsideBatchError(message["m"])
            elif message["m"] == "Flush":
                self._end()
            else:
                self._event(self._now, message)
        except KeyError as error:
            raise MissingFieldError(error.args[0]) from error

    def close(self) -> None:
        """Note the end of the input.

        Raises:
            UnfinishedBatchError: It is inside a batch.
        """
        if self._now is not None:
            raise UnfinishedBatchError

    def _begin(self, now: float) -> None:
        if self._now is not None:
            raise NestedBatchError
        if not now >= self._latest:  # also rejects NaN
            raise ClockError(now, self._latest)
        self._now = self._latest = now

    def _end(self) -> None:
        self._replies.append(END_OF_REPLY)
        self._sink.write(b"\n".join(self._replies))
        self._sink.flush()
        self._replies.clear()
        self._now = None

    def _event(self, now: float, message: EventMessage) -> None:
        try:
            call = self._session.read(message)
        except (WireError, KeyError, TypeError):
            raise
        except Exception as error:  # noqa: BLE001 - an odd message or a defect ends its instance alone
            self._replies.append(_bail_out(message, error))
            return
        try:
            actions = call(now)
        except Exception as error:  # noqa: BLE001 - an odd message or a defect ends its instance alone
            self._replies.append(_bail_out(message, error))
            return
        if message["m"] != "Register":  # a list is for no single instance, and leads to no action
            instance = message["ProxyId"]
            for action in actions:
                self._replies.append(orjson.dumps(write_action(instance, action)))


def _bail_out(message: EventMessage, error: Exception) -> bytes:
    """Return the report of an error to the instance of a message, or to 0 for a list, which is for all."""
    instance = 0 if message["m"] == "Register" else message["ProxyId"]
    return orjson.dumps(write_bail_out(instance, error))


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answer batches until the input ends, and return the exit code."""
    server = BatchServer(sink)
    number = 0
    try:
        for number, line in enumerate(source, 1):  # noqa: B007 - the number is used where a line is rejected
            server.feed(line)
        server.close()
    except (WireError, ValueError, TypeError) as error:
        print(f"simulator: line {number}: {error}".replace("\n", " "), file=errors)
        return WIRE_ERROR_EXIT_CODE
    return 0


def main() -> int:
    """Run on standard input and output."""
    try:
        return serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)
    except BrokenPipeError:
        # The simulator has closed its end. The flush at exit must not report that either.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0


if __name__ == "__main__":
    sys.exit(main())
