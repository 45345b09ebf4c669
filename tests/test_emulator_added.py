"""The run that measures added time: its logic, without timing anything."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner
from loopback import read_message, soon

from emulator import added
from emulator.backend import ANSWER, HOST, listen, port_of
from emulator.caller import OpenLoop, Plan, Stream, Tally, arrivals, draw, encode, plan_line, read_plan
from emulator.runs.common import free_ports
from proxy.config import load


def test_arrivals_are_drawn_ahead_ascending_and_the_same_for_a_seed() -> None:
    times = arrivals(np.random.default_rng(3), 200.0, 50.0)
    assert (np.diff(times) >= 0.0).all()
    assert times[0] >= 0.0
    assert times[-1] < 50.0
    assert abs(len(times) - 10_000) < 500  # five standard deviations
    assert (times == arrivals(np.random.default_rng(3), 200.0, 50.0)).all()
    assert len(arrivals(np.random.default_rng(3), 0.0, 50.0)) == 0


def test_a_plan_interleaves_its_streams_and_survives_its_line() -> None:
    plan = Plan(7, 1.0, 9.0, [Stream("n0", [11], 50.0), Stream("direct", [21, 22], 50.0)])
    calls = draw(plan)
    assert calls == sorted(calls, key=lambda call: call.at)
    assert calls[-1].at < 10.0
    assert {(call.stream, call.port) for call in calls} == {(0, 11), (1, 21), (1, 22)}
    assert draw(read_plan(plan_line(plan).decode())) == calls


def test_the_backend_answers_one_request_after_another_on_a_connection() -> None:
    async def talk() -> None:
        [server] = await listen(1)
        reader, writer = await asyncio.open_connection(HOST, port_of(server))
        get = b"GET /api/read HTTP/1.1\r\nHost: h\r\n\r\n"
        writer.write(b"POST /api/k HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nro")
        await asyncio.sleep(0)
        writer.write(b"om" + get)
        assert [await soon(read_message(reader)) for _ in range(2)] == [ANSWER, ANSWER]
        writer.write(get.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        assert await soon(reader.read()) == ANSWER
        writer.close()
        server.close()

    asyncio.run(talk())


async def called(plan: Plan, late: float) -> OpenLoop:
    """A plan carried out that began so many seconds ago, against the stand-in backend."""
    [server] = await listen(1)
    streams = [Stream(stream.name, [port_of(server)], stream.rate) for stream in plan.streams]
    caller = OpenLoop(Plan(plan.seed, plan.warmup, plan.seconds, streams))
    await asyncio.to_thread(caller.run, time.perf_counter() - late)
    server.close()
    return caller


def test_latency_counts_from_the_intended_start_however_late_a_call_goes_out() -> None:
    plan = Plan(1, 0.1, 0.2, [Stream("n0", [0], 100.0), Stream("direct", [0], 100.0)])
    caller = asyncio.run(called(plan, late=2.0))
    drawn = draw(plan)
    for place, tally in enumerate(caller.tallies):
        mine = [call for call in drawn if call.stream == place]
        assert tally.ended == {"200": len(mine)}  # the warm-up's calls are made, and not recorded
        assert len(tally.latencies) == sum(call.at >= 0.1 for call in mine) > 0
        assert min(tally.latencies) >= (2.0 - 0.3) * 1e6


def test_calls_that_nobody_takes_are_lost_and_not_recorded() -> None:
    [port] = free_ports(1, np.random.default_rng(1))
    caller = OpenLoop(Plan(1, 0.0, 0.1, [Stream("n0", [port], 100.0)]))
    caller.run(time.perf_counter() - 1.0)
    [tally] = caller.tallies
    assert set(tally.ended) == {"lost"}
    assert not tally.latencies


def test_the_time_added_is_the_difference_of_quantiles() -> None:
    rows = encode([Tally([value + 300 for value in range(1, 1001)]), Tally(list(range(1, 1001)))])
    through, direct = (added.merged([row["histogram"]]) for row in rows)
    assert added.quantiles(direct) == {"median": 500, "p99": 990, "p999": 999, "max": 1000}
    assert added.difference(added.quantiles(through), added.quantiles(direct)) == {
        "median": 300,
        "p99": 300,
        "p999": 300,
        "max": 300,
    }
    percents, values = zip(*added.curve(direct), strict=True)
    assert percents == tuple(sorted(percents))
    assert percents[-1] == 100.0
    assert values == tuple(sorted(values))
    assert values[-1] == 1000


def test_figures_with_a_budget_are_those_of_the_trials_that_ran() -> None:
    ran = added.solo(added.AVERAGE, added.SERVICE, 2.0)
    assert added.budgeted({ran.name: {"added_us": {"all": {"p99": 1100}}}}) == {"added_p99": 1.1}


def test_histograms_of_several_proxies_count_as_one() -> None:
    rows = encode([Tally([100]), Tally([]), Tally([300, 500])])
    whole = added.merged([row["histogram"] for row in rows])
    assert whole.get_total_count() == 3
    assert added.quantiles(whole)["max"] == 500


def test_processes_get_cores_of_their_own_where_there_are_enough() -> None:
    alone = added.place([4, 5, 6], 1)
    assert alone == added.Placement(frozenset([4]), frozenset([5]), [frozenset([6])], True)
    many = added.place([1, 2, 3, 4, 5], 24)
    assert many.proxies == [frozenset([3, 4, 5])] * 24
    assert not many.own
    assert not added.place([0, 1], 1).own


def test_the_whole_run_is_planned_within_100_seconds() -> None:
    for cores in (range(8), range(4)):
        batches = added.schedule(cores)
        assert sum(added.WARMUP + batch[0].seconds + 3.0 for batch in batches) < 100.0
        assert len([trial for batch in batches for trial in batch]) == 5


def test_a_proxy_can_read_its_configuration(tmp_path: Path) -> None:
    rows = added.endpoints(added.ALL, [8001, 8002])
    path = tmp_path / "n0.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "seed": "7",
                "limits": added.LIMITS,
                "known": {"index": 1, "endpoints": rows},
                "settings": added.settings(24, 3),
            }
        )
    )
    config = load({"RELAY_CONFIG": str(path)})
    assert config.settings.fleet_size == 24
    assert config.settings.ordinal == 3
    assert config.classes == {"read": 0}
    assert len({row["name"] for row in rows}) == 910
    assert {row["address"] for row in rows} == {"127.0.0.1:8001", "127.0.0.1:8002"}


@pytest.mark.parametrize("words", [["--seed", "x"], ["--seed", "-1"], ["--nothing"], ["--out", "/dev/null"]])
def test_bad_arguments_exit_with_2(words: list[str]) -> None:
    assert CliRunner().invoke(added.command, words).exit_code == 2
