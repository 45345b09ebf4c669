"""Case 6: a backend's second answer comes 12 ms late, and another client gets it as its own."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab

SECONDS = 20.0  # of traffic
PROXIES = 2
CLIENTS = 8  # of each proxy; each sends one request after the other
BACKENDS = 3
WORK = (0.04, 0.08)  # seconds that a backend takes for a request
SPOILT_SHARE = 0.1  # of the answers come twice
SECOND_ANSWER_DELAY = 0.012  # seconds from the first answer to the second
TIMEOUT = 3.0  # seconds that a client waits for each answer


class _Responder:
    """Answers with the request's id, and sends some of the answers a second time."""

    def __init__(self, record: lab.Record) -> None:
        self._record = record
        self._rng = random.Random()
        self._later: set[asyncio.Task[None]] = set()

    async def respond(self, request: lab.Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self._rng.uniform(*WORK))
        response = lab.answer(f"served {request.request_id}".encode())
        writer.write(response)
        if lab.TROUBLE and self._rng.random() < SPOILT_SHARE:
            task = asyncio.create_task(self._repeat(request.request_id, response, writer))
            self._later.add(task)
            task.add_done_callback(self._later.discard)

    async def _repeat(self, request_id: str, response: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(SECOND_ANSWER_DELAY)
        if not writer.is_closing():
            self._record(f"run    {request_id}: second answer")
            writer.write(response)


async def _send_requests(record: lab.Record, port: int, name: str, until: float) -> list[str]:
    """Send one request after the other; return the ids of those that got the answer to another one."""
    client = await lab.Client.connect(port)
    wrong: list[str] = []
    number = 0
    while time.monotonic() < until:
        number += 1
        request_id = f"{name}r{number}"
        class_name = "book" if number % 2 else "view"
        record(f"sent   {request_id} ({class_name})")
        response = await lab.exchange(client, lab.request_bytes(request_id, class_name, TIMEOUT), TIMEOUT + 1)
        if response is None:
            record(f"answer {request_id}: none")
            client.close()
            client = await lab.Client.connect(port)
            continue
        record(f"answer {request_id}: {response.status} {response.body!r}")
        if response.status == lab.OK and response.body != f"served {request_id}".encode():
            wrong.append(request_id)
            record(f"WRONG  {request_id} got {response.body!r}")
    client.close()
    return wrong


async def _play(record: lab.Record, folder: Path, proxies: list[lab.Proxy]) -> bool:
    responder = _Responder(record)
    backends = [lab.Backend(f"s-{number}", responder.respond, record) for number in range(BACKENDS)]
    await asyncio.gather(*(backend.start() for backend in backends))
    discovery = lab.Discovery(record, [backend.entry() for backend in backends])
    await discovery.start()
    proxies += [lab.Proxy(f"n{number}", folder, record) for number in range(PROXIES)]
    for number, proxy in enumerate(proxies):
        await proxy.start(discovery.port, discovery.known(), lab.SETTINGS | {"Ordinal": number})
    until = time.monotonic() + SECONDS
    clients = [
        _send_requests(record, proxy.port, f"{proxy.name}c{number}", until)
        for proxy in proxies
        for number in range(CLIENTS)
    ]
    results = await asyncio.gather(*clients)
    wrong = sum(len(each) for each in results)
    run = sum(len(backend.requests) for backend in backends)
    record.verdict(f"{run} requests run, {wrong} clients got the answer to another request")
    return wrong == 0


if __name__ == "__main__":
    lab.run_case(__file__, _play)
