"""The stand-in of the platform over HTTP, for daemons in processes of their own."""

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
    """Listens for calls to the store and to each worker of a network."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self._runners: list[web.ServerRunner] = []

    async def close(self) -> None:
        """Stop listening."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def serve_store(self, vm: str) -> str:
        """Listen for the calls of one VM to the store; return the address."""

        async def call(request: web.BaseRequest, body: dict) -> CallResult:
            return await self.network.call(
                vm, request.method, STORE_ADDRESS, request.path_qs, body, ""
            )

        return await self._listen(call)

    async def serve_worker(self, address: str) -> str:
        """Listen for calls to the worker that is known by an address."""

        async def call(request: web.BaseRequest, body: dict) -> CallResult:
            target = request.headers.get("X-Target-Instance", "")
            return await self.network.call(
                "", request.method, address, request.path, body, target
            )

        return await self._listen(call)

    async def _listen(self, call: Call) -> str:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            reply = await call(request, await read_json(request))
            if failed(reply):
                return abort_connection(request)
            text = "" if reply.body is None else json.dumps(reply.body)
            return web.Response(
                status=reply.status, text=text, content_type="application/json"
            )

        # A caller that hangs up ends its call, also one that is never answered.
        server = web.Server(handle, handler_cancellation=True)
        runner = web.ServerRunner(server)
        self._runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, LOOPBACK, 0).start()
        return f"{LOOPBACK}:{runner.addresses[0][1]}"
