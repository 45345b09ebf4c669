"""Parts that the cases of the second review share: a small deployment on loopback, and a record of it.

The proxy is the project's own program, started by the `run` of the deploy file. Backends, discovery and
clients are stand-ins in the process of the case; they behave as the pages describe a sound one, unless the
case changes them. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_LIMIT = 30.0  # seconds within which a proxy has to be ready
STOP_LIMIT = 8.0  # seconds from SIGTERM to SIGKILL
CASE_LIMIT = 110.0  # seconds for a whole case
HEARTBEAT_INTERVAL = 2.0  # seconds between two empty lines of a watch
END_OF_HEAD = b"\r\n\r\n"
OK = 200
PORTS = range(20000, 30000)  # below those that the system usually gives to outgoing connections

#: The settings of `WIRE-rowandeal.md`, for the first tier and two proxies.
SETTINGS: dict[str, Any] = {
    "Bounds": {
        "Cancel": True,
        "ConnIdle": 60.0,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 400000,
        "DialTimeout": 0.25,
        "MaxAttempts": 6,
        "MaxRetryAfter": 2.5,
        "MaxStreams": 100,
        "MostHeld": 20000,
        "Peers": False,
        "Probes": True,
        "RetryAfter": True,
        "SecondCopies": True,
    },
    "ClientHabits": {"MarksRetry": True},
    "FamilyInfo": {"PassesDeadline": True},
    "Goal": {"Whole": 0.75, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.05},
    "HostTypes": ["front-fast", "front-slow"],
    "Instances": 2,
    "Ordinal": 0,
    "Orgs": [],
    "OverShareWorth": 0.1,
    "Period": 0.005,
    "RegistryMode": "pushed",
    "Report": {"Fields": ["rif", "lat_ms"], "Via": "pull"},
    "Rules": {
        "AskEvery": 10.0,
        "Cold": 9.0,
        "ColdFrom": 0.32,
        "DrainGrace": 0.25,
        "FallMultiple": 3.0,
        "GraceToAnswer": 0.02,
        "TipAfter": 2.0,
    },
    "ServiceType": "chain",
    "Services": [
        {
            "Aim": 2.5,
            "Credit": 2.0,
            "Group": "all",
            "HardLimit": 6.0,
            "LateWorth": 0.25,
            "Name": "view",
            "Repeat": "retryable",
            "Streaming": False,
            "Window": 5.0,
        },
        {
            "Aim": 3.0,
            "Credit": 6.0,
            "Group": "all",
            "HardLimit": 7.5,
            "LateWorth": 0.2,
            "Name": "book",
            "Repeat": "fragile",
            "Streaming": False,
            "Window": 5.0,
        },
    ],
    "Tier": 0,
    "Tiers": ["front", "core"],
    "ValueBy": "request",
    "WeightSource": "rough",
    "Zone": 0,
    "Zones": ["carnaxide"],
}


class CaseError(RuntimeError):
    """The case could not run."""


class Record:
    """The file that shows what was sent, answered and run; times count from the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Add one line, and show it."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def verdict(self, text: str) -> None:
        """Add a line of the result, and print it."""
        self(text)
        print(text, flush=True)


# ---- messages ---------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Message:
    """One HTTP message.

    Attributes:
        start: The first line.
        headers: The headers by their names in lower case.
        body: The body.
        began_at: When its first byte was read, on the monotonic clock.
        ended_at: When its last byte was read.
    """

    start: str
    headers: dict[str, str]
    body: bytes
    began_at: float
    ended_at: float

    @property
    def status(self) -> int:
        """The status code of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def request_id(self) -> str:
        """The request id of a request."""
        return self.headers.get("x-request-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a Content-Length.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the message was whole.
        ConnectionError: The connection was reset.
    """
    first = await reader.readexactly(1)
    began_at = time.monotonic()
    head = first + await reader.readuntil(END_OF_HEAD)
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body, began_at, time.monotonic())


