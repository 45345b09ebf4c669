"""The backends' side of the proxy: connections to backends, attempts on them, and how each attempt ended.

It decides nothing about which endpoint serves a request or whether a retry follows: `balancer` does.
"""

from proxy.upstream.attempt import AttemptCallbacks, UpstreamAttempt
from proxy.upstream.backend import Backend
from proxy.upstream.connection_pool import ConnectionPool
from proxy.upstream.response_parser import UpstreamResponse

__all__ = ["AttemptCallbacks", "Backend", "ConnectionPool", "UpstreamAttempt", "UpstreamResponse"]
