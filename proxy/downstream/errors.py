"""The error that the clients' side raises; it owns no decision about when."""

from __future__ import annotations

from balancer.errors import RowandealError


class HttpError(RowandealError):
    """A request that the proxy answers itself, because it is malformed or can't be taken.

    Attributes:
        status: The status code of the response.
        reason: One line of text without its line end: the response's body.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