def answer(body: bytes, status: str = "200 OK") -> bytes:
    """Return the bytes of a whole answer."""
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)


def request_bytes(request_id: str, class_name: str, timeout: float, body: bytes = b"room 12") -> bytes:
    """Return the bytes of a request: GET for the class `view`, POST for `book`."""
    method, sent_body = ("GET", b"") if class_name == "view" else ("POST", body)
    length = f"Content-Length: {len(sent_body)}\r\n" if sent_body else ""
    head = (
        f"{method} /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {class_name}\r\nX-Timeout: {timeout:.3f}\r\n{length}\r\n"
    )
    return head.encode() + sent_body


# ---- stand-ins --------------------------------------------------------------------------------------------


Respond = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Backend:
    """One backend: it records each request, and leaves the answer to `respond`.

    Attributes:
        name: Its name in discovery's list.
        respond: Answers a request.
        record: The case's record.
        requests: All requests whose last byte has come.
        port: The port on which it listens.
    """

    name: str
    respond: Respond
    record: Record
    requests: list[Message] = field(default_factory=list)
    port: int = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=256)
        self.port = server.sockets[0].getsockname()[1]
        self._server = server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                self.requests.append(request)
                self.record(f"run    {self.name} {request.request_id} ({request.start})")
                await self.respond(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    def entry(self, status: str = "in_service") -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": "carnaxide",
            "type": "front-fast",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }


class Discovery:
    """Discovery's agent: whole lists, changes after a version, and an empty line every 2 s.

    Attributes:
        port: The port on which it listens.
        call_delay: Seconds that a call waits for its turn; 0 unless the case makes discovery crowded.
        index: The version of the list.
    """

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.port = 0
        self.call_delay = 0.0
        self.index = 1
        self._record = record
        self._entries = {entry["name"]: (1, entry) for entry in entries}
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, Any]:
        """Return the whole list, as a configuration file has it."""
        entries = [entry for _, entry in self._entries.values()]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    async def change(self, entry: dict[str, Any]) -> None:
        """Change the entry of one backend, and tell it to the open watches."""
        self.index += 1
        self._entries[entry["name"]] = (self.index, entry)
        self._record(f"list   version {self.index}: {entry['name']} is {entry['status']}")
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ended: asyncio.Future[bytes] | None = None
        try:
            head = (await reader.readuntil(END_OF_HEAD)).decode("latin-1")
            target = head.split(" ")[1]
            self._record(f"list   call {target}")
            ended = asyncio.ensure_future(reader.read())
            await self._answer(target, writer, ended)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            if ended is not None:
                self._record("list   call ended")
                ended.cancel()
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter, ended: asyncio.Future[bytes]) -> None:
        """Answer a watch until its connection ends."""
        if self.call_delay:
            await asyncio.wait([ended], timeout=self.call_delay)
        if ended.done():
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        since = int(target.partition("since=")[2] or 0)
        is_first = True
        while not ended.done():
            changed = [entry for version, entry in self._entries.values() if version > since]
            message = {"index": self.index, "snapshot": is_first and since == 0, "endpoints": changed}
            if is_first or changed:
                line = json.dumps(message).encode() + b"\n"
                self._record(f"list   told version {self.index}")
            else:
                line = b"\n"
            is_first, since = False, self.index
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
            await self._wait_for_change(since, ended)

    async def _wait_for_change(self, since: int, ended: asyncio.Future[bytes]) -> None:
        """Wait for a change, the time of the next empty line, or the end of the connection."""
        async with self._changed:
            changed = asyncio.ensure_future(
                self._changed.wait_for(lambda: self.index > since or ended.done())
            )
            try:
                await asyncio.wait_for(changed, HEARTBEAT_INTERVAL)
            except TimeoutError:
                return


# ---- the proxy and its clients ----------------------------------------------------------------------------


