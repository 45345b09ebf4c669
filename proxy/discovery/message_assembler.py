"""Splits the body of a watch into messages: JSON objects, each on one line or indented over several lines.

It owns the received part of an incomplete message. It does not interpret the content of messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterator

    from proxy.discovery.messages import EndpointListMessage

MAX_MESSAGE_BYTES = 4 << 20  # the size of an incomplete message


class MessageTooLongError(ValueError):
    """A message is longer than `MAX_MESSAGE_BYTES`."""

    def __init__(self) -> None:
        super().__init__(f"an object is longer than {MAX_MESSAGE_BYTES} bytes")


class IncompleteMessageError(ValueError):
    """An empty line follows a message that is not complete."""

    def __init__(self) -> None:
        super().__init__("an empty line follows an incomplete object")


class MessageAssembler:
    """Assembles messages from pieces of a watch's body."""

    def __init__(self) -> None:
        self._line = b""  # the received part of an incomplete line
        self._object = b""  # the complete lines of an incomplete message

    def has_partial_line(self) -> bool:
        """Return whether a part of an incomplete line has been received."""
        return bool(self._line)

    def feed(self, pieces: list[bytes]) -> Iterator[EndpointListMessage | None]:
        """Add pieces of the body; yield each message that is now complete, and None for an empty line.

        Raises:
            ValueError: The body can't be parsed.
        """
        *lines, self._line = b"".join([self._line, *pieces]).split(b"\n")
        for line in lines:
            yield from self._feed_line(line)
        # Without this limit, an endless line or object would fill the memory.
        if len(self._line) + len(self._object) > MAX_MESSAGE_BYTES:
            raise MessageTooLongError

    def _feed_line(self, line: bytes) -> Iterator[EndpointListMessage | None]:
        """Add one line: an empty line is a heartbeat; any other is an object or a part of one."""
        if not line.strip():
            if self._object:
                raise IncompleteMessageError
            yield None
            return
        is_first = not self._object
        self._object += line + b"\n"
        if not is_first and not line.rstrip().endswith(b"}"):
            return  # not complete; parsing after each line would be expensive, because a list has many lines
        try:
            message = orjson.loads(self._object)
        except orjson.JSONDecodeError as error:
            if error.pos < len(self._object.decode().rstrip()):
                raise  # the error is not at the end of the input, so further lines can't correct it
            return
        self._object = b""
        yield message
