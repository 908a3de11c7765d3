"""The service ``admin``: the HTTP port for operators, Prometheus and load balancers."""

from __future__ import annotations

from functools import partial

from aiohttp import web

from fulmarleverd.api.access_control import AccessControl, Operators, RateLimit
from fulmarleverd.api.routes import ROUTES, load_routes
from fulmarleverd.kernel import SERVICES, Kernel, Service

SHUTDOWN_TIMEOUT_S = 2.0


@SERVICES.register("admin")
class AdminService(Service):
    """Serves the administration API until the daemon stops."""

    name = "admin"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """Return the open port, which the system chooses if the setting is 0."""
        return self._runner.addresses[0][1]

    async def start(self) -> None:
        """Open the admin port."""
        cfg = self.settings
        access_control = AccessControl(
            Operators(cfg.operator_tokens),
            RateLimit(cfg.admin_requests_per_s, self.clock),
        )
        app = web.Application(
            middlewares=[access_control.__call__],
            client_max_size=cfg.admin_max_body_bytes,
        )
        load_routes()
        for name in ROUTES:
            method, path = name.split()
            app.router.add_route(method, path, partial(ROUTES.find(name), self.kernel))
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, cfg.address, cfg.admin_port).start()

    async def stop(self) -> None:
        """Close the port after the requests in progress, or ``SHUTDOWN_TIMEOUT_S``."""
        if self._runner is not None:
            await self._runner.cleanup()
        await super().stop()
