"""The process of one proxy, from reading its configuration to its exit code.

It owns the signals, the exit codes and the garbage collector's settings. `proxy.proxy` builds the proxy
itself.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

from proxy.config import CachedListError, Config, ConfigError
from proxy.config_file import load
from proxy.discovery.endpoint_reader import EndpointReader
from proxy.event_log import EventLog
from proxy.json_values import EntryError
from proxy.log import configure_logging
from proxy.logged_events import ShutdownStarted
from proxy.proxy import Proxy

if TYPE_CHECKING:
    from proxy.early_signal import EarlySignal

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_CAN_NOT_LISTEN = 1
EXIT_BAD_CONFIG = 2
RESIDENT_FIELD = 1  # index of the resident pages in /proc/self/statm
TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if the system does not report it."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            resident_pages = int(statm.read().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return resident_pages * os.sysconf("SC_PAGE_SIZE")


def report_exception(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    """Report an exception in a callback, except for a client's reset while its connection is being closed.

    Args:
        loop: The event loop.
        context: The event loop's description of the error.
    """
    error = context.get("exception")
    if not (isinstance(error, OSError) and error.errno == errno.ENOTCONN):
        loop.default_exception_handler(context)


async def serve(config: Config, early_hangup: EarlySignal | None = None) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully.

    Args:
        config: The configuration.
        early_hangup: Records whether SIGHUP arrived during the start. If so, the configuration is reloaded,
            because the file may have changed since it was read.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(report_exception)
    termination_requested = asyncio.Event()
    for number in TERMINATION_SIGNALS:
        loop.add_signal_handler(number, termination_requested.set)
    proxy = Proxy(config, EventLog.from_environment(os.environ))
    loop.add_signal_handler(signal.SIGHUP, proxy.reloader.reload, os.environ)
    if early_hangup is not None and early_hangup.was_received:
        proxy.reloader.reload(os.environ)
    proxy.listener.bind()
    # The cached list may not show backends that have begun to drain, but discovery's list does. Until
    # discovery's list has arrived, or the wait for it has timed out, connections wait in the accept queue.
    await proxy.endpoints_loaded.wait()
    # The objects created so far stay until the end, so that the garbage collector need not examine them
    # again.
    gc.collect()
    gc.freeze()
    proxy.limit_memory(resident_bytes())
    listening_socket = await proxy.listener.listen()
    await termination_requested.wait()
    proxy.event_log.record(ShutdownStarted())
    await proxy.shutdown.run(listening_socket)
    if proxy.monitor.violations:
        logger.error("violations: %s", proxy.monitor.summary())
    proxy.event_log.flush()


def ignore_signals() -> None:
    """Ignore the signals that `serve` handled: a signal after the shutdown must not look like a crash.

    It must be called in the event loop. The end of the loop would otherwise restore the default action of
    these signals, which is to end the process.
    """
    loop = asyncio.get_running_loop()
    for number in (*TERMINATION_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


async def _serve_and_ignore_signals(config: Config, early_hangup: EarlySignal | None) -> None:
    await serve(config, early_hangup)
    ignore_signals()


def _check_cached_list(config: Config) -> None:
    """Check that the cached endpoint list is valid, so that an error is reported before the process listens.

    Raises:
        CachedListError: The list is invalid.
    """
    try:
        EndpointReader(config.zone_indices, config.machine_type_indices).read_list(config.cached_list)
    except EntryError as error:
        raise CachedListError(error) from error


def run(early_hangup: EarlySignal | None = None) -> int:
    """Run a proxy and return the exit code of its process.

    Args:
        early_hangup: Records whether SIGHUP arrived during the start.
    """
    try:
        config = load(os.environ)
        _check_cached_list(config)
    except ConfigError as error:
        print(f"proxy: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    configure_logging()
    try:
        asyncio.run(_serve_and_ignore_signals(config, early_hangup))
    except OSError as error:
        print(f"proxy: {config.listen}: {error}", file=sys.stderr)
        return EXIT_CAN_NOT_LISTEN
    return EXIT_OK
