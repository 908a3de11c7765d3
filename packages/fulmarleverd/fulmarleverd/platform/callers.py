"""The HTTP server for callers and for the load balancer's readiness probe."""

from __future__ import annotations

import math
import time

from aiohttp import web
from loguru import logger as log

from fulmarlever.outcomes import Failure, NotRun, OutcomeUnknown, Refused, failed
from fulmarleverd.platform.formats import parse_job
from fulmarleverd.scheduling.admission.refusals import AdmissionRefusal
from fulmarleverd.scheduling.api import JobCalls, QueueNotFound
from fulmarleverd.scheduling.intake import JobStatus, UnknownJob
from fulmarleverd.scheduling.metrics import REQUEST_SECONDS, REQUESTS

READY_PATH = "/readiness"
# The time in milliseconds for which a caller waits for the response.
DEADLINE_HEADER = "X-Deadline-Ms"
LISTEN_BACKLOG = 1024
COUNTED_METHODS = ("GET", "POST", "DELETE")
RETRY_AFTER_UNAVAILABLE_S = 1.0


class CallerServer:
    """Translates callers' HTTP requests to ``JobCalls`` and their results to responses.

    ``is_closing`` makes each response close its connection. ``in_progress`` is the
    number of requests that are not answered yet.
    """

    def __init__(self, calls: JobCalls, max_body_bytes: int) -> None:
        self._calls = calls
        self._max_body_bytes = max_body_bytes
        self._runners: list[web.ServerRunner] = []
        self.is_closing = False
        self.in_progress = 0

    async def open(self, caller_address: str, ready_address: str) -> None:
        """Listen on both addresses, given as ``host:port``.

        Raise ``OSError`` if an address cannot be bound.
        """
        await self._listen(self._handle, caller_address)
        await self._listen(self._handle_readiness, ready_address)

    async def _listen(self, handler: object, address: str) -> None:
        host, _, port = address.rpartition(":")
        server = web.Server(handler, access_log=None, keepalive_timeout=75.0)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG).start()
        self._runners.append(runner)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        for runner in self._runners:
            await runner.cleanup()

    async def _handle_readiness(self, req: web.BaseRequest) -> web.Response:
        if req.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._calls.is_ready() else 503)

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        started_s = time.monotonic()
        self.in_progress += 1
        try:
            resp = await self._route(req)
        finally:
            self.in_progress -= 1
        if self.is_closing:
            resp.force_close()
        call = req.method if req.method in COUNTED_METHODS else "other"
        REQUESTS.labels(call, str(resp.status)).inc()
        REQUEST_SECONDS.labels(call).observe(time.monotonic() - started_s)
        return resp

    async def _route(self, req: web.BaseRequest) -> web.Response:
        host = req.headers.get("Host", "").partition(":")[0]
        found = self._calls.find_queue(host, req.path)
        if failed(found):
            # Without a queue its path prefix is unknown, but an id contains no slash.
            return _failure_response(found, req.path.rpartition("/")[2], req.method)
        job_id = req.path[len(found.path_prefix) :]
        until_s = self._calls.until_s(found, _deadline_s(req))
        if req.method == "POST":
            raw = await self._read_body(req)
            if failed(raw):
                return _failure_response(raw, job_id, req.method)
            job = parse_job(job_id, raw)
            result = job
            if not failed(job):
                result = await self._calls.submit(job, found, until_s)
        elif req.method == "GET" and not job_id:
            result = await self._calls.pending(found)
        elif req.method == "GET":
            result = await self._calls.status(job_id)
        elif req.method == "DELETE":
            result = await self._calls.cancel(job_id, until_s)
        else:
            return web.Response(status=405)
        if failed(result):
            return _failure_response(result, job_id, req.method)
        return _success_response(result)

    async def _read_body(self, req: web.BaseRequest) -> bytes | Refused:
        limit = min(self._max_body_bytes, self._calls.max_body_bytes())
        if (req.content_length or 0) > limit:
            return Refused(f"the body is over {limit} bytes")
        raw = await req.content.read(limit + 1)
        while len(raw) <= limit and not req.content.at_eof():
            raw += await req.content.read(limit + 1 - len(raw))
        return raw if len(raw) <= limit else Refused(f"the body is over {limit} bytes")


def _deadline_s(req: web.BaseRequest) -> float:
    """Return the time for which the caller waits, in seconds, or 0 if not given."""
    try:
        return max(0.0, float(req.headers.get(DEADLINE_HEADER, 0)) / 1000.0)
    except ValueError:
        return 0.0


def _success_response(result: object) -> web.Response:
    if isinstance(result, JobStatus):
        return web.json_response({"state": str(result.state)})
    if isinstance(result, int):
        return web.json_response({"pending": result})
    return web.json_response({})


def _failure_response(failure: Failure, job_id: str, method: str) -> web.Response:
    status, retry_after_s = _failure_status(failure)
    log.bind(
        event="caller-refused",
        job=job_id,
        method=method,
        status=status,
        retry_after_s=retry_after_s,
        **(failure.log_fields() if isinstance(failure, AdmissionRefusal) else {}),
    ).info(failure.reason)
    headers = {}
    if retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    return web.json_response({"error": failure.reason}, status=status, headers=headers)


def _failure_status(failure: Failure) -> tuple[int, float | None]:
    """Return the HTTP status of a failure and its retry delay in seconds, if any."""
    if isinstance(failure, QueueNotFound):
        return 404, None
    if isinstance(failure, UnknownJob):
        return 410, None
    if isinstance(failure, NotRun):
        return failure.status, failure.retry_after_s
    if isinstance(failure, OutcomeUnknown):
        return 504, None
    if isinstance(failure, Refused):
        return 400, None
    return 503, RETRY_AFTER_UNAVAILABLE_S
