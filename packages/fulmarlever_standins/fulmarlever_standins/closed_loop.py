"""A cheap closed-loop caller on one raw connection, for throughput figures."""

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
OK = b"HTTP/1.1 200 "


class AnswerError(FulmarleverError):
    """An answer is not the one that belongs to its request."""


@dataclass(slots=True, frozen=True)
class RequestTemplate:
    """One kind of request, the same each time but for the idempotency key."""

    method: str
    path: str
    body_bytes: int
    answer_bytes: int
    has_key: bool = False

    def encode(self, request_id: str, key: str) -> bytes:
        """Return the request as bytes of HTTP/1.1."""
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

    def expected(self, request_id: str) -> bytes:
        """Return the body of the answer."""
        body = bytes(self.body_bytes)
        return answer_body(request_id, self.method, body, self.answer_bytes)


class ClosedLoop:
    """Callers that send the next request when they have the last answer."""

    def __init__(self, exchange: RequestTemplate, address: str, label: str) -> None:
        self.exchange = exchange
        self.address = address
        self.label = label
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.duration_s = 0.0

    @property
    def count(self) -> int:
        """Return the number of answers."""
        return self.histogram.get_total_count()

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000.0

    async def run(self, callers: int, duration_s: float) -> None:
        """Run a number of callers for a time.

        Raise ``AnswerError`` for an answer that is not whole or not its own.
        """
        start = time.monotonic()
        names = [f"{self.label}-{number}" for number in range(callers)]
        await asyncio.gather(*(self._call(n, start + duration_s) for n in names))
        self.duration_s = time.monotonic() - start

    async def _call(self, name: str, end: float) -> None:
        reader, writer = await asyncio.open_connection(*split_address(self.address))
        expected = self.exchange.expected(name)
        make = self._make_requests(name)
        try:
            while (before := time.monotonic()) < end:
                writer.write(make())
                await self._read(reader, expected)
                took_us = int((time.monotonic() - before) * 1e6)
                self.histogram.record_value(max(1, took_us))
        finally:
            writer.close()

    def _make_requests(self, name: str) -> Callable[[], bytes]:
        numbers = iter(range(1 << 40))
        fixed = self.exchange.encode(name, "")
        if not self.exchange.has_key:
            return lambda: fixed
        return lambda: self.exchange.encode(name, f"{name}-{next(numbers)}")

    async def _read(self, reader: asyncio.StreamReader, expected: bytes) -> None:
        head = await reader.readuntil(HEAD_END)
        size = int(head.lower().partition(b"content-length:")[2].split(b"\r\n", 1)[0])
        body = await reader.readexactly(size)
        if not head.startswith(OK) or body != expected:
            raise AnswerError(f"{head!r} {body[:200]!r}")
