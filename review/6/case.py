"""Case 6: discovery is crowded, the proxy gives up each call too early, and never learns of a drain."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab

CALL_DELAY = 3.0  # seconds that a call waits for its turn at a crowded discovery
DRAIN_AFTER = 5.0  # seconds of traffic after which a backend begins to drain
SECONDS = 25.0  # of traffic
TOLD_AFTER = 6.0  # seconds after which a change counts as told at the latest
GRACE = 0.25 + 0.05  # `DrainGrace`, and the 50 ms of the rules on sockets
WORK = 0.03  # seconds that a backend takes for a request
CLIENTS = 4
PAUSE = 0.05  # seconds between a client's requests
TIMEOUT = 3.0  # seconds that a client waits for each answer


async def _respond(request: lab.Message, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(WORK)
    writer.write(lab.answer(f"served {request.request_id}".encode()))


async def _send_requests(record: lab.Record, port: int, name: str, until: float) -> None:
    client = await lab.Client.connect(port)
    number = 0
    while time.monotonic() < until:
        number += 1
        request_id = f"{name}r{number}"
        record(f"sent   {request_id}")
        response = await lab.exchange(client, lab.request_bytes(request_id, "view", TIMEOUT), TIMEOUT + 1)
        record(f"answer {request_id}: {response.status if response else 'none'}")
        if response is None:
            client.close()
            client = await lab.Client.connect(port)
        await asyncio.sleep(PAUSE)
    client.close()


async def _play(record: lab.Record, folder: Path, proxies: list[lab.Proxy]) -> bool:
    backends = [lab.Backend(f"s-{number}", _respond, record) for number in range(3)]
    await asyncio.gather(*(backend.start() for backend in backends))
    discovery = lab.Discovery(record, [backend.entry() for backend in backends])
    await discovery.start()
    if lab.TROUBLE:
        record(f"list   discovery is crowded: each call waits for {CALL_DELAY:.1f} s")
        discovery.call_delay = CALL_DELAY
    proxies.append(lab.Proxy("n0", folder, record))
    await proxies[0].start(discovery.port, discovery.known(), lab.SETTINGS | {"RegistryMode": "on_request"})
    until = time.monotonic() + SECONDS
    port = proxies[0].port
    clients = [
        asyncio.create_task(_send_requests(record, port, f"c{each}", until)) for each in range(CLIENTS)
    ]
    await asyncio.sleep(DRAIN_AFTER)
    draining = backends[1]
    drained_at = time.monotonic()
    await discovery.change(draining.entry("terminating"))
    await asyncio.gather(*clients)
    last = max((each.began_at for each in draining.requests), default=drained_at) - drained_at
    late = [each for each in draining.requests if each.began_at > drained_at + TOLD_AFTER + GRACE]
    for request in late:
        record(f"LATE   {request.request_id} began {request.began_at - drained_at:.3f} s after the drain")
    record.verdict(
        f"last request to the draining backend {last:.2f} s after the drain, "
        f"{len(late)} of {len(draining.requests)} after {TOLD_AFTER + GRACE:.2f} s"
    )
    return not late


if __name__ == "__main__":
    lab.run_case(__file__, _play)
