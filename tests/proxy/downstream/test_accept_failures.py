"""Connections are served after accept(2) failed for a short time with an error that Linux documents."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import TYPE_CHECKING, Any

import pytest

from proxy.proxy import Proxy
from tests.support.client_scenarios import RawClient
from tests.support.loopback import (
    ManualClock,
    RunningProxy,
    in_event_loop,
    proxy_with_backends,
    respond_ok,
    stub_backend,
)
from tests.support.proxy_inputs import endpoint_entry, post_request, proxy_config

if TYPE_CHECKING:
    from collections.abc import Callable

RESOURCE_ERRORS = [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM]  # of the system or the process
ACCEPT_ERRORS = [errno.ECONNABORTED, errno.EPROTO, *RESOURCE_ERRORS]  # the first two concern one connection
MAX_DELAY = 0.02  # seconds by which the failures may delay a connection
FAILURES = 3  # consecutive calls that fail


class FailingAccept:
    """Makes accept(2) fail on the listening socket of one proxy.

    Attributes:
        failures: The number of next calls that fail.
        calls: The number of calls so far.
    """

    def __init__(self, proxy: RunningProxy, error: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.failures = FAILURES
        self.calls = 0
        accept = socket.socket.accept

        def fail_at_first(sock: socket.socket) -> Any:
            if sock.getsockname()[1] != proxy.port:
                return accept(sock)
            self.calls += 1
            if self.failures:
                self.failures -= 1
                raise OSError(error, os.strerror(error))
            return accept(sock)

        monkeypatch.setattr(socket.socket, "accept", fail_at_first)


@pytest.mark.parametrize("error", RESOURCE_ERRORS)
@in_event_loop
async def test_connections_after_a_failed_accept_are_accepted_within_milliseconds(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock()
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        FailingAccept(proxy, error, monkeypatch)
        clients = []
        for number in range(3):
            clients.append(RawClient(proxy))
            clients[-1].sock.sendall(post_request(number))
            started_at = clock.now
            while backend.received.qsize() <= number:
                assert clock.now < started_at + MAX_DELAY, "the connection is not accepted"
                await clock.settle()
                await clock.advance(0.002)
        for client in clients:
            client.disconnect("close")


@in_event_loop
async def test_accepting_that_keeps_failing_is_retried_at_a_bounded_rate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = ManualClock()
    async with proxy_with_backends(respond_ok) as (proxy, _):
        accepting = FailingAccept(proxy, errno.EMFILE, monkeypatch)
        accepting.failures = 1 << 30
        client = RawClient(proxy)
        for _ in range(100):
            await clock.advance(0.01)
        assert accepting.calls <= 100
        accepting.failures = 0
        client.disconnect("close")


@pytest.mark.parametrize("error", ACCEPT_ERRORS)
@in_event_loop
async def test_shutdown_accepts_the_queued_connections_after_a_failed_accept(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with stub_backend(respond_ok) as backend:
        clock = ManualClock()
        proxy = Proxy(proxy_config([endpoint_entry("a", backend.address)]))
        sock = await proxy.listener.listen()
        asyncio.get_running_loop().remove_reader(sock.fileno())  # new connections stay in the accept queue
        running = RunningProxy(proxy, sock.getsockname()[1])
        clients = [RawClient(running) for _ in range(3)]
        for number, client in enumerate(clients):
            client.sock.sendall(post_request(number))
        FailingAccept(running, error, monkeypatch)
        await proxy.listener.stop_listening(sock)
        await clock.settle()
        assert len(proxy.listener.connections.open) == 3
        for client in clients:
            client.disconnect("close")
        await clock.settle()
        proxy.listener.stop_keepalive()


@pytest.mark.parametrize("error", ACCEPT_ERRORS)
@in_event_loop
async def test_failed_accept_is_logged_in_one_line(
    error: int, monkeypatch: pytest.MonkeyPatch, log_lines: Callable[[], list[str]]
) -> None:
    clock = ManualClock()
    async with proxy_with_backends(respond_ok) as (proxy, [backend]):
        FailingAccept(proxy, error, monkeypatch)
        client = RawClient(proxy)
        client.sock.sendall(post_request())
        while backend.received.empty():
            await clock.settle()
            await clock.advance(0.002)
        [line] = log_lines()
        assert line.startswith(f"proxy: accept: {os.strerror(error)}")
        client.disconnect("close")
