"""Replies to batches of the simulator on standard input and output: `python -m balancer.simulator`.

A batch is a `Tick` with the time, any number of events, and a `Flush`. The reply is one line for each action
and an `Eor`. A line that violates the protocol ends the process with exit code 2 and one line on standard
error. A defect of the balancer, and invalid settings or requests, are reported for one instance
(`BailOut`), and the process continues.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, BinaryIO, TextIO

import orjson

from balancer.simulator.action_messages import write_action, write_bail_out
from balancer.simulator.errors import (
    ClockError,
    InvalidMessageError,
    MissingFieldError,
    NestedBatchError,
    OutsideBatchError,
    ProtocolError,
    UnfinishedBatchError,
)
from balancer.simulator.session import Session

if TYPE_CHECKING:
    from balancer.simulator.event_messages import EventMessage, Message

END_OF_REPLY = b'{"m":"Eor"}\n'
PROTOCOL_ERROR_EXIT_CODE = 2


class BatchServer:
    """Replies to the batches of one simulator."""

    def __init__(self, output: BinaryIO) -> None:
        self._output = output
        self._session = Session()
        self._now: float | None = None  # the time of the open batch; None between two batches
        self._latest_time = float("-inf")
        self._replies: list[bytes] = []

    def process_line(self, line: bytes) -> None:
        """Process one line of the input.

        Raises:
            ProtocolError: The line violates the protocol.
            ValueError: The line is not JSON, or contains a string where a number is expected.
            TypeError: The line contains a value of another type than the protocol requires.
        """
        message: Message = orjson.loads(line)
        if not isinstance(message, dict) or "m" not in message:
            raise InvalidMessageError
        try:
            if message["m"] == "Tick":
                self._begin_batch(float(message["Time"]))
            elif self._now is None:
                raise OutsideBatchError(message["m"])
            elif message["m"] == "Flush":
                self._end_batch()
            else:
                self._process_event(self._now, message)
        except KeyError as error:
            raise MissingFieldError(error.args[0]) from error

    def end_input(self) -> None:
        """Check that the input has not ended inside a batch.

        Raises:
            UnfinishedBatchError: A batch is open.
        """
        if self._now is not None:
            raise UnfinishedBatchError

    def _begin_batch(self, now: float) -> None:
        if self._now is not None:
            raise NestedBatchError
        if not now >= self._latest_time:  # also rejects NaN
            raise ClockError(now, self._latest_time)
        self._now = self._latest_time = now

    def _end_batch(self) -> None:
        self._replies.append(END_OF_REPLY)
        self._output.write(b"\n".join(self._replies))
        self._output.flush()
        self._replies.clear()
        self._now = None

    def _process_event(self, now: float, message: EventMessage) -> None:
        try:
            call = self._session.read(message)
        except (ProtocolError, KeyError, TypeError):
            raise
        except Exception as error:  # noqa: BLE001 - an invalid message affects only its instance
            self._replies.append(_bail_out(message, error))
            return
        try:
            actions = call(now)
        except Exception as error:  # noqa: BLE001 - a defect of the balancer affects only its instance
            self._replies.append(_bail_out(message, error))
            return
        if message["m"] != "Register":  # a list belongs to no instance and causes no action
            instance = message["ProxyId"]
            for action in actions:
                self._replies.append(orjson.dumps(write_action(instance, action)))


def _bail_out(message: EventMessage, error: Exception) -> bytes:
    """Return the report of an error for the instance of a message; 0 for a list, which has no instance."""
    instance = 0 if message["m"] == "Register" else message["ProxyId"]
    return orjson.dumps(write_bail_out(instance, error))


def serve(batches: BinaryIO, replies: BinaryIO, errors: TextIO) -> int:
    """Reply to batches until the input ends, and return the exit code."""
    server = BatchServer(replies)
    line_number = 0
    try:
        for line_number, line in enumerate(batches, 1):  # noqa: B007 - used in the error message
            server.process_line(line)
        server.end_input()
    except (ProtocolError, ValueError, TypeError) as error:
        print(f"simulator: line {line_number}: {error}".replace("\n", " "), file=errors)
        return PROTOCOL_ERROR_EXIT_CODE
    return 0


def main() -> int:
    """Run on standard input and output."""
    try:
        return serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)
    except BrokenPipeError:
        # The simulator has closed the pipe. The flush of standard output at exit must not report that again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0


if __name__ == "__main__":
    sys.exit(main())
