"""Responses that were sent, and whose clients may have left before they read them.

A client that closes its connection with unread bytes resets it. Such a client does not know that its request
has run. If it sends the same id again, the effect must not happen twice.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from proxy.abandoned_ids import AbandonedIds
    from proxy.response_sink import ResponseSink


class UnconfirmedResponses:
    """The latest response on each connection, until the client sends its next request or disconnects.

    Only responses to requests that must not run again are added.
    """

    def __init__(self, abandoned_ids: AbandonedIds) -> None:
        self._abandoned_ids = abandoned_ids
        self._ids: dict[ResponseSink, bytes] = {}
        self._sinks: dict[bytes, ResponseSink] = {}  # of the latest response to each id

    def add(self, response_sink: ResponseSink, request_id: bytes) -> None:
        """Record a response that was just sent."""
        self.confirm(response_sink)
        self._ids[response_sink] = request_id
        self._sinks[request_id] = response_sink
        response_sink.on_closed = partial(self._on_closed, response_sink)

    def confirm(self, response_sink: ResponseSink) -> None:
        """Record that a client has read its latest response, because it has sent another request."""
        request_id = self._ids.pop(response_sink, None)
        if request_id is None:
            return
        response_sink.on_closed = None
        if self._sinks.get(request_id) is response_sink:
            del self._sinks[request_id]

    def check(self, request_id: bytes) -> None:
        """Notice a reset that is still unread, before a request with the same id is accepted."""
        response_sink = self._sinks.get(request_id)
        if response_sink is not None and response_sink.client_socket.was_reset():
            self._on_closed(response_sink, was_reset=True)

    def _on_closed(self, response_sink: ResponseSink, *, was_reset: bool) -> None:
        request_id = self._ids.get(response_sink)
        self.confirm(response_sink)
        if was_reset and request_id is not None:
            self._abandoned_ids.add(request_id)
