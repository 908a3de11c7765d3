"""The simulated old setup: the system that the daemons gradually replace."""

from __future__ import annotations

from aiohttp import web

from fulmarlever.clock import Clock
from fulmarlever_standins.backend import Backend
from fulmarlever_standins.http import MAX_BODY_BYTES

SLOTS = 1 << 16  # in effect unlimited


class OldSetup:
    """The caller interface and the control port of the old setup, with one backend."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.backend = Backend(clock or Clock(), SLOTS)

    def build_callers_app(self) -> web.Application:
        """Return the application of the port for callers."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{service}/{path:.*}", self.backend.handle)
        return app

    def build_control_app(self) -> web.Application:
        """Return the application of the control port."""
        app = web.Application()
        app.router.add_get("/record", self.get_record)
        return app

    async def get_record(self, request: web.Request) -> web.Response:
        """Return the ``BackendRecord`` of the old setup."""
        return web.json_response(self.backend.record.to_wire())
