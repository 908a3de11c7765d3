"""The service ``admin``: the port of operators, Prometheus and the balancer."""

from __future__ import annotations

from functools import partial

from aiohttp import web

# The modules register their routes when they are imported.
from fulmarleverd.api import (
    configuration as configuration,
)
from fulmarleverd.api import (
    views as views,
)
from fulmarleverd.api import (
    work as work,
)
from fulmarleverd.api.guard import Guard, Operators, RateLimit
from fulmarleverd.api.problems import problem
from fulmarleverd.api.routes import ROUTES
from fulmarleverd.kernel import SERVICES, Kernel, Service

SHUTDOWN_TIMEOUT_S = 2.0

# Operations of the API whose service this daemon may not have.
PLANNED = (
    "POST /v1/handover",
    "GET /v1/report",
)


@SERVICES.register("admin")
class AdminService(Service):
    """Serves the administration API until the daemon stops."""

    name = "admin"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """Return the port that is open; it differs from a setting of 0."""
        return self._runner.addresses[0][1]

    async def start(self) -> None:
        """Open the admin port."""
        cfg = self.settings
        guard = Guard(
            Operators(cfg.operator_tokens),
            RateLimit(cfg.admin_requests_per_s, self.clock),
        )
        app = web.Application(
            middlewares=[guard.__call__], client_max_size=cfg.admin_max_body_bytes
        )
        for name in ROUTES:
            method, path = name.split()
            app.router.add_route(method, path, partial(ROUTES.find(name), self.kernel))
        self._add_planned(app)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, cfg.address, cfg.admin_port).start()

    def _add_planned(self, app: web.Application) -> None:
        for name in PLANNED:
            if name not in set(ROUTES):
                method, path = name.split()
                app.router.add_route(method, path, _not_implemented)

    async def stop(self) -> None:
        """Finish the requests in progress and close the port."""
        if self._runner is not None:
            await self._runner.cleanup()
        await super().stop()


async def _not_implemented(request: web.Request) -> web.Response:
    return problem(501, "not implemented", f"{request.path} is not available yet")
