"""One listening port of a registry: its connections, the HTTP of discovery, and counts of its traffic.

A client requests the endpoint list once, or opens a watch on it. A watch receives every update as one chunk
of its response, and an empty line as a heartbeat when it is idle. A port can be made to fail: it can be
closed, silent or crowded, and its connections can be reset. `registry_state` builds the messages.
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

HEARTBEAT_INTERVAL = 2.0  # seconds after the last line until a watch is sent a heartbeat
TIMER_TOLERANCE = 0.001  # seconds by which the event loop may call a timer early
MAX_REQUEST_BYTES = 4096  # bytes of a request that is not complete yet
ACCEPT_BACKLOG = 1024  # connections that can wait to be accepted
LIST_PATH = "/v1/servers"
OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
NO_WATCH = -1  # the list version of a connection without a watch


@dataclass(slots=True)
class TrafficCounts:
    """Counts of the traffic that one or more endpoints have sent.

    Attributes:
        sent_bytes: Bytes, including response heads and chunk framing.
        updates: Messages sent to watches.
        heartbeats: Heartbeats sent to watches.
        snapshots: Complete lists, sent to watches or on request.
        watches: Watches that were opened.
        list_requests: Requests for the list without a watch.
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
    """One port of a registry; its clients see the backends of its view.

    Attributes:
        state: The endpoint list, shared by all endpoints of the registry.
        port: The port to listen on; 0 for any free port, which `open` replaces by the port that it chose.
        view: The names of the backends that clients see; None for all.
        is_silent: Whether the endpoint simulates a network partition: it accepts connections, but sends
            nothing.
        response_delay: Seconds for which a new watch waits for its turn, as at a crowded service.
        counts: The traffic so far.
        connections: The open connections.
    """

    def __init__(self, state: RegistryState, port: int, view: View) -> None:
        self.state, self.port, self.view = state, port, view
        self.is_silent = False
        self.response_delay = 0.0
        self.counts = TrafficCounts()
        self.connections: set[RegistryConnection] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start listening; no effect if the endpoint is open.

        Raises:
            OSError: The port is in use.
        """
        if self._server is not None:
            return
        self._server = await asyncio.get_running_loop().create_server(
            lambda: RegistryConnection(self), HOST, self.port, backlog=ACCEPT_BACKLOG, reuse_address=True
        )
        self.port = port_of(self._server)

    def close(self) -> None:
        """Stop listening and reset all connections, as if the registry's machine had failed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections; new connections are still accepted."""
        for connection in tuple(self.connections):
            connection.abort()

    def send_updates(self) -> None:
        """Send each watch the changes since its version, unless the endpoint is silent."""
        if not self.is_silent:
            for connection in tuple(self.connections):
                connection.send_update()

    def open_watches(self) -> int:
        """Return the number of open watches."""
        return sum(connection.index != NO_WATCH for connection in self.connections)


class RegistryConnection(asyncio.Protocol):
    """One client's connection: it requests the list, or opens a watch on it.

    Attributes:
        index: The list version that the watch was last sent; `NO_WATCH` without a watch.
    """

    def __init__(self, endpoint: RegistryEndpoint) -> None:
        self._endpoint = endpoint
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._timer: asyncio.TimerHandle | None = None  # of a watch's first message, or the next heartbeat
        self._last_line_at = 0.0  # in the loop's time
        self.index = NO_WATCH

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the endpoint's set."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._endpoint.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection from the endpoint's set, and stop its timer."""
        self._endpoint.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Respond to each complete request; reset the connection if a request is too long."""
        self._buffer += data
        while END_OF_HEAD in self._buffer and not self._endpoint.is_silent:
            head, _, self._buffer = self._buffer.partition(END_OF_HEAD)
            self._respond(head)
        if len(self._buffer) > MAX_REQUEST_BYTES:
            self.abort()

    def _respond(self, head: bytes) -> None:
        request_line = head.partition(b"\r\n")[0].decode("latin-1")
        method, _, target_and_version = request_line.partition(" ")
        target = urlsplit(target_and_version.partition(" ")[0])
        query = parse_qs(target.query)
        if method != "GET" or target.path != LIST_PATH:
            self._write(NOT_FOUND)
        elif query.get("follow") == ["1"]:
            self._schedule_watch(_requested_version(query))
        else:
            self._send_list()

    def _send_list(self) -> None:
        body = self._endpoint.state.snapshot(self._endpoint.view).line
        self._endpoint.counts.list_requests += 1
        self._endpoint.counts.snapshots += 1
        self._write(OK_HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def _schedule_watch(self, since: int) -> None:
        """Start a watch, or let it wait for its turn first."""
        self._endpoint.counts.watches += 1
        delay = self._endpoint.response_delay
        if delay:
            self._timer = asyncio.get_running_loop().call_later(delay, self._start_watch, since)
        else:
            self._start_watch(since)

    def _start_watch(self, since: int) -> None:
        state = self._endpoint.state
        self._write(OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        self._send(state.resume(since, self._endpoint.view))
        self.index = state.index
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HEARTBEAT_INTERVAL, self._on_heartbeat_timer)

    def _on_heartbeat_timer(self) -> None:
        """Send a heartbeat if the watch has been idle for the interval, and restart its timer."""
        loop = asyncio.get_running_loop()
        if loop.time() - self._last_line_at >= HEARTBEAT_INTERVAL - TIMER_TOLERANCE:
            if not self._endpoint.is_silent:
                self._write_chunk(b"\n")
                self._endpoint.counts.heartbeats += 1
            self._last_line_at = loop.time()
        due_at = self._last_line_at + HEARTBEAT_INTERVAL
        self._timer = loop.call_at(due_at, self._on_heartbeat_timer)

    def send_update(self) -> None:
        """Send the changes since the watch's version, if there are any."""
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
    """Return the version that a watch resumes from; 0, which is before every version, if it names none."""
    try:
        return int(query["since"][0])
    except (KeyError, ValueError):
        return 0
