"""The listening socket of one backend server, with its limit of connections."""

from __future__ import annotations

import asyncio
from functools import partial

from aiohttp import web

from fulmarlever_standins.backend import MAX_CONNECTIONS, Backend
from fulmarlever_standins.http import MAX_BODY_BYTES, POLL_S

LEAVING_NOTICE_S = 3.0
KEEPALIVE_S = 600.0


class _CountingServer(web.Server):
    """An HTTP server that counts open connections and marks those over the limit."""

    def __init__(self, backend: Backend, limit: int) -> None:
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
        self.limit = limit
        self.open: set[object] = set()
        self.excess: set[object] = set()

    def connection_made(self, handler: object, transport: asyncio.Transport) -> None:
        """Count a new connection."""
        super().connection_made(handler, transport)
        self.open.add(handler)
        record = self.backend.record
        record.max_connections = max(record.max_connections, len(self.open))
        if len(self.open) > self.limit:
            self.excess.add(handler)
            record.overruns += 1

    def connection_lost(self, handler: object, exc: Exception | None = None) -> None:
        """Count the end of a connection."""
        super().connection_lost(handler, exc)
        self.open.discard(handler)
        self.excess.discard(handler)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.protocol in self.excess:
            return self.backend.refuse()
        return await self.backend.handle(request)


class BackendServer:
    """A backend on a port of its own."""

    def __init__(
        self, backend: Backend, address: str, connections: int = MAX_CONNECTIONS
    ) -> None:
        self.backend = backend
        self.address = address
        self.port = 0
        self._server = _CountingServer(backend, connections)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=1.0)

    async def start(self) -> None:
        """Listen on a free port."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.address, 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def drain(self, limit_s: float, notice_s: float) -> None:
        """Announce the leave for the notice time and finish what is in progress."""
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
        """Close the port and every connection."""
        await self._runner.cleanup()
