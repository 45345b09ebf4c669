"""Active requests during a reload: none is lost, executed twice, or sent to a backend its class excludes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.support.config_files import BOOK_CLASS, ONCE_CLASS, READ_CLASS
from tests.support.loopback import (
    ConnectGate,
    ManualClock,
    in_event_loop,
    respond_ok,
    stay_silent,
    stub_backend,
    wait_until,
    with_timeout,
)
from tests.support.proxy_inputs import (
    NOT_PROCESSED_RESPONSE,
    OK_RESPONSE,
    endpoint_entry,
    get_request,
    post_request,
    status_of,
)
from tests.support.proxy_internals import is_receiving_response
from tests.support.reloadable_proxy import reloadable_proxy_with_backend, request_of_class

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

IDEMPOTENT = {"Repeat": "retryable"}
NON_IDEMPOTENT = {"Repeat": "fragile"}
ERROR_RESPONSE = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    "services",
    [
        [BOOK_CLASS, READ_CLASS, ONCE_CLASS | {"Name": "new"} | IDEMPOTENT],
        [READ_CLASS | {"Name": "new"}, READ_CLASS],
        [READ_CLASS | {"Name": "new"}],
    ],
)
@in_event_loop
async def test_active_request_gets_its_response_after_its_class_is_moved_or_removed(
    config_path: Path, services: list[Mapping[str, object]]
) -> None:
    async with reloadable_proxy_with_backend(config_path, stay_silent) as (proxy, backend):
        client, other = await proxy.connect(), await proxy.connect()
        client.writer.write(post_request(1))
        await with_timeout(backend.received.get())
        proxy.reload(Services=services)
        assert status_of(await other.request(request_of_class("once", 2))) == 400  # the class is removed
        other = await proxy.connect()
        other.writer.write(request_of_class("new", 3))
        assert b"id3" in await with_timeout(backend.received.get())
        for writer in backend.writers:
            writer.write(OK_RESPONSE)
        assert status_of(await client.response()) == 200 == status_of(await other.response())
        has_book_class = any(service["Name"] == "book" for service in services)
        backend.script = respond_ok
        assert status_of(await client.request(post_request(4))) == (200 if has_book_class else 400)


@pytest.mark.parametrize(
    ("make_request", "services"),
    [
        (post_request, [READ_CLASS, BOOK_CLASS | IDEMPOTENT]),  # only the new class allows a retry
        (get_request, [READ_CLASS | NON_IDEMPOTENT, BOOK_CLASS]),  # only the old class allows a retry
        (post_request, [READ_CLASS]),  # the class is removed
    ],
)
@pytest.mark.parametrize("failure", ["connection closed", "error response"])
@in_event_loop
async def test_request_that_may_have_been_executed_is_neither_retried_nor_rejected(
    config_path: Path,
    make_request: Callable[[int], bytes],
    services: list[Mapping[str, object]],
    failure: str,
) -> None:
    async with (
        stub_backend(respond_ok) as other_backend,
        reloadable_proxy_with_backend(config_path, stay_silent) as (proxy, backend),
    ):
        client = await proxy.connect()
        client.writer.write(make_request(1))
        await with_timeout(backend.received.get())
        proxy.notify([endpoint_entry("b", other_backend.address)])
        proxy.reload(Services=services)
        if failure == "connection closed":
            backend.writers[0].close()
        else:
            backend.writers[0].write(ERROR_RESPONSE)
        assert status_of(await client.response()) == 502
        assert other_backend.received.empty()


@in_event_loop
async def test_unexecuted_request_is_retried_after_its_class_is_removed(config_path: Path) -> None:
    async with (
        stub_backend(respond_ok) as other_backend,
        reloadable_proxy_with_backend(config_path, stay_silent) as (proxy, backend),
    ):
        client = await proxy.connect()
        client.writer.write(post_request(1))
        await with_timeout(backend.received.get())
        proxy.notify([endpoint_entry("b", other_backend.address)])
        proxy.reload(Services=[READ_CLASS])
        backend.writers[0].write(NOT_PROCESSED_RESPONSE)
        assert status_of(await client.response()) == 200


@in_event_loop
async def test_slow_response_is_awaited_after_the_class_stops_allowing_retries(config_path: Path) -> None:
    def send_partial_response(_request: bytes) -> bytes:
        return OK_RESPONSE[:-2]

    clock = ManualClock()
    async with reloadable_proxy_with_backend(config_path, send_partial_response) as (proxy, backend):
        client = await proxy.connect()
        client.writer.write(get_request(1))
        active_requests = proxy.dispatcher.active_requests
        await clock.wait_until(lambda: any(map(is_receiving_response, active_requests.values())))
        proxy.reload(Services=[READ_CLASS | NON_IDEMPOTENT])
        await clock.advance(1.0)
        backend.writers[0].write(OK_RESPONSE[-2:])
        assert status_of(await client.response()) == 200


@in_event_loop
async def test_queued_request_is_classified_by_the_new_configuration(config_path: Path) -> None:
    async with reloadable_proxy_with_backend(config_path, stay_silent) as (proxy, backend):
        client = await proxy.connect()
        queued = request_of_class("book", 2) + request_of_class("book", 3, "POST")
        client.writer.write(post_request(1) + queued)
        await with_timeout(backend.received.get())
        proxy.reload(Services=[READ_CLASS, BOOK_CLASS | IDEMPOTENT])
        backend.script = respond_ok
        backend.writers[0].write(OK_RESPONSE)
        assert [status_of(await client.response()) for _ in range(3)] == [200, 200, 400]


@in_event_loop
async def test_active_request_gets_its_response_after_its_tenant_is_moved_and_removed(
    config_path: Path,
) -> None:
    new_tenant = {"Name": "new", "AllowancePerS": 9.0}
    async with reloadable_proxy_with_backend(config_path, stay_silent) as (proxy, backend):
        client, other = await proxy.connect(), await proxy.connect()
        client.writer.write(get_request(1))
        await with_timeout(backend.received.get())
        proxy.reload(Orgs=[new_tenant, {"Name": "acme", "AllowancePerS": 5.0}])
        backend.script = respond_ok
        assert status_of(await other.request(get_request(2, X_Tenant_Id="new"))) == 200
        assert status_of(await other.request(get_request(3))) == 200
        assert [int(tokens) for tokens in proxy.balancer.tenant_quotas.tokens] == [45, 0]
        proxy.reload(Orgs=[new_tenant])
        assert status_of(await other.request(get_request(4))) == 400
        backend.writers[0].write(OK_RESPONSE)
        assert status_of(await client.response()) == 200


@in_event_loop
async def test_unsent_attempt_is_not_sent_to_a_backend_that_its_class_no_longer_allows(
    config_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with (
        stub_backend(respond_ok) as other_backend,
        reloadable_proxy_with_backend(config_path, respond_ok) as (proxy, backend),
    ):
        client = await proxy.connect()
        gate = ConnectGate(monkeypatch)
        client.writer.write(post_request(1))
        await wait_until(lambda: gate.blocked == 1)
        in_other_zone = endpoint_entry("b", other_backend.address) | {"zone": "there"}
        proxy.notify([in_other_zone])
        proxy.reload(Services=[READ_CLASS, BOOK_CLASS | {"AllowedIn": [1]}])
        gate.release()
        assert status_of(await client.response()) == 200
        assert b"id1" in await with_timeout(other_backend.received.get())
        assert backend.received.empty()
