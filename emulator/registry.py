"""A stand-in of discovery: one control machine that tells its part of the fleet (PROTOCOL, Discovery).

Several instances hold one state: each is told the same changes under the same versions (`State.change`).
A door is a port with what is told there: all rows, or a view of some. What can be cut is a door.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from emulator.topology import Entry

HOST = "127.0.0.1"
BEAT = 2.0  # seconds without a change after which an empty line is due
KEPT = 4096  # changed entries that a watch can resume over
REQUEST_MOST = 4096  # bytes of a request's head
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


@dataclass(slots=True)
class Counts:
    """What went out at some doors; `sent` is in bytes, heads and framing included."""

    sent: int = 0
    lines: int = 0  # objects told in watches
    beats: int = 0  # empty lines
    wholes: int = 0  # whole lists, in watches and on request
    watches: int = 0  # watches begun
    requests: int = 0  # lists asked for without a watch

    def add(self, other: Counts) -> None:
        """Add another's."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class State:
    """The list, its version, and the last changes of it; what is told of it is encoded once for a view."""

    def __init__(self, entries: Iterable[Entry], index: int = 1) -> None:
        self.index = index
        self._entries = {entry["name"]: entry for entry in entries}
        self._log: deque[tuple[int, Entry]] = deque()
        self._oldest = index  # the oldest version from which the log tells all...
        self._resumable = index  # ...and that a new watch may resume from
        self._encoded: dict[tuple[frozenset[str] | None, int], bytes | None] = {}

    def change(self, index: int, entries: list[Entry]) -> None:
        """Take in one version's entries; ValueError where it isn't newer than the one held."""
        if index <= self.index:
            raise ValueError(f"version {index} is not newer than {self.index}")
        for entry in entries:
            if entry["status"] == "terminated":
                self._entries.pop(entry["name"], None)
            else:
                self._entries[entry["name"]] = entry
            self._log.append((index, entry))
        while len(self._log) > KEPT:
            self._oldest = self._log.popleft()[0]
        self.index = index
        self._encoded.clear()

    def forget(self) -> None:
        """Lose the log, as a restart does: whoever resumes from here or before gets the whole list."""
        self._log.clear()
        self._oldest, self._resumable = self.index, self.index + 1
        self._encoded.clear()

    def whole(self, view: frozenset[str] | None) -> bytes:
        """The whole list as one line of JSON, of the names in the view (None: all)."""
        return self._object(True, [e for e in self._entries.values() if view is None or e["name"] in view])

    def resume(self, index: int, view: frozenset[str] | None) -> tuple[bytes, bool]:
        """What a new watch from that version is told first, and whether that is the whole list."""
        if index < self._resumable:
            return self.whole(view), True
        return self.since(index, view)[:2]

    def since(self, index: int, view: frozenset[str] | None) -> tuple[bytes, bool, bool]:
        """What changed after that version as a line; whether it is the whole list; whether it has entries."""
        if not self._oldest <= index <= self.index:
            return self.whole(view), True, True
        latest: dict[str, Entry] = {}
        for at, entry in reversed(self._log):
            if at <= index:
                break
            if view is None or entry["name"] in view:
                latest.setdefault(entry["name"], entry)
        return self._object(False, list(latest.values())[::-1]), False, bool(latest)

    def _object(self, snapshot: bool, entries: list[Entry]) -> bytes:
        return orjson.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries}) + b"\n"

    def told(self, door: Door, index: int) -> tuple[bytes | None, bool]:
        """What the watches of a door that stand at that version are told now; None where it is nothing."""
        key = (door.view, index)
        if key not in self._encoded:
            line, _, any_ = self.since(index, door.view)
            self._encoded[key] = line if any_ else None
        return self._encoded[key], not self._oldest <= index


class Door:
    """One port: who connects there is told the rows of its view. It can be shut or fall silent."""

    def __init__(self, registry: Registry, port: int, view: frozenset[str] | None) -> None:
        self.registry, self.port, self.view = registry, port, view
        self.silent = False
        self.counts = Counts()
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen; OSError where the port is taken."""
        if self._server is None:
            loop = asyncio.get_running_loop()
            self._server = await loop.create_server(
                lambda: Connection(self), HOST, self.port, backlog=1024, reuse_address=True
            )
            self.port = int(self._server.sockets[0].getsockname()[1])

    def shut(self) -> None:
        """A lost machine's process: connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.drop()

    def drop(self) -> None:
        """Reset all connections; new ones are taken."""
        for connection in tuple(self.connections):
            connection.abort()


