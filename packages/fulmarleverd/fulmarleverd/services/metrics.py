"""The service ``metrics``: the process's metrics in the Prometheus text format."""

from __future__ import annotations

from aiohttp import web
from prometheus_client import generate_latest

from fulmarleverd.kernel import SERVICES, Kernel, Service

METRICS_PATH = "/metrics"


@SERVICES.register("metrics")
class MetricsService(Service):
    """Serves the metrics of the process at ``METRICS_PATH``."""

    name = "metrics"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Open the metrics port."""
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        settings = self.settings
        await web.TCPSite(self._runner, settings.address, settings.metrics_port).start()

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        if req.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(body=generate_latest(), content_type="text/plain")

    async def stop(self) -> None:
        """Close the metrics port."""
        await super().stop()
        await self._runner.cleanup()
