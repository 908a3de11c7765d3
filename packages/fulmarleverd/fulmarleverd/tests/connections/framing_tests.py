"""Tests of the filters in front of the parser."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.connections.framing import (
    ChunkScanner,
    HeadCollector,
    LimitExceeded,
)
from fulmarleverd.connections.limits import ConnectionLimits

LIMITS = ConnectionLimits(
    head_bytes=60,
    head_fields=3,
    empty_line_bytes=6,
    body_bytes=40,
    chunk_line_bytes=12,
    trailer_bytes=10,
    free_chunks=4,
    bytes_per_chunk=8,
)
HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

# Parts whose combinations are valid, incomplete, malformed and over each limit.
HEAD_PARTS = st.sampled_from(
    [b"\r\n", b"\n", b"\r", b"GET / HTTP/1.1\r\n", b"Host: a\r\n", b"x" * 20, HEAD]
)
CHUNK_PARTS = st.sampled_from(
    [
        b"1\r\nx\r\n",
        b"5\r\nabcde\r\n",
        b"A;ext=1\r\n0123456789\r\n",
        b"003\r\nabc\r\n",
        b"000000000001\r\nx\r\n",
        b"0\r\n\r\n",
        b"0\r\nT: v\r\n\r\n",
        b"0\r\nTrailer: long\r\n\r\n",
        b"3\r\nabcd\r\n",
        b"zz\r\n",
        b"\r\n",
        b"1\nx\r\n",
        b"ffffffffff\r\n",
        b"1;" + b"e" * 20 + b"\r\n",
        b"+1\r\n",
        b"2\r",
        b"next",
    ]
)
CUTS = st.lists(st.integers(0, 400), max_size=8)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    return [data[begin:end] for begin, end in pairwise(places)]


def collect_head(pieces: list[bytes]) -> tuple:
    """Return the head and the rest, or the status and the reason of a refusal."""
    collector = HeadCollector(LIMITS)
    pieces = list(pieces)
    try:
        while pieces:
            head, rest = collector.take(pieces.pop(0))
            if head:
                return head, rest + b"".join(pieces)
    except LimitExceeded as exc:
        return exc.status, exc.reason
    return b"", b""


def scan(pieces: list[bytes], borrowed: int = 0) -> tuple:
    """Return payload, rest and completeness, or the status and reason of a refusal."""
    scanner = ChunkScanner(LIMITS, lambda count: borrowed > 0)
    payload = b""
    pieces = list(pieces)
    try:
        while pieces:
            part, rest = scanner.take(pieces.pop(0))
            payload += part
            if scanner.is_complete:
                return payload, rest + b"".join(pieces), True
    except LimitExceeded as exc:
        return exc.status, exc.reason
    return payload, b"", False


class HeadCollectorTests(TableTestCase):
    def test_heads_and_limits(self):
        many = b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 4 + b"\r\n"
        rows = (
            ("whole", HEAD, (HEAD, b"")),
            ("followed by another", HEAD + b"GET /2", (HEAD, b"GET /2")),
            ("after empty lines", b"\r\n\r\n" + HEAD, (HEAD, b"")),
            ("incomplete", HEAD[:-1], (b"", b"")),
            ("empty lines without end", b"\r\n" * 4, (400, "empty-lines")),
            ("too long", HEAD[:-2] + b"x" * 50 + b"\r\n\r\n", (431, "head-bytes")),
            ("line without end", b"G" * 61, (431, "head-bytes")),
            ("too many fields", many, (431, "head-fields")),
        )
        for _, data, expected in self.each(rows):
            self.assertEqual(collect_head([data]), expected)

    def test_bytes_over_the_limit_are_not_kept(self):
        collector = HeadCollector(LIMITS)
        with self.assertRaises(LimitExceeded):
            collector.take(b"x" * 100_000)
        self.assertLessEqual(collector.size, LIMITS.head_bytes + 1)

    # Guards against a limit that a client avoids by sending small pieces.
    @given(st.lists(HEAD_PARTS, max_size=8), CUTS)
    def test_any_splitting_gives_the_same_verdict(self, parts, cuts):
        data = b"".join(parts)
        self.assertEqual(collect_head(split(data, cuts)), collect_head([data]))


class ChunkScannerTests(TableTestCase):
    def test_bodies_and_limits(self):
        rows = (
            ("one chunk", b"5\r\nabcde\r\n0\r\n\r\n", (b"abcde", b"", True)),
            ("followed by a request", b"0\r\n\r\nGET", (b"", b"GET", True)),
            ("extension", b"1;a=b\r\nx\r\n0\r\n\r\n", (b"x", b"", True)),
            ("trailer", b"1\r\nx\r\n0\r\nT: v\r\n\r\n", (b"x", b"", True)),
            ("incomplete", b"5\r\nabc", (b"abc", b"", False)),
            ("no number", b"x\r\n", (400, "malformed")),
            ("sign", b"+1\r\nx\r\n", (400, "malformed")),
            ("longer than its size", b"1\r\nxy\r\n", (400, "malformed")),
            ("bare line feed", b"1\nx\r\n", (400, "malformed")),
            ("too large", b"29\r\n", (413, "body-bytes")),
            ("far too large", b"f" * 9 + b"\r\n", (413, "body-bytes")),
            ("size line without end", b"0" * 13, (400, "chunk-line")),
            ("trailers without end", b"0\r\n" + b"T: v\r\n" * 3, (431, "trailers")),
            ("too many chunks", b"1\r\nx\r\n" * 5, (400, "chunks")),
        )
        for _, data, expected in self.each(rows):
            self.assertEqual(scan([data]), expected)

    def test_chunks_are_counted_in_proportion_to_the_payload(self):
        large = b"10\r\n0123456789abcdef\r\n"
        self.assertEqual(scan([large + b"1\r\nx\r\n" * 5])[1], b"")

    def test_spare_chunks_allow_a_body_of_tiny_chunks(self):
        data = b"1\r\nx\r\n" * 20 + b"0\r\n\r\n"
        self.assertEqual(scan([data], borrowed=256), (b"x" * 20, b"", True))

    # Guards against a limit that a client avoids by sending small pieces, and against
    # a disagreement of the fast and the general method.
    @given(st.lists(CHUNK_PARTS, max_size=10), CUTS)
    def test_any_splitting_gives_the_same_verdict(self, parts, cuts):
        data = b"".join(parts)
        self.assertEqual(scan(split(data, cuts)), scan([data]))
