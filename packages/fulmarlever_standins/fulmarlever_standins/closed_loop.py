"""A closed-loop load generator on raw connections, for throughput measurements."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from fulmarlever.exceptions import FulmarleverError
from fulmarlever_standins.backend import answer_body
from fulmarlever_standins.http import split_address
from fulmarlever_standins.results import MAX_LATENCY_US, SIGNIFICANT_DIGITS

HEAD_END = b"\r\n\r\n"
OK_PREFIX = b"HTTP/1.1 200 "


class AnswerError(FulmarleverError):
    """An answer differs from the expected answer to its request."""


@dataclass(slots=True, frozen=True)
class RequestTemplate:
    """A request that is the same each time, except for its idempotency key."""

    method: str
    path: str
    body_bytes: int
    answer_bytes: int
    has_key: bool = False

    def encode(self, request_id: str, key: str) -> bytes:
        """Return the request as an HTTP/1.1 message."""
        head = [
            f"{self.method} {self.path} HTTP/1.1",
            "Host: fulmarlever",
            f"X-Request-Id: {request_id}",
            f"X-Answer-Bytes: {self.answer_bytes}",
            f"Content-Length: {self.body_bytes}",
        ]
        if self.has_key:
            head.append(f"Idempotency-Key: {key}")
        return "\r\n".join(head).encode() + HEAD_END + bytes(self.body_bytes)

    def expected_body(self, request_id: str) -> bytes:
        """Return the expected body of the answer."""
        body = bytes(self.body_bytes)
        return answer_body(request_id, self.method, body, self.answer_bytes)


class ClosedLoop:
    """Callers that each send the next request after the answer to the last one.

    ``address`` is ``ADDRESS:PORT`` and ``label`` the prefix of the request ids.
    ``duration_s`` is the length of the last run.
    """

    def __init__(self, template: RequestTemplate, address: str, label: str) -> None:
        self.template = template
        self.address = address
        self.label = label
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.duration_s = 0.0

    @property
    def count(self) -> int:
        """Return the number of answers."""
        return self.histogram.get_total_count()

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile (0 to 100) of the latencies in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000.0

    async def run(self, callers: int, duration_s: float) -> None:
        """Run the given number of callers for ``duration_s`` seconds.

        Raise ``AnswerError`` for an unexpected answer and ``OSError`` or ``EOFError``
        for a lost connection.
        """
        start = time.monotonic()
        names = [f"{self.label}-{number}" for number in range(callers)]
        await asyncio.gather(*(self._call(n, start + duration_s) for n in names))
        self.duration_s = time.monotonic() - start

    async def _call(self, name: str, end: float) -> None:
        reader, writer = await asyncio.open_connection(*split_address(self.address))
        expected = self.template.expected_body(name)
        next_request = self._build_request_factory(name)
        try:
            while (sent := time.monotonic()) < end:
                writer.write(next_request())
                await self._read(reader, expected)
                took_us = int((time.monotonic() - sent) * 1e6)
                self.histogram.record_value(max(1, took_us))
        finally:
            writer.close()

    def _build_request_factory(self, name: str) -> Callable[[], bytes]:
        numbers = iter(range(1 << 40))
        fixed = self.template.encode(name, "")
        if not self.template.has_key:
            return lambda: fixed
        return lambda: self.template.encode(name, f"{name}-{next(numbers)}")

    async def _read(self, reader: asyncio.StreamReader, expected: bytes) -> None:
        head = await reader.readuntil(HEAD_END)
        size = int(head.lower().partition(b"content-length:")[2].split(b"\r\n", 1)[0])
        body = await reader.readexactly(size)
        if not head.startswith(OK_PREFIX) or body != expected:
            raise AnswerError(f"{head!r} {body[:200]!r}")
