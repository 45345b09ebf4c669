"""Limits and header rules of HTTP that requests and responses have in common.

It owns no state. `proxy.downstream` and `proxy.upstream` parse and write the messages.
"""

from __future__ import annotations

READ_BUFFER_BYTES = 64 << 10  # size of the buffer that all connections of one side share for reading
HEADER_OVERHEAD_BYTES = 4  # bytes of a header line besides name and value: `: ` and the line end
MAX_BODY_BYTES = 64 << 10  # bytes of a request's body: the limit that the protocol sets

#: Headers (in lower case) that apply to one connection only and are never forwarded. `Content-Length` and
#: `Expect` are among them because the proxy buffers every complete body and writes its own framing.
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


def connection_options(values: bytes) -> set[bytes]:
    """Return the header names in the values of `Connection` headers, joined by commas, in lower case."""
    return {option.strip() for option in values.split(b",")}


def without_headers(lines: list[bytes], names: set[bytes]) -> list[bytes]:
    """Return the header lines except those with one of these names, which are in lower case."""
    return [line for line in lines if line.partition(b":")[0].lower() not in names]
