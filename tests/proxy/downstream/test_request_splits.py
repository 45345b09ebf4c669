"""Pipelined requests are parsed in the same way, however their bytes are split between reads."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from proxy.downstream.request_parser import MAX_HEAD_BYTES, RequestParser

if TYPE_CHECKING:
    from proxy.downstream.client_request import ClientRequest

MALFORMED = [b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\nHost h\r\n\r\n", b"GET /\x00 HTTP/1.1\r\n\r\n"]
PADDING_SIZES = st.sampled_from([0, 1, 100, 5000, MAX_HEAD_BYTES - 200])


@dataclass(frozen=True)
class SentRequest:
    """A request as its client encodes it.

    Attributes:
        number: Its number in the stream.
        padding: The bytes of a header without a meaning.
        body: Its body.
        chunk_size: The size of the chunks of its body; 0 for a body with a length.
    """

    number: int
    padding: int
    body: bytes
    chunk_size: int

    def encode(self) -> bytes:
        """Return its bytes."""
        head = b"POST /api/%d HTTP/1.1\r\nHost: h\r\nX-Pad: %b\r\n" % (self.number, b"p" * self.padding)
        if not self.chunk_size:
            return head + b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body
        chunks = [
            self.body[begin : begin + self.chunk_size] for begin in range(0, len(self.body), self.chunk_size)
        ]
        encoded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + encoded + b"0\r\n\r\n"


@st.composite
def streams(draw: st.DrawFn) -> list[SentRequest]:
    """Draw the requests of one connection."""
    count = draw(st.integers(0, 6))
    return [
        SentRequest(
            number,
            draw(PADDING_SIZES),
            b"b" * draw(st.sampled_from([0, 1, 3, 600, 20_000])),
            draw(st.sampled_from([0, 0, 7, 600, 4096])) if number % 2 else 0,
        )
        for number in range(count)
    ]


@dataclass(frozen=True)
class ParsedStream:
    """The result of parsing a stream.

    Attributes:
        parser: The parser after the last byte.
        requests: The complete requests.
    """

    parser: RequestParser
    requests: list[ClientRequest]


def parse_in_pieces(data: bytes, cuts: list[int]) -> ParsedStream:
    """Parse bytes that arrive in pieces."""
    requests: list[ClientRequest] = []
    parser = RequestParser(requests.append)
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    for begin, end in pairwise(bounds):
        piece = memoryview(data)[begin:end]
        while piece and parser.error is None:
            before = len(requests)
            piece = piece[parser.feed(piece, 0.0) :]
            assert len(requests) - before <= 1 + 512 // 20  # more only at the end of a chunked body
    return ParsedStream(parser, requests)


CUTS = st.lists(st.integers(0, 200_000), max_size=12)


@given(stream=streams(), cuts=CUTS)
def test_each_request_is_parsed_with_any_splits(stream: list[SentRequest], cuts: list[int]) -> None:
    parsed = parse_in_pieces(b"".join(each.encode() for each in stream), cuts)
    assert parsed.parser.error is None
    assert [(each.target, each.body) for each in parsed.requests] == [
        (b"/api/%d" % each.number, each.body) for each in stream
    ]
    assert parsed.parser.buffered_bytes() == 0


@given(stream=streams(), malformed=st.sampled_from(MALFORMED), cuts=CUTS)
def test_requests_before_a_malformed_one_are_parsed(
    stream: list[SentRequest], malformed: bytes, cuts: list[int]
) -> None:
    data = b"".join(each.encode() for each in stream) + malformed + b"GET / HTTP/1.1\r\n"
    parsed = parse_in_pieces(data, cuts)
    assert parsed.parser.error is not None
    assert len(parsed.requests) == len(stream)
    assert parsed.parser.buffered_bytes() == 0


@given(stream=streams(), cuts=CUTS)
def test_head_is_too_large_by_its_own_bytes_only(stream: list[SentRequest], cuts: list[int]) -> None:
    too_large = SentRequest(99, MAX_HEAD_BYTES + 1, b"", 0).encode()
    parsed = parse_in_pieces(b"".join(each.encode() for each in stream) + too_large, cuts)
    assert parsed.parser.error is not None
    assert parsed.parser.error.reason == "the head is too large"
    assert len(parsed.requests) == len(stream)


def test_memory_of_a_request_includes_every_header_that_is_stored() -> None:
    large = b"t" * 9000
    data = b"GET /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: id1\r\nX-Timeout: %b\r\n\r\n" % large
    parsed = parse_in_pieces(data, [])
    [request] = parsed.requests
    assert request.request_id == b"id1"
    assert request.buffered_bytes() > len(large)
    # The parser itself stores nothing of a complete request.
    assert parsed.parser.request_id() == b""
    assert parsed.parser.buffered_bytes() == 0
