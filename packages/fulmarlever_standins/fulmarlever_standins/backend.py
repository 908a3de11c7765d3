"""The application of a simulated backend server: it answers and counts requests."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from fulmarlever.clock import Clock
from fulmarlever_standins.http import abort_connection, wait_for_disconnect

SLOTS_PER_SERVER = 8
MAX_CONNECTIONS = 64
JSON_TYPE = "application/json"


@dataclass(slots=True)
class BackendRecord:
    """Counts of the requests that one backend server ran and of exceeded limits.

    ``runs`` counts by request id, ``keys`` by idempotency key. ``last_start`` is the
    Unix time at which the last request was started. ``last_start_leaving_s`` is the
    time in seconds between the announcement that the server leaves and that start.
    """

    runs: Counter[str] = field(default_factory=Counter)
    keys: Counter[str] = field(default_factory=Counter)
    overruns: int = 0
    max_in_progress: int = 0
    max_connections: int = 0
    last_start: float = 0.0
    last_start_leaving_s: float = 0.0

    def to_wire(self) -> dict:
        """Return the record as a JSON object, keyed by field name."""
        return {name: getattr(self, name) for name in self.__slots__}


class Backend:
    """The request handler of one backend server and its record.

    At most ``slots`` requests run at the same time. ``slow_factor`` takes the number
    of requests in progress and returns the factor by which the work takes longer.
    ``leaving_since`` is a monotonic time in seconds, or ``None``.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int = SLOTS_PER_SERVER,
        slow_factor: Callable[[int], float] = lambda in_progress: 1.0,
    ) -> None:
        self.clock = clock
        self.slots = slots
        self.slow_factor = slow_factor
        self.record = BackendRecord()
        self.in_progress = 0
        self.leaving_since: float | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one request and return its answer, or 503 if all slots are in use."""
        if self.in_progress >= self.slots:
            return self.refuse()
        self.in_progress += 1
        self.record.max_in_progress = max(self.record.max_in_progress, self.in_progress)
        try:
            return await self._run(request)
        finally:
            self.in_progress -= 1

    def refuse(self) -> web.Response:
        """Count a request or connection over the limit and return a 503 answer."""
        self.record.overruns += 1
        return web.Response(status=503, headers={"X-Backend-State": "full"})

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        self._record_run(request)
        work_s = float(request.headers.get("X-Work-Ms", "0")) / 1000.0
        if work_s > 0:
            await asyncio.sleep(work_s * self.slow_factor(self.in_progress))
        fault = request.headers.get("X-Fault", "")
        if fault:
            return await self._inject_fault(request, body, fault)
        answer = make_answer(request, body)
        if self.leaving_since is not None:
            answer.headers["X-Backend-State"] = "leaving"
            answer.force_close()
        return answer

    def _record_run(self, request: web.BaseRequest) -> None:
        self.record.runs[request.headers.get("X-Request-Id", "")] += 1
        self.record.last_start = self.clock.wall()
        key = request.headers.get("Idempotency-Key")
        if key:
            self.record.keys[key] += 1
        if self.leaving_since is not None:
            age_s = self.clock.monotonic() - self.leaving_since
            self.record.last_start_leaving_s = age_s

    async def _inject_fault(
        self, request: web.BaseRequest, body: bytes, fault: str
    ) -> web.StreamResponse:
        if fault == "hang":
            return await wait_for_disconnect(request)
        if fault == "close":
            return abort_connection(request)
        if fault == "truncate":
            return await self._send_truncated(request, body)
        return web.Response(status=500, text="fault on request")

    async def _send_truncated(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        complete = make_answer(request, body).body
        answer = web.StreamResponse()
        answer.content_type = JSON_TYPE
        answer.content_length = len(complete)
        await answer.prepare(request)
        await answer.write(complete[: len(complete) // 2])
        abort_connection(request)
        return answer


def make_answer(request: web.BaseRequest, body: bytes) -> web.Response:
    """Return a JSON answer that names the request and the digest of its body.

    Raise ``ValueError`` if the header ``X-Answer-Bytes`` is not a whole number.
    """
    content = answer_body(
        request.headers.get("X-Request-Id", ""),
        request.method,
        body,
        int(request.headers.get("X-Answer-Bytes", "0")),
    )
    return web.Response(body=content, content_type=JSON_TYPE)


def answer_body(request_id: str, method: str, body: bytes, size: int) -> bytes:
    """Return the body of an answer: JSON, padded with spaces to ``size`` bytes."""
    fields = {
        "request": request_id,
        "method": method,
        "body_bytes": len(body),
        "body_sha256": hashlib.sha256(body).hexdigest(),
    }
    return json.dumps(fields).ljust(size).encode()
