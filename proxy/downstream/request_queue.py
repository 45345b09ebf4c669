"""The requests of one client's connection that have been read and wait for their turn, in order.

It owns them, their memory, and how many were forgotten for want of it. Which limits there are, and when a
request's turn comes, is `connection`'s.
"""

from __future__ import annotations

from collections import deque

from proxy.downstream.errors import HttpError
from proxy.downstream.request_parser import ClientRequest

#: The answer to a request that waits behind one which ends its connection: it has not run.
CONNECTION_ENDS = HttpError(503, "the connection ends")


class RequestQueue:
    """Requests in the order in which they came, and behind them the error that ends the input, if any."""

    __slots__ = ("_forgotten", "_items")

    def __init__(self) -> None:
        self._items: deque[ClientRequest | HttpError] = deque()
        self._forgotten = 0  # requests that are owed an answer, and whose bytes are not held any more

    def __len__(self) -> int:
        """Return how many requests and errors wait."""
        return len(self._items)

    def append(self, item: ClientRequest | HttpError) -> None:
        """Add a request, or the error that nothing follows."""
        self._items.append(item)

    def pop(self) -> ClientRequest | HttpError:
        """Take the first one; IndexError where nothing waits."""
        return self._items.popleft()

    def clear(self) -> None:
        """Drop all that waits: nobody is there to be answered, or one answer stands for all."""
        self._items.clear()

    def forget_requests(self, has_incomplete: bool) -> None:
        """Drop the requests but for their number: each is owed an answer.

        Args:
            has_incomplete: Whether a part of a further request has come. The error that ends the input is its
                answer; else it is that of the last request dropped here.
        """
        self._forgotten += len(self._items) - (not has_incomplete)
        self._items.clear()

    def requests(self) -> list[ClientRequest]:
        """Return the requests that wait."""
        return [item for item in self._items if isinstance(item, ClientRequest)]

    def buffered_bytes(self) -> int:
        """Return the bytes that all of them hold."""
        return sum(request.buffered_bytes() for request in self.requests())

    def take_answers(self, error: HttpError) -> list[HttpError]:
        """Return the answers that are owed where an error ends the connection, in order, and drop all.

        Args:
            error: The answer to the request whose turn it is.
        """
        answers = [CONNECTION_ENDS] * self._forgotten + [error] + [CONNECTION_ENDS] * len(self.requests())
        self._items.clear()
        return answers
