"""Connections to backends, and the attempts that are sent on them.

Start reading at `connection_pool`. It finds a connection for each `attempt`: either one of
`idle_connections`, if `keepalive_policy` allows its reuse, or a new one. `connection` is a single connection,
`response_parser` parses the bytes received on it, and `backend` is one backend of the endpoint list.

Only `balancer` decides which endpoint serves a request and whether a retry follows.
"""

from proxy.upstream.attempt import AttemptCallbacks, UpstreamAttempt
from proxy.upstream.backend import Backend
from proxy.upstream.connection_pool import ConnectionPool
from proxy.upstream.response_parser import UpstreamResponse

__all__ = ["AttemptCallbacks", "Backend", "ConnectionPool", "UpstreamAttempt", "UpstreamResponse"]
