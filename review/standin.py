"""Stand-ins for clients, backends and discovery, and the start of real proxies, for the cases beside it.

It needs nothing but Python's own library. All addresses are on loopback, and all ports are free ones.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import time
import tomllib
import traceback
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
SETTINGS: dict[str, Any] = json.loads((ROOT / "review" / "settings.json").read_text())
OK = 200
END_OF_HEAD = b"\r\n\r\n"
HEARTBEAT_INTERVAL = 2.0  # seconds after which discovery sends an empty line while nothing changes
START_TIMEOUT = 20.0  # seconds until a proxy has to be ready
STOP_TIMEOUT = 10.0  # seconds until a proxy has to end after SIGTERM
KNOWN_INDEX = 41  # the version of the list with which everything starts
LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 384}  # as in the operators' reports

CASE_TIMEOUT = 95.0  # seconds after which a case ends itself, so that it leaves no process behind

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


class NotReadyError(RuntimeError):
    """A proxy was not ready in time, so that the case can't run."""


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Add one line."""
        self._file.write(f"{time.monotonic() - self._began_at:9.4f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def run_case(folder: Path, case: Callable[[Record, AsyncExitStack], Awaitable[bool]]) -> int:
    """Run a case, and return its exit code.

    Args:
        folder: The case's folder, which gets `record.txt`.
        case: Plays the case and returns whether the rule held; the stack ends all that it started.
    """
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'on' if trouble() else 'off'}")

    async def play() -> bool:
        async with AsyncExitStack() as stack, asyncio.timeout(CASE_TIMEOUT):
            return await case(record, stack)

    try:
        held = asyncio.run(play())
    except Exception:  # noqa: BLE001 - whatever keeps the case from running is reported by the exit code
        record.write(f"the case could not run: {traceback.format_exc()}")
        return NOT_RUN
    finally:
        if sys.exc_info()[0] is not None:
            record.close()
    record.write(f"result: {'the rule held' if held else 'THE RULE WAS BROKEN'}")
    record.close()
    return HELD if held else BROKEN


def trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that no process uses now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


# ---- discovery -------------------------------------------------------------------------------------


def entry(name: str, address: str, *, status: str = "in_service", since_ms: int = 0) -> dict[str, Any]:
    """Return one entry of the endpoint list."""
    return {
        "name": name,
        "address": address,
        "zone": "carnaxide",
        "type": "front-fast",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


class Discovery:
    """Discovery: a watch begins with the whole list; later each change is one line, sent at once."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self._entries = {each["name"]: each for each in entries}
        self._index = KNOWN_INDEX
        self._watches: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port until the stack ends."""
        server = await asyncio.start_server(quietly(self._serve), HOST, 0)
        stack.callback(server.close)
        self.port = server.sockets[0].getsockname()[1]

    def message(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self._index, "snapshot": True, "endpoints": list(self._entries.values())}

    def change(self, entries: list[dict[str, Any]]) -> None:
        """Apply changed entries and tell them to all watches."""
        self._index += 1
        for each in entries:
            if each["status"] == "terminated":
                self._entries.pop(each["name"], None)
            else:
                self._entries[each["name"]] = each
        line = json.dumps({"index": self._index, "snapshot": False, "endpoints": entries}).encode()
        for watch in self._watches:
            watch.write(_chunk(line + b"\n"))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(END_OF_HEAD)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(_chunk(json.dumps(self.message()).encode() + b"\n"))
        self._watches.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_INTERVAL)
                writer.write(_chunk(b"\n"))
                await writer.drain()
        finally:
            self._watches.discard(writer)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


# ---- backends --------------------------------------------------------------------------------------


@dataclass(slots=True)
class Arrival:
    """One request that a backend received completely."""

    request_id: str
    body: bytes


def answer_body(request_id: str, name: str) -> bytes:
    """Return the body that a backend makes for a request."""
    return f"answer to {request_id} from {name}".encode()


@dataclass(slots=True)
class Backend:
    """A backend: answers each request on a connection, in order, 200 after a fixed time of work.

    Attributes:
        name: Its name in the endpoint list.
        work: Seconds from the last byte of a request to its answer.
        record: Gets a line for each request and answer.
        on_answer: Called after each answer with the connection and the answer's bytes.
        arrivals: The requests so far.
        address: Where it listens.
    """

    name: str
    work: float
    record: Record
    on_answer: Callable[[asyncio.StreamWriter, bytes], None] | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    address: str = ""

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port until the stack ends."""
        server = await asyncio.start_server(quietly(self._serve), HOST, 0)
        stack.callback(server.close)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict[str, Any]:
        """Return its entry in the endpoint list."""
        return entry(self.name, self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            headers, body = await read_message(reader)
            request_id = headers["x-request-id"]
            self.arrivals.append(Arrival(request_id, body))
            self.record.write(f"{self.name} runs {request_id}")
            await asyncio.sleep(self.work)
            answer = encode_answer(answer_body(request_id, self.name))
            writer.write(answer)
            self.record.write(f"{self.name} answers {request_id}")
            if self.on_answer is not None:
                self.on_answer(writer, answer)


def encode_answer(body: bytes) -> bytes:
    """Return the bytes of a 200 answer."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


# ---- messages --------------------------------------------------------------------------------------


async def read_message(reader: asyncio.StreamReader) -> tuple[dict[str, str], bytes]:
    """Read a request or a response with a Content-Length; its first line is the header `""`."""
    head = (await reader.readuntil(END_OF_HEAD)).decode("latin-1").split("\r\n")
    headers = {"": head[0]}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers, await reader.readexactly(int(headers.get("content-length", "0")))


def encode_request(request_id: str, class_name: str, timeout: float) -> bytes:
    """Return a request as the protocol page shows it; `book` must not run twice, `view` may."""
    method, length = (b"GET", b"") if class_name == "view" else (b"POST", b"Content-Length: 0\r\n")
    return (
        b"%b /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %b\r\nX-Priority-Class: %b\r\n"
        b"X-Timeout: %.3f\r\n%b\r\n" % (method, request_id.encode(), class_name.encode(), timeout, length)
    )


@dataclass(slots=True)
class Answer:
    """A proxy's answer.

    Attributes:
        status: The status code.
        body: The body.
        closes: Whether the connection ends with it.
    """

    status: int
    body: bytes
    closes: bool


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer of a proxy.

    Raises:
        asyncio.IncompleteReadError: The connection ended before.
        OSError: The connection was reset.
    """
    headers, body = await read_message(reader)
    status = int(headers[""].split()[1])
    return Answer(status, body, headers.get("connection", "").lower() == "close")


# ---- proxies ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class Proxy:
    """A real proxy in a process of its own.

    Attributes:
        port: Where it listens.
        process: Its process.
    """

    port: int
    process: asyncio.subprocess.Process

    async def stop(self) -> None:
        """End it with SIGTERM, or with SIGKILL if that takes too long."""
        if self.process.returncode is None:
            self.process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def kill(self) -> None:
        """End it with SIGKILL."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def start_proxy(
    stack: AsyncExitStack, name: str, discovery: Discovery, settings: dict[str, Any] | None = None
) -> Proxy:
    """Start a proxy with the command of the deploy file, and wait until it is ready.

    Raises:
        NotReadyError: It was not ready in time.
    """
    folder = Path(stack.enter_context(TemporaryDirectory()))
    proxy_port = free_port()
    config = {
        "name": name,
        "listen": f"{HOST}:{proxy_port}",
        "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": LIMITS,
        "known": discovery.message(),
        "settings": settings or SETTINGS,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment | {"RELAY_CONFIG": str(path)}
    )
    proxy = Proxy(proxy_port, process)
    stack.push_async_callback(proxy.stop)
    async with asyncio.timeout(START_TIMEOUT):
        while not await _is_healthy(proxy_port):
            if process.returncode is not None:
                raise NotReadyError
            await asyncio.sleep(0.05)
    return proxy


async def _is_healthy(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    try:
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        return (await read_answer(reader)).status == OK
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


# ---- connections -----------------------------------------------------------------------------------


def quietly(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    """Return a handler of connections that ends without an error when its peer or the case ends."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await serve(reader, writer)
        writer.close()

    return handle
