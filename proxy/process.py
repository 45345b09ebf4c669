"""The process of one proxy, from its configuration to its exit code.

Owns the process: its signals, its exit codes, and the garbage collector. Owns nothing of what the proxy does.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

from proxy.config import Config, ConfigError, load
from proxy.discovery.endpoint_reader import EndpointReader
from proxy.event_log import EventLog
from proxy.log import configure_logging
from proxy.logged_events import ShutdownStarted
from proxy.proxy import Proxy

if TYPE_CHECKING:
    from proxy.early_signal import EarlySignal

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_CAN_NOT_LISTEN = 1
EXIT_BAD_CONFIG = 2
TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def report_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Report a defect of a callback, but not that a client has reset a connection whose sending just ends."""
    fault = context.get("exception")
    if not (isinstance(fault, OSError) and fault.errno == errno.ENOTCONN):
        loop.default_exception_handler(context)


async def serve(config: Config, hangup: EarlySignal | None = None) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully.

    Args:
        config: The configuration.
        hangup: Whether a reload was asked for while the process started; the file may have changed since.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(report_exception)
    termination_requested = asyncio.Event()
    for number in TERMINATION_SIGNALS:
        loop.add_signal_handler(number, termination_requested.set)
    proxy = Proxy(config, EventLog.from_environment(os.environ))
    loop.add_signal_handler(signal.SIGHUP, proxy.reloader.reload, os.environ)
    if hangup is not None and hangup.was_received:
        proxy.reloader.reload(os.environ)
    proxy.listener.bind()
    # Backends may have begun to drain before this process started: discovery knows, and the list that the
    # configuration names may not. So connections wait in the accept queue until discovery's list has come.
    await proxy.endpoints_loaded.wait()
    listening_socket = await proxy.listener.listen()
    # What is there now stays: the garbage collector need not look at it again.
    gc.collect()
    gc.freeze()
    await termination_requested.wait()
    proxy.event_log.record(ShutdownStarted())
    await proxy.shutdown.run(listening_socket)
    if proxy.monitor.violations:
        logger.error("violations: %s", proxy.monitor.summary())
    proxy.event_log.flush()


def ignore_signals() -> None:
    """Ignore the signals that `serve` handled: all is done, and one that comes now must look like no crash.

    Call it in the event loop, which would else give them back their default action, to end the process.
    """
    loop = asyncio.get_running_loop()
    for number in (*TERMINATION_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


async def _serve_to_the_end(config: Config, hangup: EarlySignal | None) -> None:
    await serve(config, hangup)
    ignore_signals()


def run(hangup: EarlySignal | None = None) -> int:
    """Run a proxy and return the process's exit code; `hangup` is as for `serve`."""
    try:
        config = load(os.environ)
        EndpointReader(config.zone_indices, config.machine_type_indices).check(config.cached_list)
    except ConfigError as error:
        print(f"proxy: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    configure_logging()
    try:
        asyncio.run(_serve_to_the_end(config, hangup))
    except OSError as error:
        print(f"proxy: {config.listen}: {error}", file=sys.stderr)
        return EXIT_CAN_NOT_LISTEN
    return EXIT_OK
