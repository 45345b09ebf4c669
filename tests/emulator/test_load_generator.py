"""The schedule and the measured latencies of the load generator, and the stub backend that it uses."""

from __future__ import annotations

import asyncio
import time

import numpy as np

from emulator.load.generator import LOST, OpenLoopGenerator
from emulator.load.plan import LoadPlan, Stream, poisson_times, schedule_requests
from testbed.backend_stub import RESPONSE, listen
from testbed.http_messages import read_message
from testbed.loopback import HOST, free_ports, port_of
from tests.support.loopback import with_timeout


def test_arrival_times_ascend_within_the_plan_and_depend_only_on_the_seed() -> None:
    times = poisson_times(np.random.default_rng(3), 200.0, 50.0)
    assert (np.diff(times) >= 0.0).all()
    assert times[0] >= 0.0
    assert times[-1] < 50.0
    assert abs(len(times) - 10_000) < 500  # five standard deviations
    assert (times == poisson_times(np.random.default_rng(3), 200.0, 50.0)).all()
    assert len(poisson_times(np.random.default_rng(3), 0.0, 50.0)) == 0


def test_requests_of_all_streams_are_sorted_by_start_and_survive_the_encoding_of_the_plan() -> None:
    plan = LoadPlan(7, 1.0, 9.0, [Stream("n0", [11], 50.0), Stream("direct", [21, 22], 50.0)])
    requests = schedule_requests(plan)
    assert requests == sorted(requests, key=lambda request: request.start)
    assert requests[-1].start < 10.0
    assert {(request.stream, request.port) for request in requests} == {(0, 11), (1, 21), (1, 22)}
    assert schedule_requests(LoadPlan.from_line(plan.to_line().decode())) == requests


def test_the_stub_backend_responds_to_split_and_pipelined_requests_on_one_connection() -> None:
    async def scenario() -> None:
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

    asyncio.run(scenario())


async def run_late(plan: LoadPlan, delay: float) -> OpenLoopGenerator:
    """Carry out a plan against the stub backend, `delay` seconds after its scheduled start."""
    [server] = await listen(1)
    streams = [Stream(stream.name, [port_of(server)], stream.rate) for stream in plan.streams]
    generator = OpenLoopGenerator(LoadPlan(plan.seed, plan.warmup, plan.seconds, streams))
    await asyncio.to_thread(generator.run, time.perf_counter() - delay)
    server.close()
    return generator


def test_latency_includes_the_delay_of_requests_that_are_sent_late() -> None:
    plan = LoadPlan(1, 0.1, 0.2, [Stream("n0", [0], 100.0), Stream("direct", [0], 100.0)])
    generator = asyncio.run(run_late(plan, delay=2.0))
    scheduled = schedule_requests(plan)
    for index, tally in enumerate(generator.tallies):
        requests = [request for request in scheduled if request.stream == index]
        assert tally.outcome_counts == {"200": len(requests)}  # includes the requests of the warm-up
        assert len(tally.latencies_us) == sum(request.start >= 0.1 for request in requests) > 0
        assert min(tally.latencies_us) >= (2.0 - 0.3) * 1e6


def test_requests_to_a_closed_port_count_as_lost_and_have_no_latency() -> None:
    [port] = free_ports(1, np.random.default_rng(1))
    generator = OpenLoopGenerator(LoadPlan(1, 0.0, 0.1, [Stream("n0", [port], 100.0)]))
    generator.run(time.perf_counter() - 1.0)
    [tally] = generator.tallies
    assert set(tally.outcome_counts) == {LOST}
    assert not tally.latencies_us
