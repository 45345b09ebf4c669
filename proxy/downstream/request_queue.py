"""The queue of a client's connection: received requests that wait for their turn, in order.

It owns these requests, and the number of requests whose memory was released before their response.
`connection_input` enforces the limits on the queue, and `connection` takes requests from it.
"""

from __future__ import annotations

from collections import deque
from http import HTTPStatus

from proxy.downstream.client_request import ClientRequest
from proxy.downstream.errors import HttpError

#: The response to a request that waits behind one which ends its connection: it has not run.
CONNECTION_ENDS = HttpError(HTTPStatus.SERVICE_UNAVAILABLE, "the connection ends")


class RequestQueue:
    """Requests in the order received, and behind them the error that ends the input, if any."""

    __slots__ = ("_dropped", "_items")

    def __init__(self) -> None:
        self._items: deque[ClientRequest | HttpError] = deque()
        self._dropped = 0  # requests whose memory is released, and whose response is pending

    def __len__(self) -> int:
        """Return the number of requests and errors that wait."""
        return len(self._items)

    def append(self, item: ClientRequest | HttpError) -> None:
        """Add a request, or the error that ends the input."""
        self._items.append(item)

    def pop(self) -> ClientRequest | HttpError:
        """Remove and return the first item; IndexError if there is none."""
        return self._items.popleft()

    def clear(self) -> None:
        """Drop all items: the client has disconnected, or one response is enough for all of them."""
        self._items.clear()

    def add_dropped(self, count: int) -> None:
        """Count requests that were dropped to release their memory: each still needs a response."""
        self._dropped += count

    def requests(self) -> list[ClientRequest]:
        """Return the waiting requests."""
        return [item for item in self._items if isinstance(item, ClientRequest)]

    def buffered_bytes(self) -> int:
        """Return the bytes of memory that the waiting requests use."""
        return sum(request.buffered_bytes() for request in self.requests())

    def reject_all(self, error: HttpError, waiting: int) -> list[HttpError]:
        """Drop all items, as an error ends the connection, and return the pending responses in order.

        Args:
            error: The response to the current request.
            waiting: The number of complete requests behind it.
        """
        self._items.clear()
        return [CONNECTION_ENDS] * self._dropped + [error] + [CONNECTION_ENDS] * waiting
