"""What ends a proxy, on loopback sockets: the crossings of SIGTERM's drain with what callers do."""

from __future__ import annotations

import asyncio

import pytest
from loopback import Client, ManualClock, stub_backend
from proxy_inputs import HOST, OK_RESPONSE, endpoint_entry, get_request, post_request, proxy_config, status_of

from proxy.proxy import Proxy

KILL = 3.0 + 0.7  # seconds after SIGTERM at which SIGKILL may come, by the protocol


class Ending:
    """A proxy that drains as time is moved on."""

    def __init__(self, address: str) -> None:
        self.clock = ManualClock()
        self.begun = self.clock.now
        self.proxy = Proxy(proxy_config([endpoint_entry("a", address)]))

    async def client(self) -> Client:
        """A connection to it."""
        opening = asyncio.ensure_future(asyncio.open_connection(HOST, self.port))
        await self.clock.wait_until(opening.done)
        return Client(*opening.result())

    async def listen(self) -> None:
        """Serve."""
        self.listener = await self.proxy.listener.listen()
        self.port = self.listener.getsockname()[1]

    async def term(self) -> None:
        """SIGTERM has come."""
        self.begun = self.clock.now
        self.drained = asyncio.create_task(self.proxy.shutdown.run(self.listener))
        await self.clock.settle()

    async def past(self, seconds: float) -> None:
        """Let time pass until so long after SIGTERM."""
        while self.clock.now < self.begun + seconds:
            await self.clock.advance(0.02)

    async def end(self) -> None:
        """Let time pass until nothing is left."""
        while not self.drained.done():
            assert self.clock.now < self.begun + KILL + 1.0, "the proxy does not end"
            await self.clock.advance(0.02)
        await self.drained


async def answered(ending: Ending, client: Client) -> bytes:
    """The next answer, which comes without any more time."""
    answer = asyncio.ensure_future(client.response())
    await ending.clock.wait_until(answer.done)
    return answer.result()


def test_a_request_that_becomes_whole_late_in_a_drain_is_answered_before_sigkill() -> None:
    async def play() -> None:
        async with stub_backend(lambda _: None) as one:
            ending = Ending(one.address)
            await ending.listen()
            client = await ending.client()
            client.writer.write(post_request()[:-2])
            await ending.clock.wait_until(lambda: bool(ending.proxy.listener.connections.reading))
            await ending.term()
            await ending.past(1.5)
            client.writer.write(post_request()[-2:])
            await ending.clock.wait_until(lambda: one.received.qsize() == 1)
            await ending.past(KILL)
            assert status_of(await answered(ending, client)) == 504
            await ending.end()

    asyncio.run(play())


@pytest.mark.parametrize("state", ["dialling", "sent", "half answered", "half read", "queued"])
def test_a_drain_answers_what_was_taken_and_lets_go(state: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with stub_backend(lambda _: OK_RESPONSE[:-2] if state == "half answered" else None) as one:
            ending = Ending(one.address)
            await ending.listen()
            client, idle = await ending.client(), await ending.client()
            loop = asyncio.get_running_loop()
            connect, gate = loop.create_connection, asyncio.Event()

            async def slow(*args: object, **more: object) -> object:
                await gate.wait()
                return await connect(*args, **more)  # type: ignore[call-overload]

            if state == "dialling":
                monkeypatch.setattr(loop, "create_connection", slow)
            request = post_request(1)
            if state == "queued":
                request += get_request(2)
            client.writer.write(request[:-2] if state == "half read" else request)
            if state == "dialling":
                await ending.clock.wait_until(lambda: bool(ending.proxy.dispatcher.active_requests))
            elif state == "half read":
                await ending.clock.wait_until(lambda: bool(ending.proxy.listener.connections.reading))
            else:
                await ending.clock.wait_until(lambda: one.received.qsize() == 1)
            await ending.term()
            await ending.past(0.7)
            left = asyncio.ensure_future(idle.reader.read())
            await ending.clock.wait_until(left.done)  # nothing can come on it any more
            assert left.result() == b""
            assert not ending.drained.done()
            gate.set()
            if state == "half read":
                client.writer.write(request[-2:])
            await ending.clock.wait_until(lambda: one.received.qsize() == 1)
            one.writers[0].write(OK_RESPONSE[-2:] if state == "half answered" else OK_RESPONSE)
            answer = await answered(ending, client)
            if state == "queued":  # what came behind it before the end is owed an answer too
                assert status_of(answer) == 200
                assert b"Connection: close\r\n" not in answer
                client.writer.write(get_request(3))  # what comes now is not taken any more
                await ending.clock.settle()
                await ending.clock.advance(0.02)  # the connection has rested
                await ending.clock.wait_until(lambda: one.received.qsize() == 2)
                one.writers[0].write(OK_RESPONSE)
                answer = await answered(ending, client)
            assert status_of(answer) == 200
            assert b"Connection: close\r\n" in answer
            await ending.end()
            assert not ending.proxy.dispatcher.active_requests
            assert one.received.qsize() == (2 if state == "queued" else 1)

    asyncio.run(play())
