"""The interface through which the dispatcher sends a response to the client of a request.

`proxy.downstream.connection` implements it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class ClosedCallback(Protocol):
    """Receives the end of a connection."""

    def __call__(self, *, was_reset: bool) -> None:
        """Handle the end of a connection.

        Args:
            was_reset: Whether the client reset it, which it does if it closes it with unread bytes.
        """


class PolledSocket(Protocol):
    """A client's socket, which may have events that the event loop has not read yet."""

    def was_reset(self) -> bool:
        """Return whether the client has reset its connection."""


class ResponseSink(Protocol):
    """The receiver of the final response to one request.

    Attributes:
        on_disconnect: Called once if the client disconnects before its response is sent. The dispatcher sets
            it; sending the response clears it.
        on_closed: Called once when the connection has ended, with whether the client reset it.
    """

    on_disconnect: Callable[[], None] | None
    on_closed: ClosedCallback | None

    @property
    def client_socket(self) -> PolledSocket:
        """The client's socket."""

    def send_response(self, status: int, headers: bytes, body: bytes | bytearray) -> None:
        """Send the final response.

        Args:
            status: Its status code.
            headers: Its end-to-end headers, each with its line end.
            body: Its complete body.
        """

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if the close has not been read yet."""
