"""The watch on discovery: follows changes, reconnects, resumes where it was."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import httptools
import orjson

from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from proxy.config import Address, ConfigError, read_address

STATES = {
    "in_service": EndpointStatus.UP,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.GONE,
}
SILENT = 2.5  # seconds without a whole line after which a watch is dead: one comes every 2 s, and within 6 s
# there has to be time for another watch that says nothing, its two pauses and a connect that times out
CONNECT = 0.25  # seconds that a connect may take: the agent is on this machine
AGAIN = 0.02  # seconds before a watch that had spoken is opened anew...
RETRY = 0.1  # ...and before another try: it costs nothing, and what an agent has on return counts at once
LINE_MOST = 4 << 20  # bytes of one line
NAMES_MOST = 4096  # names of zones, or of types, that are told apart


@dataclass(slots=True, frozen=True)
class DiscoveredEndpoint:
    """One entry of the list: what the module sees of a backend, and where it listens."""

    row: Endpoint
    address: Address


def server_id(name: str) -> int:
    """The same whole number for a name at every proxy and after every restart."""
    return int.from_bytes(name.encode(), "big")


class NameIndex:
    """Numbers of zones or types: a name keeps its own for as long as the process lives.

    Guards placement across a change of settings: rows read before it still say where they are, and a number
    never comes to mean another zone or type.
    """

    def __init__(self, names: Mapping[str, int]) -> None:
        self._numbers = dict(names)

    def of(self, name: str) -> int:
        """The number of a name, a new one at first sight; -1 beyond what memory allows for."""
        number = self._numbers.get(name)
        if number is not None:
            return number
        if len(self._numbers) >= NAMES_MOST:
            return -1
        return self._numbers.setdefault(name, max(self._numbers.values(), default=-1) + 1)


class EndpointReader:
    """Turns entries of discovery's form into endpoints; names of zones and types become numbers."""

    def __init__(self, zones: Mapping[str, int], types: Mapping[str, int]) -> None:
        self.zones, self.types = NameIndex(zones), NameIndex(types)

    def endpoint(self, entry: Mapping[str, Any]) -> DiscoveredEndpoint:
        """One entry; no class is bound to a zone or type that the settings don't name."""
        row = Endpoint(
            server_id(entry["name"]),
            STATES[entry["status"]],
            self.zones.of(entry.get("zone", "")),
            entry.get("group", 0),
            entry.get("weight", 1.0),
            entry.get("since_ms", 0) / 1000.0,
            self.types.of(entry.get("type", "")),
        )
        return DiscoveredEndpoint(row, read_address(entry["address"]))

    def endpoints(self, message: Mapping[str, Any]) -> list[DiscoveredEndpoint]:
        """All entries of a message."""
        return [self.endpoint(entry) for entry in message["endpoints"]]

    def check(self, known: Mapping[str, Any]) -> None:
        """Raise ConfigError where the list known at the start can't be read."""
        try:
            int(known["index"])
            self.endpoints(known)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise ConfigError(f"the known list can't be read: {fault!r}") from fault


