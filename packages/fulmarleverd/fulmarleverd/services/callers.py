"""The service ``callers``: the HTTP port for callers.

A request is read completely, within size and time limits, before the router handles
it, and its answer is written only when it is complete.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import replace

from aiohttp import web
from loguru import logger as log

from fulmarlever.outcomes import failed
from fulmarlever.structure.configuration import Configuration, ServiceSpec
from fulmarlever.structure.request import Answer, Request
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.connections.listening import listen
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.requests.caller_protocol import CallerServer
from fulmarleverd.requests.caller_request import (
    BadRequest,
    build_request,
    find_service,
    max_body_bytes,
    read_body,
    read_deadline_s,
    read_key,
)
from fulmarleverd.requests.draining import request_drain_left_s
from fulmarleverd.requests.metrics import BAD_REQUESTS, REQUEST_SECONDS, REQUESTS

SERVER_NAME = "fulmarlever"
LISTEN_BACKLOG = 4096
"""Connections that may wait to be accepted; TCP retries any further one after 1 s."""

DRAIN_POLL_S = 0.02
MIN_SHUTDOWN_S = 0.1


@SERVICES.register("callers")
class Callers(Service):
    """Accepts callers' connections, each served by one task of aiohttp."""

    name = "callers"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.in_progress = 0
        self._request_numbers = itertools.count(1)
        self._server: CallerServer | None = None
        self._listener: asyncio.Server | None = None
        self._limits_config: Configuration | None = None

    async def start(self) -> None:
        """Open the port for callers."""
        self.config = self.kernel.find("config")
        self.admission = self.kernel.find("admission")
        self.router = self.kernel.find("router")
        identity = self.kernel.find("membership").identity
        self._id_prefix = identity.replace("#", "-")
        self._limits = self._build_limits()
        self._server = CallerServer(self._answer, self._find_limits)
        self._listener = await listen(
            self._server,
            self.settings.address,
            self.settings.caller_port,
            LISTEN_BACKLOG,
        )

    def _build_limits(self) -> ConnectionLimits:
        cfg = self.settings
        return ConnectionLimits.from_settings(
            cfg.memory_bytes,
            cfg.max_descriptors,
            cfg.max_connections_per_address,
            head_bytes=cfg.max_head_bytes,
            head_s=cfg.head_timeout_s,
            idle_s=cfg.body_idle_s,
        )

    def _find_limits(self) -> ConnectionLimits:
        """Return the limits, with the largest body that a service accepts."""
        config = self.config.current()
        if config is not self._limits_config:
            self._limits_config = config
            sizes = (spec.max_request_bytes for spec in config.services.values())
            self._limits = replace(self._limits, body_bytes=max(sizes, default=0))
        return self._limits

    @property
    def port(self) -> int:
        """Return the open port, which the system chooses if the setting is 0."""
        return self._listener.sockets[0].getsockname()[1]

    async def _answer(self, http: web.BaseRequest) -> web.Response:
        self.in_progress += 1
        label = "unknown"
        started_at = self.clock.monotonic()
        try:
            spec = find_service(http.raw_path, self.config.current())
            label = spec.name
            answer = await self._serve(http, spec, started_at)
        except BadRequest as exc:
            BAD_REQUESTS.labels(exc.fault).inc()
            answer = Answer.from_problem(exc.status, exc.fault, exc.detail)
        finally:
            self.in_progress -= 1
        REQUESTS.labels(label, f"{answer.status // 100}xx").inc()
        REQUEST_SECONDS.labels(label).observe(self.clock.monotonic() - started_at)
        return self._response(http, answer)

    async def _serve(
        self, http: web.BaseRequest, spec: ServiceSpec, started_at: float
    ) -> Answer:
        deadline_s = read_deadline_s(http.headers, self.settings.default_deadline_s)
        key = read_key(http.headers)
        if not http.body_exists:
            req = build_request(http, spec, b"", started_at + deadline_s, key)
            return await self._route(req)
        ticket = self.admission.enter_body(spec, max_body_bytes(http, spec))
        if failed(ticket):
            return Answer.from_failure(ticket)
        try:
            body = await read_body(http, spec.max_request_bytes)
            req = build_request(http, spec, body, started_at + deadline_s, key)
            return await self._route(req)
        finally:
            self.admission.leave_body(ticket)

    async def _route(self, req: Request) -> Answer:
        if not req.request_id:
            req.request_id = f"{self._id_prefix}-{next(self._request_numbers)}"
        return await self.router.handle(req)

    def _response(self, http: web.BaseRequest, answer: Answer) -> web.Response:
        response = web.Response(body=answer.body or None, status=answer.status)
        for name, value in answer.headers:
            response.headers.add(name, value)
        response.headers["Server"] = SERVER_NAME
        if self.kernel.is_draining or answer.status in (400, 408, 413):
            response.force_close()
        return response

    async def drain(self) -> None:
        """Stop accepting connections and wait for the requests in progress.

        The port stays open for ``unready_before_drain_s`` first, so that the load
        balancer can notice that this daemon is not ready.
        """
        end = self.clock.monotonic() + request_drain_left_s(self.kernel)
        await asyncio.sleep(self.settings.unready_before_drain_s)
        self._listener.close()
        while self.clock.monotonic() < end and self.in_progress:
            await asyncio.sleep(DRAIN_POLL_S)
        while self.clock.monotonic() < end and self._server.connections:
            self._server.pre_shutdown()
            await asyncio.sleep(DRAIN_POLL_S)
        if self._server.connections:
            log.warning("callers' connections are still open after the drain limit")

    async def stop(self) -> None:
        """Close every connection of callers."""
        if self._listener is not None:
            self._listener.close()
            # aiohttp treats a timeout of zero as no timeout.
            left_s = max(MIN_SHUTDOWN_S, self.kernel.drain_left_s())
            await self._server.shutdown(left_s)
        await super().stop()
