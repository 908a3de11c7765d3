"""The HTTP server for callers and for the load balancer's readiness probe."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import replace

from aiohttp import ClientError, HttpVersion11, web
from loguru import logger as log

from fulmarlever.outcomes import Failure, NotRun, OutcomeUnknown, Refused, failed
from fulmarleverd.connections.framing import LimitExceeded
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.connections.listening import listen
from fulmarleverd.connections.protocol import LimitedProtocol, LimitedServer
from fulmarleverd.platform.formats import is_job_id, parse_job
from fulmarleverd.scheduling.admission.refusals import AdmissionRefusal
from fulmarleverd.scheduling.metrics import REQUEST_SECONDS, REQUESTS
from fulmarleverd.scheduling.persistence.config_watcher import NO_CONFIG
from fulmarleverd.scheduling.specs import SchedulingConfig
from fulmarleverd.scheduling.submission.api import JobCalls, QueueNotFound
from fulmarleverd.scheduling.submission.intake import JobStatus, UnknownJob

READY_PATH = "/readiness"
# The time in milliseconds for which a caller waits for the response.
DEADLINE_HEADER = "X-Deadline-Ms"
LISTEN_BACKLOG = 1024
COUNTED_METHODS = ("GET", "POST", "DELETE")
RETRY_AFTER_UNAVAILABLE_S = 1.0
RETRY_AFTER_FULL_S = 1.0
KEPT_OPEN_S = 75.0
# The memory in bytes of a decoded step (232) and of its row while a job is submitted.
STEP_BYTES = 400


class JobProtocol(LimitedProtocol):
    """A caller's connection, with refusals in the format of the interface."""

    __slots__ = ()

    def refusal_response(self, exc: LimitExceeded) -> web.Response:
        """Return the answer to a request that is over a limit; it has not run."""
        # A body that is too large gets the same status whether it is chunked or not.
        status = 400 if exc.status == 413 else exc.status
        return web.json_response({"error": exc.detail}, status=status)


class JobServer(LimitedServer):
    """The server of callers' connections."""

    protocol_class = JobProtocol


class CallerServer:
    """Translates callers' HTTP requests to ``JobCalls`` and their results to responses.

    ``is_closing`` makes each response close its connection. ``in_progress`` is the
    number of requests that are not answered yet.
    """

    def __init__(
        self,
        calls: JobCalls,
        max_body_bytes: int,
        limits: ConnectionLimits | None = None,
        find_config: Callable[[], SchedulingConfig] = lambda: NO_CONFIG,
    ) -> None:
        self._calls = calls
        self._max_body_bytes = max_body_bytes
        self._limits = limits or ConnectionLimits()
        self._find_config = find_config
        self._config: SchedulingConfig | None = None
        self._runners: list[web.ServerRunner] = []
        self._listener: asyncio.Server | None = None
        self.is_closing = False
        self.in_progress = 0

    async def open(self, caller_address: str, ready_address: str) -> None:
        """Listen on both addresses, given as ``host:port``.

        Raise ``OSError`` if an address cannot be bound.
        """
        callers = JobServer(
            self._handle, self._find_limits, keepalive_timeout=KEPT_OPEN_S
        )
        self._runners.append(web.ServerRunner(callers))
        await self._runners[-1].setup()
        host, _, port = caller_address.rpartition(":")
        self._listener = await listen(callers, host, int(port), LISTEN_BACKLOG)
        await self._listen_for_probes(ready_address)

    async def _listen_for_probes(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        server = web.Server(
            self._handle_readiness, access_log=None, keepalive_timeout=KEPT_OPEN_S
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG).start()
        self._runners.append(runner)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._listener is not None:
            self._listener.close()
        for runner in self._runners:
            await runner.cleanup()

    def _find_limits(self) -> ConnectionLimits:
        """Return the limits with the values of the operator's configuration."""
        cfg = self._find_config()
        if cfg is not self._config:
            self._config = cfg
            self._limits = replace(
                self._limits,
                head_bytes=cfg.max_head_bytes,
                head_s=cfg.head_s,
                idle_s=cfg.idle_s,
                body_bytes=min(self._max_body_bytes, cfg.max_body_bytes),
            )
        return self._limits

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
            if not failed(job) and not req.protocol.reserve(
                STEP_BYTES * len(job.steps)
            ):
                result = NotRun("too many jobs are being submitted", RETRY_AFTER_FULL_S)
            elif not failed(job):
                result = await self._calls.submit(job, found, until_s)
        elif req.method == "GET" and not job_id:
            result = await self._calls.pending(found)
        elif req.method in ("GET", "DELETE"):
            result = await self._find_or_cancel(req.method, job_id, until_s)
        else:
            return web.Response(status=405)
        if failed(result):
            return _failure_response(result, job_id, req.method)
        return _success_response(result)

    async def _find_or_cancel(
        self, method: str, job_id: str, until_s: float
    ) -> JobStatus | Failure:
        """Look a job up or cancel it.

        The store is asked for no other text than an id, which may name another row.
        """
        if not is_job_id(job_id):
            return UnknownJob(f"no job {job_id[:80]!r}")
        if method == "GET":
            return await self._calls.status(job_id)
        return await self._calls.cancel(job_id, until_s)

    async def _read_body(self, req: web.BaseRequest) -> bytes | Refused:
        limit = min(self._max_body_bytes, self._calls.max_body_bytes())
        if (req.content_length or 0) > limit:
            return Refused(f"the body is over {limit} bytes")
        is_expected = req.headers.get("Expect", "").lower() == "100-continue"
        if is_expected and req.version >= HttpVersion11:
            req.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = bytearray()
        try:
            while not req.content.at_eof():
                body += await req.content.readany()
                if len(body) > limit:
                    return Refused(f"the body is over {limit} bytes")
        except (ClientError, web.RequestPayloadError):
            if req.transport is None:
                raise
            return Refused("the body ended early")
        return bytes(body)


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