class DiscoveryClient:
    """Keeps one watch open, whatever happens to it, and hands on what it tells."""

    def __init__(
        self,
        address: Address,
        reader: EndpointReader,
        index: int,
        told: Callable[[UpdateKind, list[DiscoveredEndpoint]], None],
    ) -> None:
        self._address = address
        self._reader = reader
        self._index = index
        self._told = told
        self._task: asyncio.Task[None] | None = None
        self._former: asyncio.Task[None] | None = None  # the watch at the address before, until ours tells

    def open(self) -> None:
        """Start the watch; nothing happens where it runs already."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run(self._address, self._index))

    def move(self, address: Address) -> None:
        """Watch at another address from now on; what the old one tells still counts until that has told."""
        if address == self._address:
            return
        self._address = address
        if self._task is None:
            return
        if self._former is None:
            self._former = self._task
        else:  # Guards reloads in a row: the watch between the two has told nothing yet.
            self._task.cancel()
        # Guards against a change that falls between two services: from version 0 the answer is everything.
        self._task = asyncio.get_running_loop().create_task(self._run(address, 0))

    async def _run(self, address: Address, index: int) -> None:
        watched = index
        while True:
            watch = WatchConnection(
                self.message,
                b"GET /v1/servers?follow=1&since=%d HTTP/1.1\r\nHost: %b\r\n\r\n"
                % (watched, address[0].encode()),
            )
            await self._follow(address, watch)
            watched = self._index if watch.told else watched
            await asyncio.sleep((AGAIN if watch.spoke else RETRY) * (0.5 + random.random()))

    async def _follow(self, address: Address, watch: WatchConnection) -> None:
        """One watch, until it ends."""
        try:
            async with asyncio.timeout(CONNECT):
                await asyncio.get_running_loop().create_connection(lambda: watch, *address)
            await watch.ended
        except OSError:
            return
        finally:
            watch.close()

    def message(self, watch: WatchConnection, message: Mapping[str, Any] | None) -> None:
        """One object of a watch; None tells only that it lives."""
        if watch.task is not self._task and watch.task is not self._former:
            return  # Guards the list against a watch that has been replaced and is not closed yet.
        watch.spoke = True
        if message is None:
            self._told(UpdateKind.DELTA, [])
            return
        endpoints = self._reader.endpoints(message)
        index = int(message["index"])
        former = self._former
        if former is not None and watch.task is not former:
            former.cancel()
            self._former = None
        watch.told = True
        self._index = index
        self._told(UpdateKind.SNAPSHOT if message.get("snapshot") else UpdateKind.DELTA, endpoints)


class WatchConnection(asyncio.Protocol):
    """The connection of one watch."""

    def __init__(
        self, tell: Callable[[WatchConnection, Mapping[str, Any] | None], None], request: bytes
    ) -> None:
        self._tell = tell
        self._request = request
        self._transport: asyncio.Transport | None = None
        self.task = asyncio.current_task()  # the one that keeps it
        self.spoke = False  # whether it has said anything...
        self.told = False  # ...and anything of the list
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._buffer = b""
        self._body: list[bytes] = []
        self._object = b""  # the lines of one that is not whole
        self.ended = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._silence = self._loop.call_later(SILENT, self.close)
        transport.write(self._request)

    def _heard(self) -> None:
        """A whole line has come.

        Guards against a watch that hangs on a machine that vanished: nothing else would tell. Bytes alone do
        not count: a line that trickles and never ends would hold back all changes.
        """
        self._silence.cancel()
        self._silence = self._loop.call_later(SILENT, self.close)

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        self._body.append(body)

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        if self._parser.get_status_code() > 200:  # no watch; below, the answer is still to come
            self.close()

    def on_message_complete(self) -> None:
        """Parser callback: the message is complete."""
        # Guards a list whose answer ends with it: the end stands for the line end that is missing.
        if self._body or self._buffer:
            self._body.append(b"\n")
        self.close()

    def close(self) -> None:
        """Let go of the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take what has come."""
        try:
            self._parser.feed_data(data)
            self._lines()
        except Exception as fault:  # noqa: BLE001 # Guards against a malformed list: the last one stays.
            print(f"proxy: discovery: {fault!r}", file=sys.stderr, flush=True)
            self.close()

    def _lines(self) -> None:
        if not self._body:
            return
        if self._parser.get_status_code() != 200:
            self.close()
            return
        *lines, self._buffer = b"".join([self._buffer, *self._body]).split(b"\n")
        self._body.clear()
        for text in lines:
            self._line(text)
        # Guards the memory limit against a line or an object that never ends.
        if len(self._buffer) + len(self._object) > LINE_MOST:
            raise ValueError("an object is too long")

    def _line(self, text: bytes) -> None:
        """One line: empty where nothing has changed, else an object, or part of an indented one."""
        if not text.strip():
            if self._object:
                raise ValueError("an object breaks off")
            self._heard()
            self._tell(self, None)
            return
        begins = not self._object
        self._object += text + b"\n"
        if not begins and not text.rstrip().endswith(b"}"):  # Guards the core: a list has many lines.
            return
        try:
            message = orjson.loads(self._object)
        except orjson.JSONDecodeError as fault:
            if fault.pos < len(self._object.decode().rstrip()):
                raise  # no further line mends it
            return
        self._object = b""
        self._heard()
        self._tell(self, message)

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        self._silence.cancel()
        del self._parser  # Guards memory: the parser and this object hold each other.
        if not self.ended.done():
            self.ended.set_result(None)
