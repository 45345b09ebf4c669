"""What a hollow proxy's control costs beside a real one's: the same events at four of each, side by side."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import numpy as np

from emulator import topology
from emulator.child import Child
from emulator.hollow import Host
from emulator.meter import MB, Usage, of, total
from emulator.registry import HOST, Registry
from emulator.result import write_result
from emulator.runs.common import (
    CHANGES_PER_DAY,
    SECONDS_PER_DAY,
    RunOptions,
    RunResult,
    free_ports,
    report_progress,
)
from emulator.runs.endpoint_changes import EndpointChanges
from emulator.runs.pacing import evenly_spaced

PROXIES = 4
RATE = 10.0  # changes a second: each is taken in alone
READY = 15.0  # seconds in which the real ones watch
SETTLE = 1.0  # seconds after which what was told has been taken in
NOTE = (
    "a hollow proxy has no connections of callers and backends, so it does not sweep them, keeps no "
    "addresses of backends, and shares its interpreter's memory with the others of its process"
)
ROOT = Path(__file__).parent.parent.parent


def config(fleet: topology.Topology, place: int, listen: int, discovery: int) -> dict[str, Any]:
    """The configuration of one real proxy, as in DEPLOY."""
    return {
        "name": fleet.entries[place]["name"],
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery}",
        "seed": f"{fleet.seed + place:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "snapshot": True, "endpoints": []},
        "settings": topology.settings(fleet, place),
    }


@contextmanager
def real_proxies(fleet: topology.Topology, ports: list[int], discovery: int) -> Iterator[list[int]]:
    """One real proxy for each port, by its process id; they end with the block."""
    running: list[subprocess.Popen[bytes]] = []
    clean = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    with TemporaryDirectory() as folder:
        try:
            for place, port in enumerate(ports):
                file = Path(folder) / f"{place}.json"
                file.write_text(json.dumps(config(fleet, place, port, discovery)), encoding="utf-8")
                running.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "proxy"],
                        cwd=ROOT,
                        env=clean | {"RELAY_CONFIG": str(file)},
                        stdin=subprocess.DEVNULL,
                        stdout=subprocess.DEVNULL,
                        stderr=subprocess.DEVNULL,
                    )
                )
            yield [process.pid for process in running]
        finally:
            for process in running:
                process.kill()
                process.wait()


class _Pair:
    """The two groups, and what each event costs them."""

    def __init__(self, registry: Child, real: list[int], hollow: Child) -> None:
        self._registry, self._real, self._hollow = registry, real, hollow

    def _reading(self) -> dict[str, tuple[Usage, int]]:
        return {
            "real": (total(self._real), self._registry.call("door", "real")["sent"]),
            # The same instrument for both: from outside, not the process's own clock.
            "hollow": (of(self._hollow.pid), self._registry.call("door", "hollow")["sent"]),
        }

    def measure(self, act: Callable[[], int]) -> dict[str, Any]:
        """Processor time and bytes for a proxy and event; `act` returns how many events it made."""
        before, begun = self._reading(), time.monotonic()
        events = act()
        time.sleep(SETTLE)
        after = self._reading()
        found: dict[str, Any] = {"events": events, "seconds": time.monotonic() - begun}
        for group in ("real", "hollow"):
            (old, sent), (new, sent_now) = before[group], after[group]
            found[group] = {
                "processor": (new.processor - old.processor) / events / PROXIES,
                "bytes": (sent_now - sent) / events / PROXIES,
            }
        found["difference_percent"] = {
            figure: _difference(found["hollow"][figure], found["real"][figure])
            for figure in ("processor", "bytes")
        }
        return found


def net_of_idle(event: dict[str, Any], idle: dict[str, Any]) -> None:
    """Add to an event what it cost beyond as much time with empty lines alone, and the difference in that."""
    for group in ("real", "hollow"):
        still = idle[group]["processor"] / idle["seconds"] * event["seconds"] / event["events"]
        event[group]["processor_net"] = event[group]["processor"] - still
    event["difference_percent"]["processor_net"] = _difference(
        event["hollow"]["processor_net"], event["real"]["processor_net"]
    )


def _difference(hollow: float, real: float) -> float | None:
    """By how many percent the hollow figure is above the real one; None where there is nothing to compare."""
    return 100.0 * (hollow - real) / real if real else None


def run(options: RunOptions) -> RunResult:
    """Changes of one row, whole lists and empty lines at both groups; writes hollow.json."""
    begun = time.monotonic()
    seconds, wholes, idle = (1.5, 3, 2.0) if options.quick else (15.0, 20, 10.0)
    rng = np.random.default_rng(options.seed)
    fleet = topology.build(options.seed)
    changed = EndpointChanges(fleet.entries, rng)
    ports = free_ports(PROXIES + 2, rng)
    with ExitStack() as stack:
        registry = stack.enter_context(Child(Registry, fleet.entries))
        registry.call("open_all", [("real", ports[0], None), ("hollow", ports[1], None)])
        real = stack.enter_context(real_proxies(fleet, ports[2:], ports[0]))
        hollow = stack.enter_context(Child(Host, options.seed, topology.BACKENDS))
        added = hollow.call("add", [(place, ports[1]) for place in range(PROXIES)])
        hollow.call("freeze")
        _watching(registry)
        time.sleep(SETTLE)
        report_progress("hollow", f"{PROXIES} real and {PROXIES} hollow proxies watch")
        pair, index = _Pair(registry, real, hollow), 1

        def changes() -> int:
            nonlocal index
            for _ in evenly_spaced(RATE, seconds):
                index += 1
                registry.call("change", index, [changed.change_any()])
            return index - 1

        def whole_lists() -> int:
            for number in range(wholes):
                registry.call("drop", ["real", "hollow"], True)
                time.sleep(0.3)
                _watching(registry, number + 2)
            return wholes

        def empty_lines() -> int:
            time.sleep(idle)
            return 1

        events = {
            "change": pair.measure(changes),
            "whole_list": pair.measure(whole_lists),
            "idle": pair.measure(empty_lines),
        }
        memory = {
            "real_mb": total(real).memory / PROXIES / MB,
            "hollow_mb": added["memory"] / PROXIES / MB,
            "hollow_process_mb": of(hollow.pid).memory / MB,
        }
    for name in ("change", "whole_list"):
        net_of_idle(events[name], events["idle"])
    for name, event in events.items():
        apart = {figure: round(value or 0.0, 1) for figure, value in event["difference_percent"].items()}
        report_progress("hollow", f"{name}: hollow beside real, in percent: {apart}")
    share = events["idle"]["real"]["processor"] / events["idle"]["seconds"]
    share += CHANGES_PER_DAY / SECONDS_PER_DAY * events["change"]["real"]["processor"]
    figures = {"memory": memory["real_mb"], "processor_mean": 100.0 * share}
    body = {
        "quick": options.quick,
        "rows": topology.BACKENDS,
        "proxies": PROXIES,
        "events": events,
        "memory": memory,
        "figures": figures,
        "note": NOTE,
        "duration": time.monotonic() - begun,
    }
    return RunResult(figures, write_result(options.result_name("hollow"), options.seed, body, options.out))


def _watching(registry: Child, wholes: int = 1) -> None:
    """Wait until all of both groups watch and have had so many whole lists; RuntimeError if not soon."""
    end = time.monotonic() + READY
    while any(registry.call("door", name)["wholes"] < PROXIES * wholes for name in ("real", "hollow")):
        if time.monotonic() > end:
            raise RuntimeError("a proxy does not watch")
        time.sleep(0.05)
