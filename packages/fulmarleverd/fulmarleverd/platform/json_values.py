"""Decodes JSON of other writers into values within known limits.

Rows and bodies may come from any writer. Whatever they hold, decoding raises one of
``FORMAT_ERRORS`` or returns values that the scheduler can compute with.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any

FORMAT_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
)
# Far above any real count, size or time in milliseconds, and exact as a float.
MAX_NUMBER = 10**13
MAX_PORT = 65535
# The host of an address is a name or a number, which are sent without encoding.
HOST_PATTERN = re.compile(r"[!-~]+")
# The longest key of a row, in bytes.
MAX_KEY_BYTES = 200


def decode_json(raw: bytes | str) -> Any:
    """Return the value of a JSON text; raise ``ValueError`` if it cannot be decoded.

    Python's decoder raises another error if values are nested too deeply.
    """
    try:
        return json.loads(raw)
    except RecursionError:
        raise ValueError("the values are nested too deeply") from None


def require_type(value: Any, kind: type) -> Any:
    """Return a value of a type; raise ``TypeError`` for any other value."""
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{str(value)[:80]!r} is not of type {kind.__name__}")
    return value


def require_text(value: Any) -> str:
    """Return a text that can be encoded; raise a format error for any other value.

    JSON can hold halves of surrogate pairs, which neither a request nor a row can.
    """
    text = require_type(value, str)
    text.encode()
    return text


def require_key(value: Any) -> str:
    """Return a text that may be a row's key and a header's value.

    Raise a format error for any other value.
    """
    text = require_text(value)
    if not text.isprintable() or len(text.encode()) > MAX_KEY_BYTES:
        raise ValueError(f"{text[:80]!r} is not a key")
    return text


def require_count(value: Any) -> int:
    """Return an integer from 0 to ``MAX_NUMBER``; raise a format error otherwise."""
    return require_number(require_type(value, int))


def require_number(value: Any) -> Any:
    """Return a number from 0 to ``MAX_NUMBER``; raise a format error otherwise."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{str(value)[:80]!r} is not a number")
    if math.isnan(value) or not 0 <= value <= MAX_NUMBER:
        raise ValueError("a number is out of range")
    return value


def require_address(value: Any) -> str:
    """Return an address ``host:port``; raise a format error for any other value."""
    address = require_type(value, str)
    host, _, port = address.rpartition(":")
    if not HOST_PATTERN.fullmatch(host) or not port.isascii() or not port.isdigit():
        raise ValueError(f"{address[:80]!r} is not an address")
    if not 0 < int(port[:6]) <= MAX_PORT or len(port) > len(str(MAX_PORT)):
        raise ValueError(f"{address[:80]!r} has no valid port")
    return address
