"""What both sides of the proxy know of HTTP: what requests and responses share in limits and headers.

It owns no state. Parsing and writing of messages belong to `proxy.downstream` and `proxy.upstream`.
"""

from __future__ import annotations

READ_BUFFER_BYTES = 64 << 10  # read in one go, into one buffer that all connections of a side share
HEADER_OVERHEAD_BYTES = 4  # bytes of a header line beside name and value: `: ` and the line end
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


def connection_options(values: bytes) -> set[bytes]:
    """Return the header names in the values of `Connection` headers, joined by commas, in lower case."""
    return {option.strip() for option in values.split(b",")}


def without_headers(lines: list[bytes], names: set[bytes]) -> list[bytes]:
    """Return the header lines but for those of these names, which are in lower case."""
    return [line for line in lines if line.partition(b":")[0].lower() not in names]
