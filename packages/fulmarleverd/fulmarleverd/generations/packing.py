"""Compression of configuration texts for storage and for messages."""

from __future__ import annotations

import base64
import zlib

from fulmarlever.config.reader import MAX_TEXT_BYTES

COMPRESSION_LEVEL = 9


def compress_text(text: str) -> bytes:
    """Return a text as UTF-8, compressed with zlib."""
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decompress_text(data: bytes) -> str | None:
    """Return the text of compressed bytes, or ``None`` when they are corrupt.

    Bytes that decompress to more than ``MAX_TEXT_BYTES`` also count as corrupt.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, MAX_TEXT_BYTES)
        return raw.decode() if decompressor.eof else None
    except (zlib.error, UnicodeDecodeError):
        return None


def pack_text(text: str) -> str:
    """Return a text compressed and in Base64, for a table row, whose value is JSON."""
    return base64.b64encode(compress_text(text)).decode()


def unpack_text(packed: str) -> str | None:
    """Return the text from a table row, or ``None`` when it is corrupt."""
    try:
        return decompress_text(base64.b64decode(packed, validate=True))
    except ValueError:
        return None
