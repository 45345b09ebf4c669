"""HTTP limits and header rules that apply to both requests and responses.

It owns no state. `proxy.downstream` and `proxy.upstream` parse and write the messages.
"""

from __future__ import annotations

READ_BUFFER_BYTES = 64 << 10  # size of the buffer that all connections of one side share for reading
HEADER_OVERHEAD_BYTES = 4  # bytes of a header line in addition to name and value: `: ` and the line end
MAX_BODY_BYTES = 64 << 10  # bytes of a request's body; the limit of the protocol

#: Headers, in lower case, that apply to a single connection and are never forwarded. `Content-Length` and
#: `Expect` are included because the proxy buffers each body completely and writes its own framing.
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
    """Return the header names in the comma-separated, lower-case values of `Connection` headers."""
    return {option.strip() for option in values.split(b",")}


def without_headers(lines: list[bytes], names: set[bytes]) -> list[bytes]:
    """Return the header lines whose names, in lower case, are not in `names`."""
    return [line for line in lines if line.partition(b":")[0].lower() not in names]
