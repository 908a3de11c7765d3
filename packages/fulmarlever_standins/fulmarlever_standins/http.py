"""Helpers shared by the simulated HTTP servers."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable

from aiohttp import web

POLL_S = 0.05
MAX_BODY_BYTES = 64 << 20

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def is_disconnected(request: web.BaseRequest) -> bool:
    """Return whether the connection of a request is closed."""
    return request.transport is None or request.transport.is_closing()


async def wait_for_disconnect(request: web.BaseRequest) -> web.Response:
    """Wait until the client has closed its connection, without an answer."""
    while not is_disconnected(request):
        await asyncio.sleep(POLL_S)
    return web.Response()


def abort_connection(request: web.BaseRequest) -> web.Response:
    """Close the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def read_json(request: web.Request) -> dict:
    """Return the JSON object in the body of a request, empty for an empty body.

    Raise ``HTTPBadRequest`` for anything else.
    """
    try:
        data = json.loads(await request.read() or b"{}")
    except ValueError as exc:
        raise web.HTTPBadRequest(text=f"malformed JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise web.HTTPBadRequest(text="the body is not a JSON object")
    return data


async def start_app(app: web.Application, address: str, port: int) -> web.AppRunner:
    """Start an application on an address and port and return its runner.

    Port 0 stands for a free port. Raise ``OSError`` for a port in use.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, address, port, reuse_address=True).start()
    return runner


async def wait_for_signal() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def split_address(text: str) -> tuple[str, int]:
    """Split ``ADDRESS:PORT``. Raise ``ValueError`` for a port that is no number."""
    address, _, port = text.rpartition(":")
    return address, int(port)
