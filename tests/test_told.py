"""Every wait for discovery, on loopback sockets with the clock in hand: no sum of them passes 6 s."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest
from loopback import ManualClock, RunningProxy, free_port, running_proxy
from proxy_inputs import HOST, RAW_SETTINGS, endpoint_entry

from balancer.balancer import Balancer
from balancer.endpoints import UpdateKind
from balancer.events import Action, PollEndpoints, SetTimer
from balancer.settings import DiscoveryMode, Rules, Settings
from balancer.settings_reader import read_settings

COUNTS = 6.0  # seconds after discovery had a change, and could be reached, at which it counts as told
STEP = 0.05
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REPLACED = {"index": 9, "snapshot": True, "endpoints": [endpoint_entry("b", f"{HOST}:2")]}
TEXT = json.dumps(REPLACED).encode()
CLOSE = b"close"
DRIP = 0.5  # seconds between two bytes of what trickles


def chunk(text: bytes) -> bytes:
    """One chunk of a watch's answer."""
    return b"%x\r\n%b\r\n" % (len(text), text)


GOOD = HEAD + chunk(TEXT + b"\n")
#: What a call may meet: what it answers at once, and what it repeats every half second from then on.
FAULTS: dict[str, tuple[bytes, bytes]] = {
    "silent": (b"", b""),
    "a head alone": (HEAD, b""),
    "half a head": (HEAD[:20], b""),
    "a head that trickles": (HEAD[:-2], b"X-A: b\r\n"),
    "a line that trickles": (HEAD + chunk(b"{"), chunk(b" ")),
    "an object that trickles": (HEAD + chunk(b"{\n"), chunk(b' "index": 9,\n')),
    "another status": (b"HTTP/1.1 503 Down\r\nContent-Length: 9\r\n\r\n", b""),
    "another status, chunked": (HEAD.replace(b"200 OK", b"500 Down"), chunk(b" ")),
    "a closed connection": (CLOSE, b""),
    "an empty answer": (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b""),
    "no HTTP": (b"nonsense\r\n\r\n", b" "),
}


