"""Parsing and size limits of callers' HTTP requests."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from aiohttp import ClientError, web

from fulmarlever.exceptions import FulmarleverError
from fulmarlever.structure.configuration import Configuration, ServiceSpec
from fulmarlever.structure.request import Request
from fulmarleverd.requests.headers import (
    DEADLINE_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
)

BODY_TIMEOUT_S = 10.0
MAX_DEADLINE_MS = 3_600_000
# Longer texts are rejected without conversion to an integer.
MAX_DEADLINE_DIGITS = 7
MAX_KEY_LENGTH = 255
MAX_SHOWN_NAME_LENGTH = 64


class BadRequest(FulmarleverError):
    """A request that is rejected before admission.

    ``fault`` is the kind of error, the title of the answer and a label of the metric.
    ``status`` is the HTTP status to answer with.
    """

    def __init__(self, fault: str, status: int, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault
        self.status = status
        self.detail = detail


def find_service(raw_path: str, cfg: Configuration) -> ServiceSpec:
    """Return the service named by the first segment of a path.

    Raise ``BadRequest`` when no service has that name.
    """
    parts = raw_path.split("?", 1)[0].split("/", 2)
    name = parts[1] if len(parts) > 1 and not parts[0] else ""
    spec = cfg.services.get(name)
    if spec is None:
        shown = name[:MAX_SHOWN_NAME_LENGTH]
        raise BadRequest("unknown service", 404, f"there is no service {shown!r}")
    return spec


def read_deadline_s(headers: Mapping[str, str], default_s: float) -> float:
    """Return the time in seconds that the caller allows for the request.

    It is ``default_s`` without the header. Raise ``BadRequest`` when the header is not
    an integer number of milliseconds or is out of range.
    """
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return default_s
    is_number = text.isascii() and text.isdigit()
    value = int(text) if is_number and len(text) <= MAX_DEADLINE_DIGITS else 0
    if not 0 < value <= MAX_DEADLINE_MS:
        detail = f"{DEADLINE_HEADER} must be an integer from 1 to {MAX_DEADLINE_MS}"
        raise BadRequest("bad deadline", 400, detail)
    return value / 1000


def read_key(headers: Mapping[str, str]) -> str:
    """Return the idempotency key, empty if there is none.

    Raise ``BadRequest`` for a key that is too long or not printable.
    """
    key = headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        detail = f"{KEY_HEADER} must be at most {MAX_KEY_LENGTH} printable characters"
        raise BadRequest("bad key", 400, detail)
    return key


def max_body_bytes(http: web.BaseRequest, spec: ServiceSpec) -> int:
    """Return the largest size in bytes that the body can have.

    It is the declared length, or the limit of the service without one. Raise
    ``BadRequest`` when the declared length exceeds that limit.
    """
    size = http.content_length
    if size is None:
        return spec.max_request_bytes
    if size > spec.max_request_bytes:
        raise body_too_large(spec.max_request_bytes)
    return size


def body_too_large(limit: int) -> BadRequest:
    """Return the error for a body that exceeds a limit in bytes."""
    return BadRequest("body too large", 413, f"the body is larger than {limit} bytes")


async def read_body(http: web.BaseRequest, limit: int) -> bytes:
    """Return the complete body of at most ``limit`` bytes.

    Raise ``BadRequest`` when it is larger, takes longer than ``BODY_TIMEOUT_S`` or
    ends early.
    """
    if "Expect" in http.headers:
        http.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await _read_chunks(http, limit)
    except TimeoutError:
        raise BadRequest("body late", 408, "the body did not arrive in time") from None
    except (ClientError, web.RequestPayloadError, OSError) as exc:
        raise BadRequest("body truncated", 400, "the body ended early") from exc


async def _read_chunks(http: web.BaseRequest, limit: int) -> bytes:
    content = http.content
    chunks = []
    size = 0
    while not content.at_eof():
        chunk = await content.readany()
        size += len(chunk)
        if size > limit:
            raise body_too_large(limit)
        chunks.append(chunk)
    return b"".join(chunks)


def build_request(
    http: web.BaseRequest, spec: ServiceSpec, body: bytes, deadline: float, key: str
) -> Request:
    """Return the request in the form that the router handles.

    ``deadline`` is a time of the monotonic clock in seconds.
    """
    path = http.raw_path[len(spec.name) + 1 :]
    if not path.startswith("/"):
        path = "/" + path
    return Request(
        spec.name,
        http.method,
        path,
        list(http.headers.items()),
        body,
        http.headers.get(REQUEST_ID_HEADER, ""),
        deadline,
        key,
    )
