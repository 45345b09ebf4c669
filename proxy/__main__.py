"""Start, signals and shutdown: `python -m proxy`."""

from __future__ import annotations

import asyncio
import gc
import os
import select
import signal
import socket
import sys
from contextlib import suppress

from proxy.config import Config, ConfigError, load
from proxy.discovery.watch import EndpointReader
from proxy.downstream.listener import Listener
from proxy.proxy import Proxy

LISTEN_LEAST, LISTEN_MOST = 0.45, 0.6  # seconds after SIGTERM in which new connections are still taken...
LISTEN_QUIET = 0.1  # ...until none has come for so long
KILL_AFTER = 0.7  # seconds after SIGTERM and the longest deadline at which SIGKILL may come...
KILL_LONGEST = 3.0  # ...the deadline counted as this where it is longer
KILL_MARGIN = 0.1  # seconds before that by which what was taken late is answered
CLOSE_AFTER = 0.02  # seconds in which what has just been accepted can still be read


async def serve(config: Config) -> None:
    """Run until SIGTERM, then finish what was taken."""
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    proxy = Proxy(config)
    front = proxy.front
    loop.add_signal_handler(signal.SIGHUP, reload, proxy)
    front.bind()
    # Guards drains from before this process: the agent has them, and the list known at the start may not.
    await proxy.loaded.wait()
    listener = await front.listen()
    gc.collect()
    gc.freeze()
    await told.wait()
    await drain(front, listener)


def reload(proxy: Proxy) -> None:
    """Read the configuration file again; one that can't be taken changes nothing, and says so in one line."""
    # The environment still names the discovery of the start: where it is now is up to the file.
    environ = {name: value for name, value in os.environ.items() if name != "RELAY_DISCOVERY"}
    try:
        lines = proxy.reload(load(environ))
    except ConfigError as fault:
        lines = [f"refused, version {proxy.front.version} stays: {fault}"]
    for line in lines:
        say(f"proxy: reload: {line}")


def say(line: str) -> None:
    """Log one line of up to 4 KiB, or drop it: a log that nobody empties must not stop the loop."""
    with suppress(OSError, ValueError):  # no file, or a closed one
        log = select.poll()
        log.register(sys.stderr.fileno(), select.POLLOUT)
        if log.poll(0):
            print(line, file=sys.stderr, flush=True)


async def drain(front: Listener, listener: socket.socket) -> None:
    """Take what is still coming, answer all that was taken, and let go of the callers."""
    loop = asyncio.get_running_loop()
    front.serving, front.draining = False, True
    # Guards what is on its way: the callers' front goes on sending connections for a moment.
    begun = loop.time()
    while (passed := loop.time() - begun) < LISTEN_MOST:
        if passed >= LISTEN_LEAST and loop.time() - front.last_accepted_at >= LISTEN_QUIET:
            break
        await asyncio.sleep(0.02)
    await front.stop_listening(listener)
    await asyncio.sleep(CLOSE_AFTER)
    # Guards requests whose last byte comes only from here on: SIGKILL may come before their time is up.
    longest = max(row.deadline for row in front.config.settings.classes)
    front.final_deadline = begun + min(longest, KILL_LONGEST) + KILL_AFTER - KILL_MARGIN
    front.stop_keepalive()
    while front.connections.open:
        await asyncio.sleep(0.01)


def main() -> int:
    """Run with the configuration that the environment names."""
    try:
        config = load(os.environ)
        EndpointReader(config.zones, config.types).check(config.known)
    except ConfigError as fault:
        print(f"proxy: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config))
    except OSError as fault:
        print(f"proxy: {config.listen[0]}:{config.listen[1]}: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
