"""Reads the headers of a request that the balancer needs: its class, tenant, timeout and cost.

It owns the rules for these headers. The `balancer` package decides on the request, and `request_parser`
enforces the general rules of HTTP.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from balancer.settings import Idempotency, RequestClass
from proxy.downstream.errors import HttpError

if TYPE_CHECKING:
    from proxy.config import Config
    from proxy.downstream.client_request import ClientRequest

DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
REQUEST_ID = re.compile(rb"[0-9A-Za-z._-]{1,64}")
MICROSECONDS_PER_SECOND = 1e6

#: For each kind of class: the method of its requests, and whether they need an idempotency key.
METHOD_RULES = {
    Idempotency.IDEMPOTENT: (b"GET", False),
    Idempotency.KEYED: (b"POST", True),
    Idempotency.NON_IDEMPOTENT: (b"POST", False),
}


@dataclass(slots=True)
class ClassifiedRequest:
    """The properties of a request that the balancer needs.

    Attributes:
        class_index: The index of its class in the settings that it was classified by.
        tenant_index: The index of its tenant in those settings; 0 if they list no tenants.
        timeout: Seconds from its first byte within which the client needs the response.
        cost: The client's estimate of the work in seconds; 0 if it gives none.
        is_retry: Whether the client has sent the same request before.
        request_class: The class at `class_index`.
    """

    class_index: int
    tenant_index: int
    timeout: float
    cost: float
    is_retry: bool
    request_class: RequestClass


def classify(request: ClientRequest, config: Config) -> ClassifiedRequest:
    """Read the properties of a request that the balancer needs from its headers.

    Raises:
        HttpError: A required header is missing, malformed, or names a class or tenant that is not configured.
    """
    header = request.headers.get
    if not REQUEST_ID.fullmatch(header(b"x-request-id", b"")):
        raise HttpError(HTTPStatus.BAD_REQUEST, "no request id, or a malformed one")
    class_index = config.class_indices.get(header(b"x-priority-class", b"").decode("latin-1"))
    if class_index is None:
        raise HttpError(HTTPStatus.BAD_REQUEST, "unknown class")
    request_class = config.settings.classes[class_index]
    method, needs_key = METHOD_RULES[request_class.idempotency]
    if request.method != method or (needs_key and not header(b"idempotency-key")):
        raise HttpError(HTTPStatus.BAD_REQUEST, "the method does not fit the class")
    tenant_index: int | None = 0
    if config.tenant_indices:
        tenant_index = config.tenant_indices.get(header(b"x-tenant-id", b"").decode("latin-1"))
    if tenant_index is None:
        raise HttpError(HTTPStatus.BAD_REQUEST, "unknown tenant")
    timeout = header(b"x-timeout", b"")
    if not DECIMAL.fullmatch(timeout):
        raise HttpError(HTTPStatus.BAD_REQUEST, "the time is malformed")
    cost = header(b"x-cost", b"")
    return ClassifiedRequest(
        class_index,
        tenant_index,
        # No client waits longer than the deadline of its class. With a longer timeout, a timer and the memory
        # of the request would stay in use for nothing.
        min(float(timeout), request_class.deadline),
        float(cost) / MICROSECONDS_PER_SECOND if DECIMAL.fullmatch(cost) else 0.0,
        header(b"x-retried") == b"1",
        request_class,
    )
