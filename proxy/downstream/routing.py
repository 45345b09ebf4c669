"""Decides by a request's path who answers it: the health check, the dispatcher, or an error.

It owns the paths and what `/healthz` shows. Everything else about a request to be forwarded is up to the
dispatcher, through the listener's `on_request`.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol, TypeVar

from proxy.downstream import timeouts
from proxy.downstream.classification import ClassifiedRequest, classify
from proxy.downstream.errors import HttpError
from proxy.downstream.eviction import ConnectionRegistry, EvictableConnection
from proxy.response_sink import ResponseSink

if TYPE_CHECKING:
    from collections.abc import Callable

    from proxy.config import Config
    from proxy.downstream.request_parser import ClientRequest


class RoutedConnection(ResponseSink, EvictableConnection, Protocol):
    """A connection whose request is routed.

    Attributes:
        idle_timeout: Seconds without a request after which it is closed.
    """

    idle_timeout: float


ConnectionT = TypeVar("ConnectionT", bound=RoutedConnection)


class RequestHandler(Protocol[ConnectionT]):
    """What answers requests: the listener, which documents each of these."""

    config: Config
    version: str
    on_request: Callable[[ClientRequest, ClassifiedRequest, ResponseSink], None]
    connections: ConnectionRegistry[ConnectionT]

    def is_healthy(self) -> bool:
        """Return whether clients should send requests to this proxy."""


def serve_request(
    request: ClientRequest, connection: ConnectionT, handler: RequestHandler[ConnectionT]
) -> None:
    """Answer a request, or forward it and have it answered later.

    Raises:
        HttpError: The request is rejected.
    """
    path = request.target.partition(b"?")[0]
    if path == b"/healthz" and request.method == b"GET":
        _respond_to_health_check(connection, handler)
    elif path == b"/api" or path.startswith(b"/api/"):  # a request without a key has no last path segment
        if not handler.connections.admit(connection, request_complete=True):
            raise HttpError(HTTPStatus.SERVICE_UNAVAILABLE, "too many connections")
        connection.idle_timeout = timeouts.IDLE_TIMEOUT
        handler.on_request(request, classify(request, handler.config), connection)
    else:
        raise HttpError(HTTPStatus.NOT_FOUND, "no such path")


def _respond_to_health_check(connection: ConnectionT, handler: RequestHandler[ConnectionT]) -> None:
    if handler.is_healthy():
        status, verdict = HTTPStatus.OK, b"ok"
    else:
        status, verdict = HTTPStatus.SERVICE_UNAVAILABLE, b"not ready"
    connection.send_response(status, b"", b"%b\nversion %b\n" % (verdict, handler.version.encode()))
