"""The listening side of a control machine: one port with its connections, and the traffic it sends.

It owns the HTTP of discovery's protocol (a list on request, a watch with heartbeats) and the ways in which
a port can fail: closed, silent, connections reset. What is sent is decided in `registry_state`.
"""

from __future__ import annotations

import asyncio
import operator
from dataclasses import astuple, dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from testbed.http_messages import END_OF_HEAD, encode_chunk
from testbed.loopback import HOST, port_of

if TYPE_CHECKING:
    from testbed.discovery.registry_state import EncodedUpdate, RegistryState, View

HEARTBEAT_INTERVAL = 2.0  # seconds without a change after which an empty line is due
TIMER_TOLERANCE = 0.001  # seconds by which a timer may be early
MAX_REQUEST_BYTES = 4096  # of a request's head
ACCEPT_BACKLOG = 1024
LIST_PATH = "/v1/servers"
OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
NO_WATCH = -1  # the version of a connection that doesn't watch


@dataclass(slots=True)
class TrafficCounts:
    """What was sent at some endpoints.

    Attributes:
        sent_bytes: Bytes, heads and framing included.
        updates: Messages sent in watches.
        heartbeats: Empty lines.
        snapshots: Complete lists, in watches and on request.
        watches: Watches opened.
        list_requests: Lists requested without a watch.
    """

    sent_bytes: int = 0
    updates: int = 0
    heartbeats: int = 0
    snapshots: int = 0
    watches: int = 0
    list_requests: int = 0

    def __add__(self, other: TrafficCounts) -> TrafficCounts:
        return TrafficCounts(*map(operator.add, astuple(self), astuple(other)))


class RegistryEndpoint:
    """One port of a control machine, whose clients see the backends of its view.

    Attributes:
        port: The port that it listens on; 0 before the first `open` if any free one was asked for.
        is_silent: Whether it is cut off: it accepts connections, but sends nothing.
    """

    def __init__(self, state: RegistryState, port: int, view: View) -> None:
        self.state, self.port, self.view = state, port, view
        self.is_silent = False
        self.counts = TrafficCounts()
        self.connections: set[RegistryConnection] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start listening, unless it listens already.

        Raises:
            OSError: The port is taken.
        """
        if self._server is not None:
            return
        self._server = await asyncio.get_running_loop().create_server(
            lambda: RegistryConnection(self), HOST, self.port, backlog=ACCEPT_BACKLOG, reuse_address=True
        )
        self.port = port_of(self._server)

    def close(self) -> None:
        """Stop listening and reset all connections, as the loss of the machine does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections; new ones are accepted."""
        for connection in tuple(self.connections):
            connection.abort()

    def send_updates(self) -> None:
        """Send each watch what it hasn't been sent yet, unless the endpoint is cut off."""
        if not self.is_silent:
            for connection in tuple(self.connections):
                connection.send_update()

    def open_watches(self) -> int:
        """Count the connections that watch now."""
        return sum(connection.index != NO_WATCH for connection in self.connections)


class RegistryConnection(asyncio.Protocol):
    """One client's connection: it requests the list, or a watch on it.

    Attributes:
        index: The version that this watch has been sent; `NO_WATCH` where it is none.
    """

    def __init__(self, endpoint: RegistryEndpoint) -> None:
        self._endpoint = endpoint
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._last_line_at = 0.0  # in the loop's time
        self.index = NO_WATCH

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the endpoint."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._endpoint.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Leave the endpoint and stop the heartbeats."""
        self._endpoint.connections.discard(self)
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Answer each complete request; a head that grows too long resets the connection."""
        self._buffer += data
        while END_OF_HEAD in self._buffer and not self._endpoint.is_silent:
            head, _, self._buffer = self._buffer.partition(END_OF_HEAD)
            self._answer(head)
        if len(self._buffer) > MAX_REQUEST_BYTES:
            self.abort()

    def _answer(self, head: bytes) -> None:
        request_line = head.partition(b"\r\n")[0].decode("latin-1")
        method, _, target_and_version = request_line.partition(" ")
        target = urlsplit(target_and_version.partition(" ")[0])
        query = parse_qs(target.query)
        if method != "GET" or target.path != LIST_PATH:
            self._write(NOT_FOUND)
        elif query.get("follow") == ["1"]:
            self._start_watch(_requested_version(query))
        else:
            self._send_list()

    def _send_list(self) -> None:
        body = self._endpoint.state.snapshot(self._endpoint.view).line
        self._endpoint.counts.list_requests += 1
        self._endpoint.counts.snapshots += 1
        self._write(OK_HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def _start_watch(self, since: int) -> None:
        state = self._endpoint.state
        self._endpoint.counts.watches += 1
        self._write(OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        self._send(state.resume(since, self._endpoint.view))
        self.index = state.index
        loop = asyncio.get_running_loop()
        self._heartbeat_timer = loop.call_later(HEARTBEAT_INTERVAL, self._on_heartbeat_timer)

    def _on_heartbeat_timer(self) -> None:
        """Send a heartbeat if the watch has been idle for long enough, and restart the watch's one timer."""
        loop = asyncio.get_running_loop()
        if loop.time() - self._last_line_at >= HEARTBEAT_INTERVAL - TIMER_TOLERANCE:
            if not self._endpoint.is_silent:
                self._write_chunk(b"\n")
                self._endpoint.counts.heartbeats += 1
            self._last_line_at = loop.time()
        due_at = self._last_line_at + HEARTBEAT_INTERVAL
        self._heartbeat_timer = loop.call_at(due_at, self._on_heartbeat_timer)

    def send_update(self) -> None:
        """Send what this watch hasn't been sent yet."""
        state = self._endpoint.state
        if self.index in (NO_WATCH, state.index):
            return
        update = state.pending_update(self.index, self._endpoint.view)
        self.index = state.index
        if update is not None:
            self._send(update)

    def _send(self, update: EncodedUpdate) -> None:
        self._endpoint.counts.updates += 1
        self._endpoint.counts.snapshots += update.is_snapshot
        self._write_chunk(update.line)

    def _write_chunk(self, line: bytes) -> None:
        self._last_line_at = asyncio.get_running_loop().time()
        self._write(encode_chunk(line))

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._endpoint.counts.sent_bytes += len(data)
            self._transport.write(data)


def _requested_version(query: dict[str, list[str]]) -> int:
    """Return the version that a watch asks to resume from; 0, before all of them, where it names none."""
    try:
        return int(query["since"][0])
    except (KeyError, ValueError):
        return 0
