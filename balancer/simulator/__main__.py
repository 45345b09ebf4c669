"""Answers batches of the simulator on standard input and output: `python -m balancer.simulator`.

A batch is a `Tick` with the time, events, and a `Flush`; the reply to it is a line for each action and an
`Eor`. A line that the wire does not allow ends the process with exit code 2 and one line on standard error. A
defect of the decisions is reported for its instance alone (`BailOut`).
"""

from __future__ import annotations

import os
import sys
from typing import Any, BinaryIO, TextIO

import orjson

from balancer.simulator.messages import WireError, write_action
from balancer.simulator.session import Message, Session

END_OF_REPLY = b'{"m":"Eor"}\n'


class BatchServer:
    """Answers one simulator: the batch that is open, its time, and the replies to it so far."""

    def __init__(self, sink: BinaryIO) -> None:
        self._sink = sink
        self._session = Session()
        self._now: float | None = None  # None between two batches
        self._latest = float("-inf")
        self._replies: list[bytes] = []

    def feed(self, line: bytes) -> None:
        """Take one line; raises WireError, ValueError, KeyError or TypeError for one that is not allowed."""
        message = orjson.loads(line)
        if not isinstance(message, dict) or "m" not in message:
            raise WireError("not a message")
        name = message["m"]
        if name == "Tick":
            self._begin(float(message["Time"]))
        elif self._now is None:
            raise WireError(f"{name!r} outside a batch")
        elif name == "Flush":
            self._end()
        else:
            self._event(self._now, message)

    def close(self) -> None:
        """Raise WireError where the input ends inside a batch."""
        if self._now is not None:
            raise WireError("the input ended inside a batch")

    def _begin(self, now: float) -> None:
        if self._now is not None:
            raise WireError("a Tick inside a batch")
        if not now >= self._latest:  # also rejects NaN
            raise WireError("the clock goes backwards")
        self._now = self._latest = now

    def _end(self) -> None:
        self._replies.append(END_OF_REPLY)
        self._sink.write(b"\n".join(self._replies))
        self._sink.flush()
        self._replies.clear()
        self._now = None

    def _event(self, now: float, message: Message) -> None:
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
        for action in actions:
            self._replies.append(orjson.dumps(write_action(message["ProxyId"], action)))


def _bail_out(message: dict[str, Any], error: Exception) -> bytes:
    text = f"{type(error).__name__}: {error}"
    return orjson.dumps({"m": "BailOut", "ProxyId": message.get("ProxyId", 0), "NoteText": text})


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answer batches until the input ends, and return the exit code."""
    server = BatchServer(sink)
    number = 0
    try:
        for number, line in enumerate(source, 1):  # noqa: B007 - the number is used where a line is rejected
            server.feed(line)
        server.close()
    except (WireError, ValueError, KeyError, TypeError) as error:
        problem = f"missing field {error}" if isinstance(error, KeyError) else str(error)
        print(f"simulator: line {number}: {problem}".replace("\n", " "), file=errors)
        return 2
    return 0


def main() -> int:
    """Run on standard input and output."""
    try:
        return serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)
    except BrokenPipeError:
        # The reader has gone. The flush at exit must not complain of that either.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0


if __name__ == "__main__":
    sys.exit(main())
