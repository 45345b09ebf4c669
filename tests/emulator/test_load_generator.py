"""The load generator keeps to its schedule, and the stub backend answers it."""

from __future__ import annotations

import asyncio
import time

import numpy as np

from emulator.load.generator import LOST, OpenLoopGenerator
from emulator.load.plan import LoadPlan, Stream, poisson_times, schedule_calls
from testbed.backend_stub import RESPONSE, listen
from testbed.http_messages import read_message
from testbed.loopback import HOST, free_ports, port_of
from tests.support.loopback import with_timeout


def test_arrivals_are_drawn_ahead_ascending_and_the_same_for_a_seed() -> None:
    times = poisson_times(np.random.default_rng(3), 200.0, 50.0)
    assert (np.diff(times) >= 0.0).all()
    assert times[0] >= 0.0
    assert times[-1] < 50.0
    assert abs(len(times) - 10_000) < 500  # five standard deviations
    assert (times == poisson_times(np.random.default_rng(3), 200.0, 50.0)).all()
    assert len(poisson_times(np.random.default_rng(3), 0.0, 50.0)) == 0


def test_a_plan_interleaves_its_streams_and_survives_its_line() -> None:
    plan = LoadPlan(7, 1.0, 9.0, [Stream("n0", [11], 50.0), Stream("direct", [21, 22], 50.0)])
    calls = schedule_calls(plan)
    assert calls == sorted(calls, key=lambda call: call.at)
    assert calls[-1].at < 10.0
    assert {(call.stream, call.port) for call in calls} == {(0, 11), (1, 21), (1, 22)}
    assert schedule_calls(LoadPlan.from_line(plan.to_line().decode())) == calls


def test_the_backend_answers_one_request_after_another_on_a_connection() -> None:
    async def talk() -> None:
        [server] = await listen(1)
        reader, writer = await asyncio.open_connection(HOST, port_of(server))
        get = b"GET /api/read HTTP/1.1\r\nHost: h\r\n\r\n"
        writer.write(b"POST /api/k HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nro")
        await asyncio.sleep(0)
        writer.write(b"om" + get)
        assert [await with_timeout(read_message(reader)) for _ in range(2)] == [RESPONSE, RESPONSE]
        writer.write(get.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        assert await with_timeout(reader.read()) == RESPONSE
        writer.close()
        server.close()

    asyncio.run(talk())


async def carry_out(plan: LoadPlan, delay: float) -> OpenLoopGenerator:
    """Carry out a plan that began `delay` seconds ago, against the stub backend."""
    [server] = await listen(1)
    streams = [Stream(stream.name, [port_of(server)], stream.rate) for stream in plan.streams]
    generator = OpenLoopGenerator(LoadPlan(plan.seed, plan.warmup, plan.seconds, streams))
    await asyncio.to_thread(generator.run, time.perf_counter() - delay)
    server.close()
    return generator


def test_latency_counts_from_the_scheduled_start_however_late_a_call_is_sent() -> None:
    plan = LoadPlan(1, 0.1, 0.2, [Stream("n0", [0], 100.0), Stream("direct", [0], 100.0)])
    generator = asyncio.run(carry_out(plan, delay=2.0))
    scheduled = schedule_calls(plan)
    for index, tally in enumerate(generator.tallies):
        calls = [call for call in scheduled if call.stream == index]
        assert tally.ended == {"200": len(calls)}  # the warm-up's calls are made, and not recorded
        assert len(tally.latencies_us) == sum(call.at >= 0.1 for call in calls) > 0
        assert min(tally.latencies_us) >= (2.0 - 0.3) * 1e6


def test_calls_to_a_closed_port_are_lost_and_not_recorded() -> None:
    [port] = free_ports(1, np.random.default_rng(1))
    generator = OpenLoopGenerator(LoadPlan(1, 0.0, 0.1, [Stream("n0", [port], 100.0)]))
    generator.run(time.perf_counter() - 1.0)
    [tally] = generator.tallies
    assert set(tally.ended) == {LOST}
    assert not tally.latencies_us
