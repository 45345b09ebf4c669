"""What both sides of the proxy know of HTTP: the limits and header names that requests and responses share.

It owns constants alone. Parsing and writing of messages belong to `proxy.downstream` and `proxy.upstream`.
"""

from __future__ import annotations

MAX_BODY_BYTES = 64 << 10  # bytes of a request's body: the limit that the protocol sets

#: Headers (in lower case) that hold for one connection alone and are never forwarded. `Content-Length` and
#: `Expect` are among them because the proxy reads every body as a whole and frames it anew.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