def free_port() -> int:
    """Return a port of the loopback address that is free, and that the system gives to no connection.

    Raises:
        CaseError: There is none.
    """
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((HOST, port))
            return port
    error = "no port is free"
    raise CaseError(error)


class Proxy:
    """One proxy: a process that the deploy file's `run` starts.

    Attributes:
        name: Its name.
        port: The port of its clients.
        process: The process; None before the start.
    """

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name = name
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self._folder, self._record = folder, record

    async def start(
        self,
        discovery_port: int,
        known: dict[str, Any],
        settings: dict[str, Any],
        *,
        sockets: int = 384,
        memory_mb: int = 80,
    ) -> None:
        """Start the process, and wait until `/healthz` answers 200.

        Args:
            discovery_port: The port of discovery.
            known: The list in the configuration.
            settings: The settings in the configuration.
            sockets: The limit on descriptors; the default is that of the reports of lisboa-central.
            memory_mb: The limit on memory in MB; the default is that of the same reports.

        Raises:
            CaseError: The proxy does not become ready.
        """
        content = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known,
            "settings": settings,
        }
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(content), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        unset = ("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_EVENT_LOG")
        environ = {name: value for name, value in os.environ.items() if name not in unset}
        log = (self._folder / f"{self.name}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy["run"],
            cwd=ROOT,
            env=environ | {"RELAY_CONFIG": str(path), "TMPDIR": str(self._folder)},
            stdout=log,
            stderr=log,
        )
        log.close()
        await self._wait_until_ready()
        self._record(f"proxy  {self.name} is ready")

    async def _wait_until_ready(self) -> None:
        due_at = time.monotonic() + START_LIMIT
        while time.monotonic() < due_at and self.process is not None and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await Client.connect(self.port)
                client.writer.write(b"GET /healthz HTTP/1.1\r\nHost: proxy.local\r\n\r\n")
                status = (await read_message(client.reader)).status
                client.close()
                if status == OK:
                    return
            await asyncio.sleep(0.05)
        error = f"{self.name} is not ready: {self.log()!r}"
        raise CaseError(error)

    async def stop(self) -> None:
        """End the process: SIGTERM, then SIGKILL."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), STOP_LIMIT)
        except TimeoutError:
            process.kill()
            await process.wait()

    def log(self) -> str:
        """Return what the process has written to its log."""
        return (self._folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")


@dataclass(slots=True)
class Client:
    """A client's connection to a proxy."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Connect to a proxy."""
        return cls(*await asyncio.open_connection(HOST, port))

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def exchange(client: Client, data: bytes, limit: float) -> Message | None:
    """Send one request, and return its answer; None if there was no whole one within `limit` seconds."""
    try:
        client.writer.write(data)
        return await asyncio.wait_for(read_message(client.reader), limit)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return None


# ---- running a case ---------------------------------------------------------------------------------------

Play = Callable[[Record, Path, list[Proxy]], Coroutine[Any, Any, bool]]


async def _run(play: Play, record: Record, folder: Path) -> bool:
    proxies: list[Proxy] = []
    try:
        return await asyncio.wait_for(play(record, folder, proxies), CASE_LIMIT)
    finally:
        await asyncio.gather(*(proxy.stop() for proxy in proxies))
        for proxy in proxies:
            for line in proxy.log().splitlines():
                record(f"log    {proxy.name}: {line}")


def run_case(file: str, play: Play) -> None:
    """Run a case and exit with its code.

    Args:
        file: The file of the case; the record is written beside it.
        play: Plays the case, adds the proxies that it starts to the list, and returns whether the rule held.
    """
    record = Record(Path(file).resolve().parent)
    record(f"case   {'with' if TROUBLE else 'without'} the disruption")
    try:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(_run(play, record, Path(folder)))
    except (CaseError, OSError, TimeoutError) as error:
        record.verdict(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.verdict("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(HELD if held else BROKEN)
