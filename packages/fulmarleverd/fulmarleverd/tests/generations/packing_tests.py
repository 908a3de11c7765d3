from __future__ import annotations

import base64
import zlib

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.config.reader import MAX_TEXT_BYTES
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.generations.packing import pack_text, unpack_text


def packed(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


CORRUPT_ROWS = [
    ("not base64", "§"),
    ("not compressed", packed(b"teams: {}")),
    ("truncated", packed(zlib.compress(b"teams: {}")[:-5])),
    ("not UTF-8", packed(zlib.compress(b"\xff\xfe"))),
    (
        "too large after decompression",
        packed(zlib.compress(b"#" * (MAX_TEXT_BYTES + 1))),
    ),
]


class PackingTests(TableTestCase):
    @given(st.text())
    def test_round_trip(self, text):
        self.assertEqual(unpack_text(pack_text(text)), text)

    def test_largest_text(self):
        text = "#" * MAX_TEXT_BYTES
        self.assertEqual(unpack_text(pack_text(text)), text)

    def test_corrupt_row(self):
        for _, row in self.each(CORRUPT_ROWS):
            self.assertIsNone(unpack_text(row))
