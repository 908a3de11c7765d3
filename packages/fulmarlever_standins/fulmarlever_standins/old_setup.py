"""The old setup: the same interface for callers, with a backend of its own."""

from __future__ import annotations

from aiohttp import web

from fulmarlever.clock import Clock
from fulmarlever_standins.backend import Backend
from fulmarlever_standins.http import MAX_BODY_BYTES

SLOTS = 1 << 16


class OldSetup:
    """The callers' port and the control port of the old setup."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.backend = Backend(clock or Clock(), SLOTS)

    def build_callers_app(self) -> web.Application:
        """Return the application of the callers' port."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{service}/{path:.*}", self.backend.handle)
        return app

    def build_control_app(self) -> web.Application:
        """Return the application of the launcher's port."""
        app = web.Application()
        app.router.add_get("/record", self.get_record)
        return app

    async def get_record(self, request: web.Request) -> web.Response:
        """Return what the old setup ran."""
        return web.json_response(self.backend.record.to_wire())
