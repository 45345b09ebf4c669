"""Load balancing for services that call services: a library without I/O of its own (sans-I/O).

`Balancer` processes events and returns the actions to carry out; `settings`, `endpoints` and `events` define
the types of its interface.
"""

from balancer.balancer import Balancer
from balancer.circuit_breaker import CircuitBreaker
from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.errors import InvalidValueError, RowandealError
from balancer.events import (
    Action,
    CancelAttempt,
    Fail,
    IncomingRequest,
    MisplacedAttempt,
    Outcome,
    PollEndpoints,
    Reject,
    RejectReason,
    SendRejection,
    SetTimer,
    StartAttempt,
)
from balancer.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

__all__ = [
    "Action",
    "Balancer",
    "CancelAttempt",
    "CircuitBreaker",
    "DeduplicationScope",
    "DiscoveryMode",
    "Endpoint",
    "EndpointStatus",
    "Fail",
    "Idempotency",
    "IncomingRequest",
    "InvalidValueError",
    "Limits",
    "MisplacedAttempt",
    "Outcome",
    "PollEndpoints",
    "Reject",
    "RejectReason",
    "RequestClass",
    "RowandealError",
    "Rules",
    "SendRejection",
    "SetTimer",
    "Settings",
    "StartAttempt",
    "Tenant",
    "UpdateKind",
]
