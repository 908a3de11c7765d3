"""The HTTP server of one simulated backend, which refuses excess connections."""

from __future__ import annotations

import asyncio
from functools import partial

from aiohttp import web

from fulmarlever_standins.backend import MAX_CONNECTIONS, Backend
from fulmarlever_standins.http import MAX_BODY_BYTES, POLL_S

LEAVING_NOTICE_S = 3.0
KEEPALIVE_S = 600.0


class _ConnectionLimitServer(web.Server):
    """An HTTP server that refuses requests on connections over a limit."""

    def __init__(self, backend: Backend, max_connections: int) -> None:
        super().__init__(
            self._handle,
            request_factory=partial(
                web.BaseRequest,
                loop=asyncio.get_running_loop(),
                client_max_size=MAX_BODY_BYTES,
            ),
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )
        self.backend = backend
        self.max_connections = max_connections
        self.open_connections: set[object] = set()
        self.excess_connections: set[object] = set()

    def connection_made(self, handler: object, transport: asyncio.Transport) -> None:
        """Count a new connection."""
        super().connection_made(handler, transport)
        self.open_connections.add(handler)
        record = self.backend.record
        record.max_connections = max(record.max_connections, len(self.open_connections))
        if len(self.open_connections) > self.max_connections:
            self.excess_connections.add(handler)
            record.overruns += 1

    def connection_lost(self, handler: object, exc: Exception | None = None) -> None:
        """Count the end of a connection."""
        super().connection_lost(handler, exc)
        self.open_connections.discard(handler)
        self.excess_connections.discard(handler)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.protocol in self.excess_connections:
            return self.backend.refuse()
        return await self.backend.handle(request)


class BackendServer:
    """A backend that listens on a port of its own, which is 0 before the start."""

    def __init__(
        self, backend: Backend, address: str, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        self.backend = backend
        self.address = address
        self.port = 0
        self._server = _ConnectionLimitServer(backend, max_connections)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=1.0)

    async def start(self) -> None:
        """Listen on a free port of the address and set ``port``."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.address, 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def drain(self, limit_s: float, notice_s: float) -> None:
        """Announce that the server leaves and wait for the requests in progress.

        The announcement lasts at least ``notice_s`` seconds. The call returns after
        ``limit_s`` seconds, even if requests are in progress.
        """
        clock = self.backend.clock
        start = clock.monotonic()
        if self.backend.leaving_since is None:
            self.backend.leaving_since = start
        while clock.monotonic() - start < limit_s:
            is_notice_over = clock.monotonic() - start >= notice_s
            if is_notice_over and self.backend.in_progress == 0:
                return
            await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Close the listening socket and every connection."""
        await self._runner.cleanup()
