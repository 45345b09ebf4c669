"""The backends' side of the proxy: connections to backends, and the attempts that they carry.

Read `connection_pool` first: it finds a connection for each `attempt`, a new one or one of
`idle_connections`, whose reuse `keepalive_policy` limits. `connection` is one connection, `response_parser`
parses its input, `memory_budget` limits incomplete responses, and `backend` is one backend of the endpoint
list.

Which endpoint serves a request, and whether a retry follows, is decided in `balancer` alone.
"""

from proxy.upstream.attempt import AttemptCallbacks, UpstreamAttempt
from proxy.upstream.backend import Backend
from proxy.upstream.connection_pool import ConnectionPool
from proxy.upstream.response_parser import UpstreamResponse

__all__ = ["AttemptCallbacks", "Backend", "ConnectionPool", "UpstreamAttempt", "UpstreamResponse"]
