"""The error by which the proxy rejects a client's request; it owns no decision about when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.errors import RowandealError

if TYPE_CHECKING:
    from http import HTTPStatus


class HttpError(RowandealError):
    """A request that the proxy answers itself, because it is malformed or can't be served.

    Attributes:
        status: The status code of the response.
        reason: One line of text without its line end: the response's body.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
