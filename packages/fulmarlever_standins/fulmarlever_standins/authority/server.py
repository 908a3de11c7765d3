"""HTTP access to the platform stand-in, for daemons in separate processes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from aiohttp import web

from fulmarlever.outcomes import failed
from fulmarlever_standins.authority.network import STORE_ADDRESS, Network
from fulmarlever_standins.http import abort_connection, read_json
from fulmarleverd.platform.http import CallResult

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 2 << 20

Call = Callable[[web.BaseRequest, dict], Awaitable[CallResult]]


class PlatformServer:
    """HTTP servers on loopback ports for the store and the workers of a network."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self._runners: list[web.ServerRunner] = []
        self._worker_servers: dict[str, web.Server] = {}

    async def close(self) -> None:
        """Close every server and its connections."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def serve_store(self, vm: str) -> str:
        """Serve the store to one VM and return the address as ``HOST:PORT``."""

        async def call(request: web.BaseRequest, body: dict) -> CallResult:
            return await self.network.call(
                vm, request.method, STORE_ADDRESS, request.path_qs, body, ""
            )

        return await self._listen(call)

    async def serve_worker(self, address: str) -> str:
        """Serve the worker at an address of the network; return ``HOST:PORT``."""

        async def call(request: web.BaseRequest, body: dict) -> CallResult:
            target = request.headers.get("X-Target-Instance", "")
            return await self.network.call(
                "", request.method, address, request.path, body, target
            )

        listening = await self._listen(call)
        self._worker_servers[address] = self._runners[-1].server
        return listening

    def reset_worker(self, address: str) -> None:
        """Abort the connections of a worker, as the end of its process does."""
        for handler in self._worker_servers[address].connections:
            handler.force_close()

    async def _listen(self, call: Call) -> str:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            reply = await call(request, await read_json(request))
            if failed(reply):
                return abort_connection(request)
            text = "" if reply.body is None else json.dumps(reply.body)
            return web.Response(
                status=reply.status, text=text, content_type="application/json"
            )

        # Cancels the handler when the caller disconnects, as some calls never return.
        server = web.Server(handle, handler_cancellation=True)
        runner = web.ServerRunner(server)
        self._runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, LOOPBACK, 0).start()
        return f"{LOOPBACK}:{runner.addresses[0][1]}"
