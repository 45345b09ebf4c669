"""Selects by a request's path how it is served: by the health check, by the dispatcher, or with an error.

It owns the paths and the responses of `/healthz`. Requests to be forwarded go to the dispatcher, through the
listener's `on_request`.
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
    from proxy.downstream.client_request import ClientRequest


class RoutedConnection(ResponseSink, EvictableConnection, Protocol):
    """A connection whose request is routed.

    Attributes:
        idle_timeout: Seconds without a request after which the connection is closed.
    """

    idle_timeout: float


ConnectionT = TypeVar("ConnectionT", bound=RoutedConnection)


class RequestHandler(Protocol[ConnectionT]):
    """The fields of the listener that routing uses; `Listener` documents them."""

    config: Config
    version: str
    on_request: Callable[[ClientRequest, ClassifiedRequest, ResponseSink], None]
    connections: ConnectionRegistry[ConnectionT]

    def is_healthy(self) -> bool:
        """Return whether clients should send requests to this proxy."""


def serve_request(
    request: ClientRequest, connection: ConnectionT, handler: RequestHandler[ConnectionT]
) -> None:
    """Respond to a request, or pass it on to be forwarded; its response is sent later.

    Raises:
        HttpError: The request is rejected.
    """
    path = request.target.partition(b"?")[0]
    if path == b"/healthz" and request.method == b"GET":
        _respond_to_health_check(connection, handler)
    elif path == b"/api" or path.startswith(b"/api/"):  # `/api` is for requests without a key
        if not handler.connections.admit(connection, request_complete=True):
            raise HttpError(HTTPStatus.SERVICE_UNAVAILABLE, "too many connections")
        connection.idle_timeout = timeouts.IDLE_TIMEOUT
        handler.on_request(request, classify(request, handler.config), connection)
    else:
        raise HttpError(HTTPStatus.NOT_FOUND, "no such path")


def _respond_to_health_check(connection: ConnectionT, handler: RequestHandler[ConnectionT]) -> None:
    if handler.is_healthy():
        status, health = HTTPStatus.OK, b"ok"
    else:
        status, health = HTTPStatus.SERVICE_UNAVAILABLE, b"not ready"
    connection.send_response(status, b"", b"%b\nversion %b\n" % (health, handler.version.encode()))
