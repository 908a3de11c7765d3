"""Tests of malformed lines in chunked bodies."""

from __future__ import annotations

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.connections.framing import ChunkScanner, LimitExceeded
from fulmarleverd.connections.limits import ConnectionLimits


class ChunkLineTests(TableTestCase):
    """Guards against request smuggling.

    A proxy that reads a line differently, for example one that takes a bare carriage
    return for the end of a line, finds another end of the request.
    """

    def scan(self, data: bytes, step: int) -> int:
        scanner = ChunkScanner(ConnectionLimits())
        for start in range(0, len(data), step):
            scanner.take(data[start : start + step])
        self.assertTrue(scanner.is_complete)
        return scanner.size

    def test_malformed_lines_are_refused(self):
        rows = (
            ("carriage return in an extension", b"3;a\rb\r\nabc\r\n0\r\n\r\n"),
            ("carriage return after a size", b"3\r\r\nabc\r\n0\r\n\r\n"),
            ("carriage return after the last size", b"0\r\r\n\r\n"),
            ("extension of the last chunk", b"0;a\rb\r\n\r\n"),
            ("space after a size", b"3 \r\nabc\r\n0\r\n\r\n"),
            ("NUL in an extension", b"3;a\0\r\nabc\r\n0\r\n\r\n"),
            ("trailer without a colon", b"0\r\nnonsense\r\n\r\n"),
            ("carriage return in a trailer", b"0\r\nA: b\rC: d\r\n\r\n"),
            ("folded trailer", b"0\r\nA: b\r\n c: d\r\n\r\n"),
            ("space before the colon", b"0\r\nA : b\r\n\r\n"),
        )
        for _, data in self.each(rows):
            for step in (1, len(data)):
                with self.assertRaises(LimitExceeded) as caught:
                    self.scan(data, step)
                self.assertEqual(caught.exception.status, 400)

    def test_legal_lines_are_taken(self):
        rows = (
            ("extension", b"3;a=b\r\nabc\r\n0;c\r\n\r\n"),
            ("space before an extension", b"3 ;a\r\nabc\r\n0\r\n\r\n"),
            ("quoted text", b'3;a="b;\tc"\r\nabc\r\n0\r\n\r\n'),
            ("trailers", b"3\r\nabc\r\n0\r\nA-1: b\r\nC:\r\nD:\t\xff\r\n\r\n"),
        )
        for _, data in self.each(rows):
            for step in (1, 4, len(data)):
                self.assertEqual(self.scan(data, step), 3)