class Connection(asyncio.Protocol):
    """One connection to a door: a list on request, or a watch."""

    def __init__(self, door: Door) -> None:
        self._door = door
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._beat: asyncio.TimerHandle | None = None
        self._wrote = 0.0  # when the last line went out, in the loop's time
        self.index = -1  # the version that this watch has been told; -1: no watch

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._door.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        self._door.connections.discard(self)
        if self._beat is not None:
            self._beat.cancel()

    def abort(self) -> None:
        """Reset it."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take what has come."""
        self._buffer += data
        while b"\r\n\r\n" in self._buffer and not self._door.silent:
            head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            self._asked(head)
        if len(self._buffer) > REQUEST_MOST:
            self.abort()

    def _asked(self, head: bytes) -> None:
        method, _, rest = head.partition(b"\r\n")[0].decode("latin-1").partition(" ")
        target = urlsplit(rest.partition(" ")[0])
        query = parse_qs(target.query)
        if method != "GET" or target.path != "/v1/servers":
            self._write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        if query.get("follow") != ["1"]:
            body = self._door.registry.state.whole(self._door.view)
            self._door.counts.requests += 1
            self._door.counts.wholes += 1
            self._write(HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        try:
            since = int(query["since"][0])
        except (KeyError, ValueError):
            since = 0
        self._follow(since)

    def _follow(self, since: int) -> None:
        state, counts = self._door.registry.state, self._door.counts
        line, whole = state.resume(since, self._door.view)
        counts.watches += 1
        counts.wholes += whole
        self._write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        self.index = state.index
        self._line(line)
        counts.lines += 1
        self._beat = asyncio.get_running_loop().call_later(BEAT, self._due)

    def _due(self) -> None:
        """An empty line where nothing was said for long enough; one timer a watch, however much it tells."""
        loop = asyncio.get_running_loop()
        if loop.time() - self._wrote >= BEAT - 0.001:
            if not self._door.silent:
                self._line(b"\n")
                self._door.counts.beats += 1
            self._wrote = loop.time()
        self._beat = loop.call_at(self._wrote + BEAT, self._due)

    def tell(self) -> None:
        """What this watch has not been told."""
        state = self._door.registry.state
        if self.index < 0 or self.index == state.index:
            return
        line, whole = state.told(self._door, self.index)
        self.index = state.index
        if line is not None:
            self._door.counts.lines += 1
            self._door.counts.wholes += whole
            self._line(line)

    def _line(self, line: bytes) -> None:
        self._wrote = asyncio.get_running_loop().time()
        self._write(b"%x\r\n%b\r\n" % (len(line), line))

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._door.counts.sent += len(data)
            self._transport.write(data)


class Registry:
    """One control machine: a state, its doors, and what it spends."""

    def __init__(self, entries: Iterable[Entry], index: int = 1) -> None:
        self.state = State(entries, index)
        self.doors: dict[str, Door] = {}

    async def open(self, name: str, port: int = 0, view: Iterable[str] | None = None) -> int:
        """Open a door under a name, or open one again that was shut; the port it listens at.

        `view` holds the names of the backends that are told there (None: all). OSError where the port is
        taken.
        """
        if name not in self.doors:
            self.doors[name] = Door(self, port, None if view is None else frozenset(view))
        door = self.doors[name]
        door.silent = False
        await door.open()
        return door.port

    async def open_all(self, doors: Iterable[tuple[str, int, list[str] | None]]) -> None:
        """Open doors, each with its name, port and view."""
        for name, port, view in doors:
            await self.open(name, port, view)

    def change(self, index: int, entries: list[Entry]) -> float:
        """Take in a change and tell all watches; when that was begun, on the machine's monotonic clock."""
        begun = time.monotonic()
        self.state.change(index, entries)
        for door in self.doors.values():
            if not door.silent:
                for connection in tuple(door.connections):
                    connection.tell()
        return begun

    def shut(self, names: Iterable[str]) -> None:
        """Doors whose machine is lost: their watches are reset, and connections refused."""
        for name in names:
            self.doors[name].shut()

    def silence(self, names: Iterable[str]) -> None:
        """Doors beyond a cut: open connections say nothing more, new ones are never answered."""
        for name in names:
            self.doors[name].silent = True

    def heal(self, names: Iterable[str]) -> None:
        """The cut's end: what hung is reset, new connections are served."""
        for name in names:
            self.doors[name].silent = False
            self.doors[name].drop()

    def drop(self, names: Iterable[str], forget: bool = False) -> None:
        """Reset the watches of doors; with `forget`, those that come back get the whole list."""
        if forget:
            self.state.forget()
        for name in names:
            self.doors[name].drop()

    def spent(self) -> dict[str, Any]:
        """Bytes, messages, watches open now, and this process's processor time in seconds since its start."""
        total = Counts()
        for door in self.doors.values():
            total.add(door.counts)
        return {
            **{name: getattr(total, name) for name in Counts.__slots__},
            "open": sum(c.index >= 0 for door in self.doors.values() for c in door.connections),
            "processor": time.process_time(),
        }

    def door(self, name: str) -> dict[str, int]:
        """What went out at one door."""
        return {key: getattr(self.doors[name].counts, key) for key in Counts.__slots__}

    def close(self) -> None:
        """Shut every door."""
        self.shut(tuple(self.doors))
