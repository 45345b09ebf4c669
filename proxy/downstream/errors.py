"""The error that rejects a client's request with a status and a reason."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.errors import RowandealError

if TYPE_CHECKING:
    from http import HTTPStatus


class HttpError(RowandealError):
    """A client's request that the proxy rejects, because it is malformed or can't be served.

    Attributes:
        status: The status code of the response.
        reason: One line of text without its line end: the response's body.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