class Agent:
    """An agent each of whose calls meets the next of the given faults, and then what is right."""

    def __init__(self, faults: list[tuple[bytes, bytes]], good: bytes = GOOD) -> None:
        self.faults, self.good = faults, good
        self.calls = 0
        self.dripping: list[tuple[asyncio.StreamWriter, bytes]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One call."""
        await reader.readuntil(b"\r\n\r\n")
        once, again = self.faults[self.calls] if self.calls < len(self.faults) else (self.good, b"")
        self.calls += 1
        if once == CLOSE:
            writer.close()
            return
        writer.write(once)
        if again:
            self.dripping.append((writer, again))

    def drip(self) -> None:
        """Half a second has passed."""
        for writer, again in self.dripping:
            if not writer.is_closing():
                writer.write(again)


async def waited(clock: ManualClock, agent: Agent, told: Callable[[], bool]) -> float:
    """How long it takes until a change is told."""
    begun = dripped = clock.now
    while not told() and clock.now < begun + 3.0 * COUNTS:
        await clock.advance(STEP)
        if clock.now >= dripped + DRIP:
            dripped = clock.now
            agent.drip()
            await clock.settle()
    return clock.now - begun


def settings(mode: str, ask_within: float) -> Settings:
    """The usual settings, with lists pushed or asked for."""
    return read_settings(
        RAW_SETTINGS | {"RegistryMode": mode, "Rules": RAW_SETTINGS["Rules"] | {"AskEvery": ask_within}}
    )


def places(up: RunningProxy) -> list[int]:
    """The ports of the backends that a proxy knows."""
    return [known.address[1] for known in up.proxy.endpoint_table.backends.values()]


async def told_in_time(fault: str, times: int) -> None:
    """From the start so many calls fail alike; the change is told before it counts."""
    agent = Agent([FAULTS[fault]] * times)
    server = await asyncio.start_server(agent.serve, HOST, 0)
    clock = ManualClock()
    port = server.sockets[0].getsockname()[1]
    async with running_proxy([endpoint_entry("a", f"{HOST}:1")], discovery=port) as up:
        took = await waited(clock, agent, lambda: places(up) == [2])
        assert took < COUNTS, f"told after {took:.2f} s and {agent.calls} calls"
    server.close()


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("fault", FAULTS)
def test_failed_calls_from_the_start_do_not_hold_up_a_change(fault: str, times: int) -> None:
    asyncio.run(told_in_time(fault, times))


@pytest.mark.parametrize(
    "fault",
    ["another status", "another status, chunked", "a closed connection", "an empty answer", "no HTTP"],
)
def test_calls_that_fail_at_once_do_not_add_up(fault: str) -> None:
    asyncio.run(told_in_time(fault, 10))


@pytest.mark.parametrize("ends", ["silent", "a line that trickles", "an object that trickles"])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_watch_that_falls_silent_and_a_failed_call_do_not_hold_up_a_change(fault: str, ends: str) -> None:
    async def play() -> None:
        spoke = HEAD + chunk(json.dumps(REPLACED | {"index": 8, "endpoints": []}).encode() + b"\n")
        once, again = FAULTS[ends]
        agent = Agent([(spoke + once.removeprefix(HEAD), again), FAULTS[fault]])
        server = await asyncio.start_server(agent.serve, HOST, 0)
        clock = ManualClock()
        port = server.sockets[0].getsockname()[1]
        async with running_proxy([endpoint_entry("a", f"{HOST}:1")], discovery=port) as up:
            await clock.wait_until(
                lambda: not up.proxy.endpoint_table.backends
            )  # it has spoken, and says no more
            took = await waited(clock, agent, lambda: bool(up.proxy.endpoint_table.backends))
            assert took < COUNTS, f"told after {took:.2f} s and {agent.calls} calls"
        server.close()

    asyncio.run(play())


@pytest.mark.parametrize("ask_within", [2.0, 10.0, 60.0])
def test_where_lists_are_asked_for_a_failed_call_does_not_hold_up_a_change(ask_within: float) -> None:
    async def play() -> None:
        for seed in range(12):
            agent = Agent([FAULTS["silent"]])
            server = await asyncio.start_server(agent.serve, HOST, 0)
            clock = ManualClock()
            port = server.sockets[0].getsockname()[1]
            asks = settings("on_request", ask_within)
            async with running_proxy([], discovery=port, settings=asks, seed=seed) as up:
                took = await waited(clock, agent, lambda up=up: bool(up.proxy.endpoint_table.backends))  # type: ignore[misc]
                assert took < COUNTS, f"told after {took:.2f} s and {agent.calls} calls with seed {seed}"
            server.close()

    asyncio.run(play())


def test_an_agent_that_is_back_is_heard_where_lists_are_asked_for() -> None:
    async def play() -> None:
        agent, port = Agent([]), free_port()
        clock = ManualClock()
        async with running_proxy([], discovery=port, settings=settings("on_request", 60.0)) as up:
            for _ in range(60):
                await clock.advance(0.5)  # nobody is there
            server = await asyncio.start_server(agent.serve, HOST, port)
            took = await waited(clock, agent, lambda: bool(up.proxy.endpoint_table.backends))
            assert took < 0.25
            server.close()

    asyncio.run(play())


@pytest.mark.parametrize("ask_within", [0.5, 2.0, 10.0, 60.0])
def test_the_module_asks_twice_in_any_span_in_which_a_change_comes_to_count(ask_within: float) -> None:
    for seed in range(50):
        rules = Rules(poll_interval=ask_within)
        balancer = Balancer(Settings(discovery=DiscoveryMode.POLLED, rules=rules), seed)
        now = _asks(balancer, 100.0, balancer.start(100.0))
        for _ in range(12):
            now = _asks(balancer, now, balancer.on_endpoints_updated(now, UpdateKind.FAILED, []))


def _asks(balancer: Balancer, now: float, actions: list[Action]) -> float:
    """When the module calls discovery again, which is soon enough for another call."""
    [timer] = actions
    assert isinstance(timer, SetTimer)
    assert timer.at - now <= COUNTS / 2.0
    assert balancer.on_timer(timer.at, timer.token) == [PollEndpoints()]
    return timer.at


@pytest.mark.parametrize(
    "good",
    [
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + GOOD,
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + GOOD,
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b\n" % (len(TEXT) + 1, TEXT),
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(TEXT), TEXT),
        HEAD + chunk(TEXT[:9]) + chunk(TEXT[9:]) + b"0\r\n\r\n",
        HEAD + chunk(TEXT) + b"0\r\nX-A: b\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + TEXT + b"\n",
    ],
)
def test_an_answer_in_any_form_of_http_is_a_list(good: bytes) -> None:
    async def play() -> None:
        agent = Agent([], good)
        server = await asyncio.start_server(agent.serve, HOST, 0)
        clock = ManualClock()
        port = server.sockets[0].getsockname()[1]
        async with running_proxy([], discovery=port) as up:
            assert await waited(clock, agent, lambda: bool(up.proxy.endpoint_table.backends)) < COUNTS
        server.close()

    asyncio.run(play())


@pytest.mark.parametrize("index", [5, 8, 43])
def test_a_whole_list_on_return_is_all_there_is_and_changes_follow_on_it(index: int) -> None:
    async def play() -> None:
        first = REPLACED | {
            "index": 8,
            "endpoints": [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2")],
        }
        change = {"index": index + 1, "snapshot": False, "endpoints": [endpoint_entry("c", f"{HOST}:3")]}
        whole = REPLACED | {"index": index}
        spoke, back = (
            b"".join(chunk(json.dumps(one).encode() + b"\n") for one in told)
            for told in ([first], [whole, change])
        )
        agent = Agent([(HEAD + spoke, b"")], HEAD + back)
        server = await asyncio.start_server(agent.serve, HOST, 0)
        clock = ManualClock()
        port = server.sockets[0].getsockname()[1]
        async with running_proxy([], discovery=port) as up:
            await clock.wait_until(lambda: places(up) == [1, 2])  # and then it falls silent
            assert await waited(clock, agent, lambda: places(up) == [2, 3]) < COUNTS
        server.close()

    asyncio.run(play())
