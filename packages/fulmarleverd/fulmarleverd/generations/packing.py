"""The compressed form in which texts are stored and sent."""

from __future__ import annotations

import base64
import zlib

from fulmarlever.config.reader import MAX_TEXT_BYTES

COMPRESSION_LEVEL = 9


def compress_text(text: str) -> bytes:
    """Return the compressed bytes of a text."""
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decompress_text(data: bytes) -> str | None:
    """Return the text, or ``None`` when the bytes are damaged or expand to too much."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, MAX_TEXT_BYTES)
        return raw.decode() if decompressor.eof else None
    except (zlib.error, UnicodeDecodeError):
        return None


def pack_text(text: str) -> str:
    """Return the form of a text for a row of the table, which holds JSON."""
    return base64.b64encode(compress_text(text)).decode()


def unpack_text(packed: str) -> str | None:
    """Return the text of a row, or ``None`` when it is damaged."""
    try:
        return decompress_text(base64.b64decode(packed, validate=True))
    except ValueError:
        return None
